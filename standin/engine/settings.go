package engine

import "time"

// Version identifies what an engine serves; all engines of one version give the same output to the same request.
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

// Settings are the properties of an engine.
type Settings struct {
	Version Version
	// Software is the version of the engine's own software, which it tells in answers and load reports; empty tells none.
	Software string
	// Slots is the maximum number of requests in a batch.
	Slots int
	// Prefill is the prefill rate of the whole batch in tokens per second.
	Prefill float64
	// Decode is the decode rate of a single request in tokens per second. A batch step takes 1/Decode seconds, plus PerRunning for
	// each running request, plus the time of the prompt tokens that it prefills.
	Decode     float64
	PerRunning time.Duration
	// Chunk is the maximum number of prompt tokens prefilled in one batch step.
	Chunk int
	// Block is the length of a cache block and Cache the capacity of the prefix cache, both in tokens. With Shared, running
	// requests take their memory from that capacity: unreferenced cached blocks are evicted first, then the running request of the
	// lowest priority is preempted.
	Block  int
	Cache  int
	Shared bool
	// EventLag delays cache events; EventLoss is the fraction of them that is lost; EventKeep is the number retained for readers, and
	// 0 disables them.
	EventLag  time.Duration
	EventLoss float64
	EventKeep int
	// ReportLag delays load reports.
	ReportLag time.Duration
	// Loading is the duration of a load once all accepted requests have ended and the weights are available.
	Loading time.Duration
	// Fetched is set if weights come from a store: a load then waits for a call of Fetch.
	Fetched bool
	// Import is the rate of KV cache imports in tokens per second.
	Import float64
	// Fenced makes the engine reject orders whose fencing number is lower than the highest seen.
	Fenced bool
	// Quiet omits all token events of a request but the first; decode steps are then merged, which makes long simulations cheap.
	Quiet bool
	Slow  []Slow
	// Seed determines which cache events are lost; Incarnation is the incarnation of the first start.
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

// WithVersion sets the version that the engine serves.
func WithVersion(version Version) Option { return func(s *Settings) { s.Version = version } }

// WithSoftware sets the software version that the engine tells.
func WithSoftware(software string) Option { return func(s *Settings) { s.Software = software } }

// WithBatch sets the number of slots and the prefill and decode rates in tokens per second.
func WithBatch(slots int, prefill, decode float64) Option {
	return func(s *Settings) { s.Slots, s.Prefill, s.Decode = slots, prefill, decode }
}

// WithCache sets the capacity of the prefix cache and the length of its blocks, both in tokens.
func WithCache(tokens, block int) Option {
	return func(s *Settings) { s.Cache, s.Block = tokens, block }
}

// Users returns settings that match the users' engines; memory is the capacity for KV cache in tokens.
func Users(memory int) Settings {
	s := Default()
	s.Slots, s.Prefill, s.Decode, s.PerRunning, s.Chunk = 96, 41_400, 1/0.00463, 11600*time.Nanosecond, 1024
	s.Block, s.Cache, s.Shared = 16, memory, true
	s.EventLag, s.EventLoss, s.ReportLag = 80*time.Millisecond, 0.03, 200*time.Millisecond
	// The import rate follows from 262,144 bytes per token and links of 550 Gbit/s.
	s.Import, s.Loading = 262_268, 380*time.Millisecond
	return s
}

// WithEvents sets the delay of cache events, the fraction that is lost and the number retained; keep = 0 disables them.
func WithEvents(lag time.Duration, loss float64, keep int) Option {
	return func(s *Settings) { s.EventLag, s.EventLoss, s.EventKeep = lag, loss, keep }
}

// WithReportLag sets the delay of load reports.
func WithReportLag(lag time.Duration) Option { return func(s *Settings) { s.ReportLag = lag } }

// WithFenced sets whether orders with a fencing number lower than the highest seen are rejected.
func WithFenced(fenced bool) Option { return func(s *Settings) { s.Fenced = fenced } }

// WithQuiet omits all token events of a request but the first.
func WithQuiet() Option { return func(s *Settings) { s.Quiet = true } }

// WithSlow adds a window of slow batch steps.
func WithSlow(slow Slow) Option { return func(s *Settings) { s.Slow = append(s.Slow, slow) } }

// WithIncarnation sets the incarnation of the first start.
func WithIncarnation(incarnation uint64) Option {
	return func(s *Settings) { s.Incarnation = incarnation }
}
