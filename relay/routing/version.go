package routing

import (
	"math"
	"slices"
	"strconv"
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
	if g := c.sharedGroup(now, r, regions, r.Exclude); g != nil || len(r.Exclude) == 0 {
		return g
	}
	return c.sharedGroup(now, r, regions, nil)
}

// naming is a weights version that was named for a model, and when this VM learned of it.
type naming struct {
	weights uint64
	since   time.Duration
}

// mostNamings bounds the namings that are remembered of a model.
const mostNamings = 16

const (
	// preferAfter is the time after weights were named from which requests avoid older ones: answers made on them lose worth
	// soon after.
	preferAfter = 1300 * time.Millisecond
	// preferShare is the part of the serving slots that must serve the newest weights before they get all requests.
	preferShare = 0.3
)

// oldPrice is what an answer loses that is made on weights after newer ones were named for preferAfter, in parts of its worth.
const oldPrice = 0.22

// cheapestGroup returns the group with the cheapest upstream for a request, or nil. Older weights are taken only where that is
// worth their price, and never once they are outdated.
func (c *Core) cheapestGroup(now time.Duration, f *flight, regions uint64) *group {
	var only, best *group
	count, least := 0, 0.0
	for version, g := range c.groups {
		if version.Model == f.request.Model && version.Adapter == f.request.Adapter && g.serving(regions, nil) > 0 && !c.outdated(now, g) {
			only = g
			count++
		}
	}
	if count < 2 {
		return only
	}
	for version, g := range c.groups {
		if version.Model != f.request.Model || version.Adapter != f.request.Adapter || g.serving(regions, nil) == 0 || c.outdated(now, g) {
			continue
		}
		var p plan
		if !c.planFor(now, f, &p, g, regions) {
			continue
		}
		c.classify(f, &p)
		ch := c.choose(now, &p, nil)
		cost := math.Inf(1)
		if ch.best != nil {
			cost = ch.bestCost.total
		}
		if c.older(now, g) {
			cost += oldPrice
		}
		if best == nil || cost < least || cost == least && version.Weights > best.version.Weights {
			best, least = g, cost
		}
	}
	return best
}

// older reports whether answers on the group's weights lose worth because newer ones were named a while ago.
func (c *Core) older(now time.Duration, g *group) bool {
	list := c.named[g.version.Model]
	if len(list) == 0 || now < list[len(list)-1].since+preferAfter {
		return false
	}
	return g.version.Weights != strconv.FormatUint(list[len(list)-1].weights, 10)
}

func (m Newest) apply(c *Core, now time.Duration, _ *Effects) {
	version, err := strconv.ParseUint(m.Weights, 10, 64)
	if err != nil {
		return
	}
	list := c.named[m.Model]
	if len(list) > 0 && list[len(list)-1].weights >= version {
		return
	}
	if len(list) >= mostNamings {
		list = slices.Clone(list[1:])
	}
	c.named[m.Model] = append(list, naming{weights: version, since: now})
}

// outdated reports whether newer weights than the group's were named so long ago that no request may begin on the group's.
func (c *Core) outdated(now time.Duration, g *group) bool {
	list := c.named[g.version.Model]
	if c.times.Weights == 0 || len(list) == 0 {
		return false
	}
	version, err := strconv.ParseUint(g.version.Weights, 10, 64)
	if err != nil {
		return false
	}
	for _, n := range list {
		if n.weights > version {
			return now >= n.since+c.times.Weights
		}
	}
	return false
}

// preferred returns the group of the newest weights if requests are to go there, or nil.
func (c *Core) preferred(now time.Duration, r *Request, regions uint64) *group {
	list := c.named[r.Model]
	if len(list) == 0 {
		return nil
	}
	named := list[len(list)-1]
	if now < named.since+preferAfter {
		return nil
	}
	g := c.groups[Version{r.Model, r.Adapter, strconv.FormatUint(named.weights, 10)}]
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

func (c *Core) sharedGroup(now time.Duration, r *Request, regions uint64, exclude []string) *group {
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
		if slots == 0 || c.outdated(now, g) {
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
