package engine

import "time"

// Version identifies what an engine serves; answers are the same on all engines of one version.
type Version struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Weights string `json:"weights"`
}

// Slow is a window in which every batch step takes Factor times as long.
type Slow struct {
	From   time.Duration
	Until  time.Duration
	Factor float64
}

// Settings are an engine's properties.
type Settings struct {
	Version Version
	// Slots is the number of requests that are batched at once.
	Slots int
	// Prefill is the prompt rate of the whole batch in tokens per second.
	Prefill float64
	// Decode is the rate of a lone answer in tokens per second: each batch step takes 1/Decode seconds, PerRunning for each request in
	// it, and the time of the prompt tokens that it computes.
	Decode     float64
	PerRunning time.Duration
	// Chunk is the number of prompt tokens computed in one batch step at most.
	Chunk int
	// Block is the length of a cache block in tokens; Cache is the memory of the prefix cache in tokens, which Shared says that
	// running requests share: cached blocks that none of them uses yield first, then the least urgent request that runs.
	Block  int
	Cache  int
	Shared bool
	// EventLag delays cache events; EventLoss is the share of them that is lost; EventKeep is the number kept for readers, 0 turns them off.
	EventLag  time.Duration
	EventLoss float64
	EventKeep int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Loading is the time that an order to load takes once the running requests have ended and the weights are there.
	Loading time.Duration
	// Fetched says that weights come from a store: a load goes on once Fetch is called.
	Fetched bool
	// Import is the rate in tokens per second at which imported KV cache becomes usable.
	Import float64
	// Fenced says that orders with an old fencing number are refused.
	Fenced bool
	// Quiet leaves out token events other than an answer's first, which makes long simulations cheap.
	Quiet bool
	Slow  []Slow
	// Seed drives the loss of events; Incarnation tells starts apart.
	Seed        uint64
	Incarnation uint64
}

// Default returns the settings of a small engine.
func Default() Settings {
	return Settings{
		Version: Version{Model: "base", Weights: "1"},
		Slots:   16, Prefill: 8000, Decode: 40, Chunk: 512, Block: 16, Cache: 200_000,
		EventLag: 200 * time.Millisecond, EventKeep: 1 << 16, ReportLag: 500 * time.Millisecond,
		Loading: 2 * time.Second, Import: 100_000, Fenced: true, Seed: 1, Incarnation: 1,
	}
}

// Option changes an engine's settings.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option { return func(s *Settings) { *s = settings } }

// WithVersion sets what the engine serves.
func WithVersion(version Version) Option { return func(s *Settings) { s.Version = version } }

// WithBatch sets the number of slots and the rates of prompts and answers in tokens per second.
func WithBatch(slots int, prefill, decode float64) Option {
	return func(s *Settings) { s.Slots, s.Prefill, s.Decode = slots, prefill, decode }
}

// WithCache sets the memory of the prefix cache and the length of its blocks in tokens.
func WithCache(tokens, block int) Option {
	return func(s *Settings) { s.Cache, s.Block = tokens, block }
}

// Users returns the settings of an engine as on the users' machines, with its memory in tokens.
func Users(memory int) Settings {
	s := Default()
	s.Slots, s.Prefill, s.Decode, s.PerRunning, s.Chunk = 96, 41_400, 1/0.00463, 11600*time.Nanosecond, 1024
	s.Block, s.Cache, s.Shared = 16, memory, true
	s.EventLag, s.EventLoss, s.ReportLag = 80*time.Millisecond, 0.03, 200*time.Millisecond
	// A token takes 262,144 bytes on links of 550 Gbit/s.
	s.Import, s.Loading = 262_268, 380*time.Millisecond
	return s
}

// WithEvents sets the delay of cache events, the share that is lost and the number kept; 0 turns them off.
func WithEvents(lag time.Duration, loss float64, keep int) Option {
	return func(s *Settings) { s.EventLag, s.EventLoss, s.EventKeep = lag, loss, keep }
}

// WithReportLag sets the age of load reports.
func WithReportLag(lag time.Duration) Option { return func(s *Settings) { s.ReportLag = lag } }

// WithFenced says whether orders with an old fencing number are refused.
func WithFenced(fenced bool) Option { return func(s *Settings) { s.Fenced = fenced } }

// WithQuiet leaves out token events other than an answer's first.
func WithQuiet() Option { return func(s *Settings) { s.Quiet = true } }

// WithSlow adds a window of slow batch steps.
func WithSlow(slow Slow) Option { return func(s *Settings) { s.Slow = append(s.Slow, slow) } }

// WithIncarnation sets the incarnation of the first start.
func WithIncarnation(incarnation uint64) Option {
	return func(s *Settings) { s.Incarnation = incarnation }
}
