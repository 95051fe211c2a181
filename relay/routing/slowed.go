package routing

// AnySlow reports whether any upstream is known to be slow.
func (c *Core) AnySlow() bool {
	for _, u := range c.upstreams {
		if u.slow.slow {
			return true
		}
	}
	return false
}
