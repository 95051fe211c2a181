package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groupFor returns the upstreams of the version that the request wants, or nil. Without a wanted version the versions in service
// share the work by their slots, so that the first upstream of a new version doesn't get all of it; a prefix stays with one
// version as long as the shares stay, because all VMs score the versions in the same way.
func (c *Core) groupFor(now time.Duration, r *Request, regions uint64) *group {
	if r.Weights != "" {
		return c.groups[Version{r.Model, r.Adapter, r.Weights}]
	}
	if g := c.preferred(now, r, regions); g != nil {
		return g
	}
	if g := c.sharedGroup(r, regions, r.Exclude); g != nil || len(r.Exclude) == 0 {
		return g
	}
	return c.sharedGroup(r, regions, nil)
}

// newest is the weights version that was named last for a model.
type newest struct {
	weights string
	since   time.Duration
}

const (
	// preferAfter is the time after weights were named from which requests avoid older ones: answers made on them lose worth
	// soon after.
	preferAfter = 1300 * time.Millisecond
	// preferShare is the part of the serving slots that must serve the newest weights before they get all requests.
	preferShare = 0.3
)

func (m Newest) apply(c *Core, now time.Duration, _ *Effects) {
	if c.newest[m.Model].weights != m.Weights {
		c.newest[m.Model] = newest{weights: m.Weights, since: now}
	}
}

// preferred returns the group of the newest weights if requests are to go there, or nil.
func (c *Core) preferred(now time.Duration, r *Request, regions uint64) *group {
	named, ok := c.newest[r.Model]
	if !ok || now < named.since+preferAfter {
		return nil
	}
	g := c.groups[Version{r.Model, r.Adapter, named.weights}]
	if g == nil {
		return nil
	}
	all := 0
	for version, other := range c.groups {
		if version.Model == r.Model && version.Adapter == r.Adapter {
			all += other.serving(regions, nil)
		}
	}
	if slots := g.serving(regions, r.Exclude); slots > 0 && float64(slots) >= preferShare*float64(all) {
		return g
	}
	return nil
}

func (c *Core) sharedGroup(r *Request, regions uint64, exclude []string) *group {
	key := xxhash.Sum64String(r.ID)
	if len(r.Levels) > 0 {
		key = mix(r.Levels[0].Hash, xxhash.Sum64String(r.Account))
	}
	var best *group
	most := 0.0
	for version, g := range c.groups {
		if version.Model != r.Model || version.Adapter != r.Adapter {
			continue
		}
		slots := g.serving(regions, exclude)
		if slots == 0 {
			continue
		}
		score := share(mix(key, g.seed), slots)
		if best == nil || score > most || score == most && version.Weights > best.version.Weights {
			best, most = g, score
		}
	}
	return best
}

// share is the score of weighted rendezvous hashing: the highest of several falls to each with a probability in proportion to its slots.
func share(hash uint64, slots int) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(uniform)
}

// serving returns the slots of the upstreams that take new work in the given regions.
func (g *group) serving(regions uint64, exclude []string) int {
	slots := 0
	for _, u := range g.list {
		if !u.closed && u.region&regions != 0 && !slices.Contains(exclude, u.info.Name) {
			slots += u.slots
		}
	}
	return slots
}
