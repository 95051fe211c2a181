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

// Discovered configures a VM whose control VMs and upstreams are discovered instead of named in the settings.
type Discovered struct {
	// Seeds are the operators' addresses of control VMs; their peer listeners have the same IP address and the port of this VM's
	// peer listener.
	Seeds []netip.AddrPort
	// First is set while the whole system starts for the first time, with empty data folders.
	First bool
	// Losses is the number of data folders that may be lost at once without losing the replicated log.
	Losses int
	// Centres maps each data centre to its region.
	Centres map[string]string
	// Lists is the number of calls per second that the platform's list accepts from all VMs together.
	Lists int
}

// Enabled reports whether control VMs are discovered through seeds.
func (d Discovered) Enabled() bool { return len(d.Seeds) > 0 }

// Voters returns the number of voters of which a majority remains after Losses are lost.
func (d Discovered) Voters() int { return 2*d.Losses + 1 }

// PeerAddresses returns the addresses of the seeds' peer listeners, which use the same port on all VMs.
func (d Discovered) PeerAddresses(port uint16) []netip.AddrPort {
	peers := make([]netip.AddrPort, 0, len(d.Seeds))
	for _, seed := range d.Seeds {
		peers = append(peers, netip.AddrPortFrom(seed.Addr(), port))
	}
	return peers
}

func boolField(path, comment string, target func(*Settings) *bool) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			kind := v.Value.Kind()
			if kind != 't' && kind != 'f' {
				return p.typeError(path, v, "write true or false")
			}
			*target(&p.settings) = kind == 't'
			return nil
		},
		format: func(s Settings) string { return strconv.FormatBool(*target(&s)) },
	}
}

func floatField(path, comment string, target func(*Settings) *float64) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			const remedy = "write a number from 0 to 1000000000 without quotes"
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '0' {
				return p.typeError(path, v, remedy)
			}
			n, err := strconv.ParseFloat(string(l), 64)
			if err != nil || n < 0 || n > 1e9 {
				return p.errorAt(v.StartOffset, path, string(l)+" is not allowed", remedy)
			}
			*target(&p.settings) = n
			return nil
		},
		format: func(s Settings) string { return strconv.FormatFloat(*target(&s), 'g', -1, 64) },
	}
}

func addressesField(path, comment string, target func(*Settings) *[]netip.AddrPort) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			list, ok := v.Value.(*hujson.Array)
			if !ok {
				return p.typeError(path, v, `write a list of IP addresses and ports, such as ["10.0.0.1:7200"]`)
			}
			for i, element := range list.Elements {
				parsed, err := parseAddress(p, fmt.Sprintf("%s[%d]", path, i), element)
				if err != nil {
					return err
				}
				*target(&p.settings) = append(*target(&p.settings), parsed)
			}
			return nil
		},
		format: func(s Settings) string {
			entries := make([]string, 0, len(*target(&s)))
			for _, a := range *target(&s) {
				entries = append(entries, strconv.Quote(a.String()))
			}
			return "[" + strings.Join(entries, ", ") + "]"
		},
	}
}

func regionsField(path, comment string, target func(*Settings) *map[string]string) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			const remedy = `write the region of each data centre, such as {"paarl-a": "paarl"}`
			object, ok := v.Value.(*hujson.Object)
			if !ok {
				return p.typeError(path, v, remedy)
			}
			found := map[string]string{}
			for _, member := range object.Members {
				if member.Value.Value.Kind() != '"' {
					return p.typeError(path+"."+stringValue(member.Name), member.Value, remedy)
				}
				found[stringValue(member.Name)] = stringValue(member.Value)
			}
			*target(&p.settings) = found
			return nil
		},
		format: func(s Settings) string {
			var entries []string
			for _, centre := range slices.Sorted(maps.Keys(*target(&s))) {
				entries = append(entries, strconv.Quote(centre)+": "+strconv.Quote((*target(&s))[centre]))
			}
			return "{" + strings.Join(entries, ", ") + "}"
		},
	}
}
