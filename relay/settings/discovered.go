package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Discovered holds what a VM is told at its start where control VMs and upstreams are found instead of named.
type Discovered struct {
	// Seeds are addresses of control VMs at which operators reach them; peers answer at the same IP on the port of the peers' listener.
	Seeds []netip.AddrPort
	// First says that the whole system starts for the first time, with empty data folders.
	First bool
	// Losses is the number of data folders that may be lost at once.
	Losses int
	// Centres gives the region of each data centre.
	Centres map[string]string
	// Lists is the number of calls per second that the platform's list accepts from all VMs together.
	Lists int
}

// Used reports whether control VMs are found through seeds.
func (d Discovered) Used() bool { return len(d.Seeds) > 0 }

// Voters is the number of voters that bears the losses.
func (d Discovered) Voters() int { return 2*d.Losses + 1 }

// Peers returns the addresses of the seeds' peer listeners, which have the same port on all VMs.
func (d Discovered) Peers(port uint16) []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(d.Seeds))
	for _, seed := range d.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), port))
	}
	return peers
}

func flag(path, comment string, at func(*Settings) *bool) field {
	return field{
		path: path, comment: comment,
		read: func(r *reader, path string, v hujson.Value) error {
			kind := v.Value.Kind()
			if kind != 't' && kind != 'f' {
				return r.wrongKind(path, v, "write true or false")
			}
			*at(&r.settings) = kind == 't'
			return nil
		},
		write: func(s Settings) string { return strconv.FormatBool(*at(&s)) },
	}
}

// ratio reads a number such as 0.2.
func ratio(path, comment string, at func(*Settings) *float64) field {
	return field{
		path: path, comment: comment,
		read: func(r *reader, path string, v hujson.Value) error {
			const remedy = "write a number from 0 to 1000000 without quotes"
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '0' {
				return r.wrongKind(path, v, remedy)
			}
			n, err := strconv.ParseFloat(string(l), 64)
			if err != nil || n < 0 || n > 1e6 {
				return r.fault(v.StartOffset, path, string(l)+" is not allowed", remedy)
			}
			*at(&r.settings) = n
			return nil
		},
		write: func(s Settings) string { return strconv.FormatFloat(*at(&s), 'g', -1, 64) },
	}
}

func addresses(path, comment string, at func(*Settings) *[]netip.AddrPort) field {
	return field{
		path: path, comment: comment,
		read: func(r *reader, path string, v hujson.Value) error {
			list, ok := v.Value.(*hujson.Array)
			if !ok {
				return r.wrongKind(path, v, "write a list of addresses")
			}
			for i, element := range list.Elements {
				parsed, err := parseAddress(r, fmt.Sprintf("%s[%d]", path, i), element)
				if err != nil {
					return err
				}
				*at(&r.settings) = append(*at(&r.settings), parsed)
			}
			return nil
		},
		write: func(s Settings) string {
			entries := make([]string, 0, len(*at(&s)))
			for _, a := range *at(&s) {
				entries = append(entries, strconv.Quote(a.String()))
			}
			return "[" + strings.Join(entries, ", ") + "]"
		},
	}
}

func regions(path, comment string, at func(*Settings) *map[string]string) field {
	return field{
		path: path, comment: comment,
		read: func(r *reader, path string, v hujson.Value) error {
			const remedy = `write the region of each data centre, such as {"paarl-a": "paarl"}`
			object, ok := v.Value.(*hujson.Object)
			if !ok {
				return r.wrongKind(path, v, remedy)
			}
			found := map[string]string{}
			for _, member := range object.Members {
				if member.Value.Value.Kind() != '"' {
					return r.wrongKind(path+"."+literal(member.Name), member.Value, remedy)
				}
				found[literal(member.Name)] = literal(member.Value)
			}
			*at(&r.settings) = found
			return nil
		},
		write: func(s Settings) string {
			var entries []string
			for _, centre := range slices.Sorted(maps.Keys(*at(&s))) {
				entries = append(entries, strconv.Quote(centre)+": "+strconv.Quote((*at(&s))[centre]))
			}
			return "{" + strings.Join(entries, ", ") + "}"
		},
	}
}
