package routing

// Waste counts prompt tokens, as a measure of the quality of placement.
type Waste struct {
	// Prompt, Cached and Prefilled count tokens of finished answers.
	Prompt    uint64
	Cached    uint64
	Prefilled uint64
	// Avoidable was prefilled although another upstream had it cached and would have given the first token earlier.
	Avoidable uint64
	// Cancelled was sent in attempts that were cancelled or failed, Hedged in attempts that another attempt of the request outran.
	Cancelled uint64
	Hedged    uint64
}

// Waste returns the counts since the core started.
func (c *Core) Waste() Waste { return c.waste }

// Total returns the tokens wasted for any reason.
func (w Waste) Total() uint64 { return w.Avoidable + w.Cancelled + w.Hedged }
