package settings

import (
	"net/netip"
	"time"
)

// Settings are one VM's settings.
type Settings struct {
	// Name is the VM's name, unique in the system.
	Name string
	// Centre and Region say where the VM stands.
	Centre string
	Region string
	// Data is the data folder; a VM without one holds no durable state.
	Data string
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log       string
	Listeners Listeners
	// Control are the VMs that hold the replicated log, by the address of their peers' listener.
	Control []Peer
	// Neighbours are the other VMs of the data centre, by the address of their peers' listener.
	Neighbours []Peer
	// Platform is the address of the platform's list of live and leaving VMs; none if it is not set.
	Platform netip.AddrPort
	// Store is the address of the store of kept KV cache; none if it is not set.
	Store netip.AddrPort
	// Discovered is set where control VMs and upstreams are found instead of named.
	Discovered Discovered
	Routing    Routing
	Times      Times
	Limits     Limits
}

// Listeners are the addresses that a VM listens on.
type Listeners struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
	// Ready, Requests and Metrics are optional: readiness alone, operators' calls of a desired state, and metrics as text.
	Ready    netip.AddrPort
	Requests netip.AddrPort
	Metrics  netip.AddrPort
}

// Peer is another VM.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Routing holds the routing policy's settings.
type Routing struct {
	// Policy is cost, robin, least or hash; all but cost are baselines for measurements.
	Policy string
	// Span is how far away the homes of prefixes may stand: centre, region or everywhere; all VMs must have the same.
	Span string
	// Import is the time that the import of one token's KV cache takes; 0 turns imports off.
	Import time.Duration
}

// Times are the durations that a VM works with.
type Times struct {
	// Lease is how long a VM may act on its configuration after it asked for the lease; Renew is the interval of renewals.
	Lease time.Duration
	Renew time.Duration
	// Transit is the longest time that an order may be on its way to an engine.
	Transit time.Duration
	// Load is how long an engine that sends no report counts as loading.
	Load time.Duration
	// Election is the shortest election timeout of the control VMs.
	Election time.Duration
	// Heartbeat is the interval of heartbeats between VMs; Silence is how long a connection may be silent before it is replaced.
	Heartbeat time.Duration
	Silence   time.Duration
	// Headers and Gap limit an upstream's time to the response headers and between bytes.
	Headers time.Duration
	Gap     time.Duration
	// Balancer is how long a VM goes on accepting after it reports itself unready.
	Balancer time.Duration
	// Claim is how long a caller waits for the claim of a non-idempotent call.
	Claim time.Duration
	// Write is how long one write to a caller may take.
	Write time.Duration
	// Stop bounds a graceful shutdown.
	Stop time.Duration
	// Orders is how long after the last order of another VM a new holder of the order lease may send its first one.
	Orders time.Duration
	// Weights is the time within which engines must serve newly named weights.
	Weights time.Duration
	// Repair is how long a voter must be silent before another VM takes its place.
	Repair time.Duration
}

// Limits bound what a caller can make the VM hold.
type Limits struct {
	// Body is the largest request body in bytes; Headers the largest header block in bytes.
	Body    int64
	Headers int
	// Answer is the largest recorded answer of a non-idempotent call in bytes.
	Answer int64
	// Queue is the number of requests that wait for an upstream at most.
	Queue int
	// Loads is the number of engines that read from the weight store at once at most.
	Loads int
	// Retries is the number of repeated sends per request that all VMs together may make, Slack what they may make besides in any
	// window of a few seconds.
	Retries float64
	Slack   float64
	// Lines is the number of log lines per second that a VM writes at most.
	Lines int
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
		Limits:     Limits{Body: 8 << 20, Headers: 32 << 10, Answer: 64 << 10, Queue: 4096, Loads: 2, Retries: 0.1, Slack: 20, Lines: 500},
		Discovered: Discovered{Losses: 1, Lists: 10, Centres: map[string]string{}},
	}
}
