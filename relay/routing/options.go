package routing

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// Policy selects how upstreams are chosen.
type Policy string

// The policies: Cost is the default, the others here are baselines for comparison. Reuse is declared with its code.
const (
	Cost             Policy = "cost"
	RoundRobin       Policy = "robin"
	LeastOutstanding Policy = "least"
	PrefixHash       Policy = "hash"
)

// Times are the time constants of the core.
type Times struct {
	// PrefillWindow is the prefill work that an upstream gets in advance; more work waits in the VM's queue, where it can still be
	// reordered.
	PrefillWindow time.Duration
	// QueueTimeout limits the time from a request's arrival to its dispatch; an earlier deadline limits it further.
	QueueTimeout time.Duration
	// AgingInterval is the time in the queue that offsets one cost class.
	AgingInterval time.Duration
	// ProbeInterval is the first interval between probes of a slow upstream; it doubles up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// MinHedgeDelay is the shortest delay before a second attempt.
	MinHedgeDelay time.Duration
	// BaseBackoff bounds the random backoff before the first retry and doubles with each further one, up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// StaleAfter is the age from which load reports and digests are ignored.
	StaleAfter time.Duration
	// HalfLife is the time after which a use of a prefix counts half in its demand.
	HalfLife time.Duration
	// OutdatedAfter is the time after newer weights were named from which no request starts on older ones; 0 means never.
	OutdatedAfter time.Duration
}

// Link is the cost of using an upstream in another data centre or region.
type Link struct {
	// RoundTrip is added to the expected time to first token.
	RoundTrip time.Duration
	// Price is the gain in time that must be expected to send 1,000 prompt tokens over the link.
	Price time.Duration
}

// Shares bound parts of the traffic or weigh costs.
type Shares struct {
	// ReservedSlots is the share of an upstream's slots that long work may not use.
	ReservedSlots float64
	// Retry and Hedge are extra attempts per request.
	Retry float64
	Hedge float64
	// Waste weighs prefill work against waiting: 1 accepts a second of waiting to save a second of an upstream's prefill.
	Waste float64
	// Copy weighs the prefill of a shared prefix away from its homes.
	Copy float64
}

// settings are the parameters of a core.
type settings struct {
	vm        string
	centre    string
	region    string
	policy    Policy
	times     Times
	shares    Shares
	toCentre  Link
	toRegion  Link
	span      Span
	maxQueued int
	// room is the share of an engine's memory that requests in progress may take, 0 for no limit.
	room float64
	// prefillPerToken is the prefill time per token assumed until it is learned; transferPerToken is the time to import one token's
	// KV cache, 0 for no imports or fetches.
	prefillPerToken  time.Duration
	transferPerToken time.Duration
	random           *rand.Rand
	saltOf           func(account string, v Version) string
	cache            []cache.Option
	learnsSpeeds     bool
}

func defaults() settings {
	return settings{
		vm:     "vm",
		policy: Cost,
		times: Times{
			PrefillWindow: 400 * time.Millisecond, QueueTimeout: 60 * time.Second, AgingInterval: time.Second,
			ProbeInterval: time.Second, MaxProbeInterval: 8 * time.Second, MinHedgeDelay: 50 * time.Millisecond,
			BaseBackoff: 20 * time.Millisecond, MaxBackoff: time.Second,
			StaleAfter: 3 * time.Second, HalfLife: 10 * time.Second,
		},
		shares:          Shares{ReservedSlots: 0.25, Retry: 0.1, Hedge: 0.05, Waste: 1, Copy: 3},
		toCentre:        Link{RoundTrip: 2 * time.Millisecond, Price: 5 * time.Millisecond},
		toRegion:        Link{RoundTrip: 12 * time.Millisecond, Price: 50 * time.Millisecond},
		maxQueued:       4096,
		prefillPerToken: 100 * time.Microsecond,
		random:          rand.New(rand.NewPCG(1, 1)),
		saltOf:          func(account string, v Version) string { return account + "/" + v.Model + "/" + v.Weights },
	}
}

// Option sets a parameter of New.
type Option func(*settings)

// WithLocation sets the VM's name, data centre and region.
func WithLocation(vm, centre, region string) Option {
	return func(s *settings) { s.vm, s.centre, s.region = vm, centre, region }
}

// WithPolicy selects the policy; an unknown one acts as Cost.
func WithPolicy(policy Policy) Option { return func(s *settings) { s.policy = policy } }

// WithTimes changes time constants.
func WithTimes(change func(*Times)) Option { return func(s *settings) { change(&s.times) } }

// WithShares changes shares.
func WithShares(change func(*Shares)) Option { return func(s *settings) { change(&s.shares) } }

// WithLinks sets the costs of other data centres of the region and of other regions.
func WithLinks(centre, region Link) Option {
	return func(s *settings) { s.toCentre, s.toRegion = centre, region }
}

// WithMaxQueued bounds the number of queued requests; further ones are refused.
func WithMaxQueued(length int) Option { return func(s *settings) { s.maxQueued = length } }

// WithPrefill sets the prefill time per token assumed until it is learned.
func WithPrefill(perToken time.Duration) Option {
	return func(s *settings) { s.prefillPerToken = perToken }
}

// WithImport allows imports and fetches of KV cache, at the given time per token; 0 turns them off.
func WithImport(perToken time.Duration) Option {
	return func(s *settings) { s.transferPerToken = perToken }
}

// WithRandom sets the random source.
func WithRandom(random *rand.Rand) Option { return func(s *settings) { s.random = random } }

// WithSalt sets the function that returns the salt of an account's prompt parts in the engines' caches.
func WithSalt(salt func(account string, v Version) string) Option {
	return func(s *settings) { s.saltOf = salt }
}

// WithCache passes options to the cache index.
func WithCache(opts ...cache.Option) Option { return func(s *settings) { s.cache = opts } }
