package settings

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// field describes one setting: read checks a value and stores it in the parser's settings, format returns it as written in the file.
type field struct {
	path    string
	comment string
	read    func(p *parser, path string, v hujson.Value) error
	format  func(s Settings) string
}

var fields = []field{
	stringField("name", "The VM's name, unique in the system.", func(s *Settings) *string { return &s.Name }, checkName),
	stringField("centre", "The name of the VM's data centre.", func(s *Settings) *string { return &s.Centre }, checkName),
	stringField("region", "The region of the VM's data centre.", func(s *Settings) *string { return &s.Region }, checkName),
	stringField("data", "The data folder; set it on VMs named in control and nowhere else.", func(s *Settings) *string { return &s.Data }, nil),
	stringField("log", "The lowest level that is logged: debug, info, warn or error.", func(s *Settings) *string { return &s.Log }, oneOf("debug", "info", "warn", "error")),
	addressField("listeners.callers", "IP address and port for callers; empty on a VM that serves no callers.", true, func(s *Settings) *netip.AddrPort { return &s.Listeners.Callers }),
	addressField("listeners.operators", "IP address and port for operators; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Listeners.Operators }),
	addressField("listeners.peers", "IP address and port for other VMs.", false, func(s *Settings) *netip.AddrPort { return &s.Listeners.Peers }),
	addressField("listeners.ready", "IP address and port of a listener that serves only readiness checks; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Listeners.Ready }),
	addressField("listeners.requests", "IP address and port for operators' calls that replace the whole desired state; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Listeners.Requests }),
	addressField("listeners.metrics", "IP address and port for metrics in text format; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Listeners.Metrics }),
	peersField("control", `The VMs that store the replicated log, each {"name": "vm1", "address": "10.0.0.1:7300"}, this VM too if it is one; at most 7.`, func(s *Settings) *[]Peer { return &s.Control }),
	peersField("neighbours", `The other VMs that this one shares its view with, at most 12: those of the data centre, and all others while there are few. Each is {"name": "vm2", "address": "10.0.0.2:7300"}.`, func(s *Settings) *[]Peer { return &s.Neighbours }),
	addressField("platform", "Address of the platform's list of live and leaving VMs; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Platform }),
	addressField("store", "Address of the store of saved KV cache; empty for none.", true, func(s *Settings) *netip.AddrPort { return &s.Store }),
	addressesField("discovered.seeds", "Operator addresses of control VMs, through which a VM discovers the others; their peer listeners have the same IP address and the port of this VM's listeners.peers. Empty if control lists the VMs.", func(s *Settings) *[]netip.AddrPort { return &s.Discovered.Seeds }),
	boolField("discovered.first", "Whether the whole system starts for the first time, with empty data folders; the seeds then initialise the replicated log.", func(s *Settings) *bool { return &s.Discovered.First }),
	intField("discovered.losses", "The number of data folders that may be lost at once without losing the replicated log, which has twice as many voters plus one.", 0, 3, func(s *Settings) *int { return &s.Discovered.Losses }),
	regionsField("discovered.centres", "The region of each data centre.", func(s *Settings) *map[string]string { return &s.Discovered.Centres }),
	intField("discovered.lists", "The number of calls per second that the platform's list accepts from all VMs together.", 1, 100000, func(s *Settings) *int { return &s.Discovered.Lists }),
	stringField("routing.policy", "How upstreams are chosen: cost, reuse for engines that report which parts of prompts they hold, or a baseline for measurements: robin, least or hash.", func(s *Settings) *string { return &s.Routing.Policy }, oneOf("cost", "reuse", "robin", "least", "hash")),
	stringField("routing.span", "How far away the preferred upstreams of a prefix may be: centre, region or everywhere; the same on all VMs. A wider span recomputes less and sends more traffic over links.", func(s *Settings) *string { return &s.Routing.Span }, oneOf("centre", "region", "everywhere")),
	durationField("routing.import", "How long the import of one token's KV cache takes; 0s disables imports.", 0, func(s *Settings) *time.Duration { return &s.Routing.Import }),
	floatField("routing.room", "The share of an engine's memory that requests in progress may take, from 0 to 1; the same on all VMs. What does not fit waits in the VMs' queues; 0 means no limit.", func(s *Settings) *float64 { return &s.Routing.Room }),
	boolField("routing.speeds", "Whether the speed of each upstream is learned and requests are placed by it; the same on all VMs.", func(s *Settings) *bool { return &s.Routing.Speeds }),
	durationField("times.lease", "How long a VM may act on its configuration after it requested the lease.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Lease }),
	durationField("times.renew", "The interval of lease renewals; less than lease.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Renew }),
	durationField("times.transit", "The longest time that an order may take to reach an engine.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Transit }),
	durationField("times.load", "How long an engine without a load report counts as loading; longer than the longest load of weights.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Load }),
	durationField("times.election", "The shortest election timeout of the control VMs.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Election }),
	durationField("times.heartbeat", "The interval of heartbeats between VMs; less than silence.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Heartbeat }),
	durationField("times.silence", "How long a connection may be silent before it is replaced.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Silence }),
	durationField("times.headers", "The timeout for an upstream's response headers.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Headers }),
	durationField("times.gap", "The timeout between bytes of an upstream's response.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Gap }),
	durationField("times.balancer", "How long a VM continues to accept connections after it reports itself unready; 0s for a VM without a load balancer.", 0, func(s *Settings) *time.Duration { return &s.Times.Balancer }),
	durationField("times.claim", "The timeout for recording the claim of a non-idempotent call, which must be recorded before the call is sent.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Claim }),
	durationField("times.write", "The timeout of one write to a caller.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Write }),
	durationField("times.stop", "The longest duration of a graceful shutdown.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Stop }),
	durationField("times.orders", "How long a new holder of the order lease waits after another VM's last order before it sends its first one.", 0, func(s *Settings) *time.Duration { return &s.Times.Orders }),
	durationField("times.weights", "The time within which engines must serve a newly set weights version.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Weights }),
	durationField("times.repair", "How long a voter must be silent before another VM replaces it.", time.Millisecond, func(s *Settings) *time.Duration { return &s.Times.Repair }),
	sizeField("limits.body", "The largest request body.", 1<<10, 1<<30, func(s *Settings) int64 { return s.Limits.Body }, func(s *Settings, n int64) { s.Limits.Body = n }),
	sizeField("limits.headers", "The largest header block.", 1<<10, 1<<20, func(s *Settings) int64 { return int64(s.Limits.Headers) }, func(s *Settings, n int64) { s.Limits.Headers = int(n) }),
	sizeField("limits.answer", "The largest answer of a non-idempotent call that is recorded; it is stored in the replicated log.", 1<<10, 1<<20, func(s *Settings) int64 { return s.Limits.Answer }, func(s *Settings, n int64) { s.Limits.Answer = n }),
	intField("limits.queue", "The largest number of requests that wait for an upstream.", 1, 1<<20, func(s *Settings) *int { return &s.Limits.Queue }),
	floatField("limits.retries", "The number of retries per request that all VMs together may make.", func(s *Settings) *float64 { return &s.Limits.Retries }),
	floatField("limits.slack", "The number of retries that all VMs together may make in addition, in any ten seconds.", func(s *Settings) *float64 { return &s.Limits.Slack }),
	intField("limits.lines", "The largest number of log lines that the VM writes per second; dropped lines are counted.", 1, 1<<20, func(s *Settings) *int { return &s.Limits.Lines }),
	sizeField("limits.memory", "The memory of the machine, by which callers are bounded; 0B for no bound.", 0, 1<<40, func(s *Settings) int64 { return s.Limits.Memory }, func(s *Settings, n int64) { s.Limits.Memory = n }),
	intField("limits.descriptors", "The number of file descriptors of the process, by which callers' connections are bounded; -1 for its limit of open files, 0 for no bound.", -1, 1<<24, func(s *Settings) *int { return &s.Limits.Descriptors }),
	intField("limits.loads", "The largest number of engines that read from the weight store at once; the same on all VMs.", 1, 1<<16, func(s *Settings) *int { return &s.Limits.Loads }),
	durationField("quota.window", "The window in which the rate of an account is bounded, for all VMs together; the same on all VMs, as the other settings of quota.", 100*time.Millisecond, func(s *Settings) *time.Duration { return &s.Quota.Window }),
	floatField("quota.overage", "The share by which an account may exceed its rate and burst in a window. VMs that reach no leader, and a new leader, have nothing else to grant.", func(s *Settings) *float64 { return &s.Quota.Overage }),
	floatField("quota.slack", "What an account may use in a window in addition, in the unit of its rate.", func(s *Settings) *float64 { return &s.Quota.Slack }),
	durationField("quota.validity", "How long a VM may use the tokens that it holds after it asked for them last.", 100*time.Millisecond, func(s *Settings) *time.Duration { return &s.Quota.Validity }),
}

// childNames returns the names of the fields and groups directly below a path.
func childNames(path string) []string {
	var names []string
	for _, f := range fields {
		rest := f.path
		if path != "" {
			var ok bool
			if rest, ok = strings.CutPrefix(f.path, path+"."); !ok {
				continue
			}
		}
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._:-]{0,62}$`)

func checkName(value string) string {
	if namePattern.MatchString(value) {
		return ""
	}
	return "use 1 to 63 characters of a-z, 0-9, dot, colon, underscore and dash, beginning with a letter or digit"
}

func oneOf(values ...string) func(string) string {
	return func(value string) string {
		if slices.Contains(values, value) {
			return ""
		}
		return "use one of " + strings.Join(values, ", ")
	}
}

func (p *parser) typeError(path string, v hujson.Value, remedy string) error {
	return p.errorAt(v.StartOffset, path, "the value is "+typeName(v), remedy)
}

func (p *parser) valueError(path string, v hujson.Value, remedy string) error {
	return p.errorAt(v.StartOffset, path, fmt.Sprintf("%q is not allowed", stringValue(v)), remedy)
}

func stringField(path, comment string, target func(*Settings) *string, check func(string) string) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			if v.Value.Kind() != '"' {
				return p.typeError(path, v, "write text between quotes")
			}
			if check != nil {
				if remedy := check(stringValue(v)); remedy != "" {
					return p.valueError(path, v, remedy)
				}
			}
			*target(&p.settings) = stringValue(v)
			return nil
		},
		format: func(s Settings) string { return strconv.Quote(*target(&s)) },
	}
}

const addressRemedy = `write an IP address and port, such as "10.0.0.1:7300"`

func parseAddress(p *parser, path string, v hujson.Value) (netip.AddrPort, error) {
	if v.Value.Kind() != '"' {
		return netip.AddrPort{}, p.typeError(path, v, addressRemedy)
	}
	parsed, err := netip.ParseAddrPort(stringValue(v))
	if err != nil {
		return parsed, p.valueError(path, v, addressRemedy+"; host names are not looked up")
	}
	if parsed.Port() == 0 {
		return parsed, p.valueError(path, v, "use a port from 1 to 65535")
	}
	return parsed, nil
}

func addressField(path, comment string, optional bool, target func(*Settings) *netip.AddrPort) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			if optional && v.Value.Kind() == '"' && stringValue(v) == "" {
				*target(&p.settings) = netip.AddrPort{}
				return nil
			}
			parsed, err := parseAddress(p, path, v)
			if err == nil {
				*target(&p.settings) = parsed
			}
			return err
		},
		format: func(s Settings) string {
			if a := *target(&s); a.IsValid() {
				return strconv.Quote(a.String())
			}
			return `""`
		},
	}
}

func durationField(path, comment string, minimum time.Duration, target func(*Settings) *time.Duration) field {
	const remedy = `write a time with its unit, such as "6s" or "800ms"`
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			if v.Value.Kind() == '0' {
				return p.errorAt(v.StartOffset, path, "the number has no unit", remedy)
			}
			if v.Value.Kind() != '"' {
				return p.typeError(path, v, remedy)
			}
			// ParseDuration accepts 0 without a unit; the settings file requires a unit for every duration.
			parsed, err := time.ParseDuration(stringValue(v))
			if err != nil || strings.Trim(stringValue(v), "+-0") == "" {
				return p.valueError(path, v, remedy)
			}
			if parsed < minimum || parsed > time.Hour {
				return p.valueError(path, v, fmt.Sprintf("use a time from %s to 1h", minimum))
			}
			*target(&p.settings) = parsed
			return nil
		},
		format: func(s Settings) string { return strconv.Quote(target(&s).String()) },
	}
}

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

func formatSize(n int64) string {
	if n == 0 {
		return "0B"
	}
	for _, unit := range sizeUnits {
		if n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.name
		}
	}
	return ""
}

func parseSize(value string) (int64, bool) {
	for _, unit := range sizeUnits {
		if digits, ok := strings.CutSuffix(value, unit.name); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			return n * unit.bytes, err == nil && n >= 0 && n <= math.MaxInt64/unit.bytes
		}
	}
	return 0, false
}

func sizeField(path, comment string, minimum, maximum int64, get func(*Settings) int64, set func(*Settings, int64)) field {
	const remedy = `write a size with its unit, such as "8MiB", "64KiB" or "1500B"`
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			if v.Value.Kind() == '0' {
				return p.errorAt(v.StartOffset, path, "the number has no unit", remedy)
			}
			if v.Value.Kind() != '"' {
				return p.typeError(path, v, remedy)
			}
			n, ok := parseSize(stringValue(v))
			if !ok {
				return p.valueError(path, v, remedy)
			}
			if n < minimum || n > maximum {
				return p.valueError(path, v, "use a size from "+formatSize(minimum)+" to "+formatSize(maximum))
			}
			set(&p.settings, n)
			return nil
		},
		format: func(s Settings) string { return strconv.Quote(formatSize(get(&s))) },
	}
}

func intField(path, comment string, minimum, maximum int, target func(*Settings) *int) field {
	return field{
		path: path, comment: comment,
		read: func(p *parser, path string, v hujson.Value) error {
			remedy := fmt.Sprintf("write a whole number from %d to %d without quotes", minimum, maximum)
			l, ok := v.Value.(hujson.Literal)
			if !ok || l.Kind() != '0' {
				return p.typeError(path, v, remedy)
			}
			n, err := strconv.Atoi(string(l))
			if err != nil || n < minimum || n > maximum {
				return p.errorAt(v.StartOffset, path, string(l)+" is not allowed", remedy)
			}
			*target(&p.settings) = n
			return nil
		},
		format: func(s Settings) string { return strconv.Itoa(*target(&s)) },
	}
}
