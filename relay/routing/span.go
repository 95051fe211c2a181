package routing

// Span is the greatest distance from a VM at which the homes of a prefix may be.
type Span int

// The spans: a wider one needs fewer copies of each prefix and sends more traffic over links.
const (
	Centre Span = iota
	Region
	Everywhere
)

// WithSpan sets the span of homes; VMs agree on homes only if all have the same span.
func WithSpan(span Span) Option { return func(s *settings) { s.span = span } }

// withinSpan reports whether an upstream is near enough to be a home; if none is, the nearest ones are.
func (c *Core) withinSpan(u *upstream, p *plan) bool {
	return u.distance <= int(c.span) || u.link == p.nearest
}
