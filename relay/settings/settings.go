package settings

import (
	"net/netip"
	"time"
)

// Settings are the settings of one VM.
type Settings struct {
	// Name is the VM's name, unique in the system.
	Name string
	// Centre and Region name the VM's data centre and the region of that data centre.
	Centre string
	Region string
	// Data is the data folder; empty on a VM that stores no durable state.
	Data string
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log       string
	Listeners Listeners
	// Control lists the VMs that hold the replicated log, with the addresses of their peer listeners.
	Control []Peer
	// Neighbours lists the other VMs that this VM shares its view with, with the addresses of their peer listeners.
	Neighbours []Peer
	// Platform is the address of the platform's list of live and leaving VMs; the zero value means that there is none.
	Platform netip.AddrPort
	// Store is the address of the store of saved KV cache; the zero value means that there is none.
	Store netip.AddrPort
	// Discovered configures the discovery of control VMs and upstreams; it excludes Control and Neighbours.
	Discovered Discovered
	Routing    Routing
	Times      Times
	Limits     Limits
	Quota      Quota
}

// Listeners are the addresses that a VM listens on; the zero value of an optional one disables that listener.
type Listeners struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Ready serves readiness checks alone, Requests operators' calls that replace the desired state, and Metrics metrics as text; all
	// three are optional.
	Ready    netip.AddrPort
	Requests netip.AddrPort
	Metrics  netip.AddrPort
}

// Peer is a VM's name and the address of its peer listener.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Routing configures the choice of upstreams.
type Routing struct {
	// Policy is cost, reuse, robin, least or hash. Reuse is for engines that report which parts of prompts they hold; the last three
	// are baselines for measurements.
	Policy string
	// Span is the greatest distance of a prefix's preferred upstreams: centre, region or everywhere. VMs agree on these upstreams
	// only if all have the same span.
	Span string
	// Import is the time to import the KV cache of one token; 0 disables imports.
	Import time.Duration
	// Room is the share of an engine's memory that requests in progress may take; 0 means no limit.
	Room float64
	// Speeds reports that the speed of each upstream is learned and that requests are placed by it.
	Speeds bool
}

// Times are a VM's intervals, timeouts and other durations.
type Times struct {
	// Lease is how long a VM may act on its configuration after it requested the lease; Renew is the interval of renewals.
	Lease time.Duration
	Renew time.Duration
	// Transit is the longest time that an order may take to reach an engine.
	Transit time.Duration
	// Load is how long an engine without a load report counts as loading; it must exceed the longest load of weights.
	Load time.Duration
	// Election is the shortest election timeout of the control VMs.
	Election time.Duration
	// Heartbeat is the interval of heartbeats between VMs; Silence is how long a connection may be silent before it is replaced.
	Heartbeat time.Duration
	Silence   time.Duration
	// Headers is the timeout of an upstream's response headers, Gap the timeout between the bytes of its response.
	Headers time.Duration
	Gap     time.Duration
	// Balancer is how long a VM accepts connections after it reports itself unready, until load balancers have taken it out.
	Balancer time.Duration
	// Claim is the timeout of the claim that the ledger records before a non-idempotent call is sent.
	Claim time.Duration
	// Write is the timeout of one write to a caller.
	Write time.Duration
	// Stop is the longest duration of a graceful shutdown.
	Stop time.Duration
	// Orders is how long a new holder of the order lease waits after another VM's last order before it sends its first one.
	Orders time.Duration
	// Weights is the time within which engines must serve a newly set weights version.
	Weights time.Duration
	// Repair is how long a voter must be silent before another VM replaces it.
	Repair time.Duration
}

// Limits bound the memory, the load on other services and the log output that a VM may cause.
type Limits struct {
	// Body is the largest request body and Headers the largest header block, both in bytes.
	Body    int64
	Headers int
	// Answer is the largest answer of a non-idempotent call that is recorded in the replicated log, in bytes.
	Answer int64
	// Queue is the largest number of requests that wait for an upstream.
	Queue int
	// Loads is the largest number of engines that read from the weight store at once.
	Loads int
	// Retries is the number of retries per request that all VMs together may make; Slack is the number of retries
	// that they may make in addition within any ten seconds.
	Retries float64
	Slack   float64
	// Lines is the largest number of log lines that a VM writes per second.
	Lines int
	// Memory is the memory of the machine in bytes and Descriptors the number of descriptors of the process; both bound what callers
	// occupy, and 0 means no bound. Descriptors is -1 for the process's limit of open files.
	Memory      int64
	Descriptors int
}

// Quota bounds what is sent for an account with a rate, by all VMs together in any window: (rate x window + burst) x (1 + overage) + slack.
type Quota struct {
	Window  time.Duration
	Overage float64
	// Slack is in the unit of the account's rate.
	Slack float64
	// Validity is how long a VM may use granted tokens after it sent the last request that the leader answered.
	Validity time.Duration
}

// Default returns the settings of a single VM on loopback.
func Default() Settings {
	return Settings{
		Name: "vm1", Centre: "centre1", Region: "region1", Log: "info",
		Listeners: Listeners{
			Callers:   netip.MustParseAddrPort("127.0.0.1:7100"),
			Operators: netip.MustParseAddrPort("127.0.0.1:7200"),
			Peers:     netip.MustParseAddrPort("127.0.0.1:7300"),
		},
		Routing: Routing{Policy: "cost", Span: "everywhere", Import: 25 * time.Microsecond},
		Times: Times{
			Lease: 6 * time.Second, Renew: 2 * time.Second, Transit: 5 * time.Second, Load: 10 * time.Minute, Election: time.Second,
			Heartbeat: time.Second, Silence: 3 * time.Second, Headers: 30 * time.Second, Gap: 10 * time.Second,
			Balancer: 3 * time.Second, Claim: 5 * time.Second, Write: 20 * time.Second,
			Stop: time.Hour, Orders: 5 * time.Second, Weights: 30 * time.Second, Repair: 10 * time.Second,
		},
		Limits:     Limits{Body: 8 << 20, Headers: 32 << 10, Answer: 64 << 10, Queue: 4096, Loads: 2, Retries: 0.1, Slack: 20, Lines: 500, Descriptors: -1},
		Quota:      Quota{Window: 10 * time.Second, Overage: 0.1, Validity: 5 * time.Second},
		Discovered: Discovered{Losses: 1, Lists: 10, Centres: map[string]string{}},
	}
}
