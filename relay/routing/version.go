package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groupFor returns the upstreams of the version that the request names, or nil. Requests without a version are spread over the
// versions in service by their slots, so that the first upstream of a new version doesn't get all of them. All VMs score the versions
// alike, so a prefix stays with one version while the slots stay the same.
func (c *Core) groupFor(now time.Duration, r *Request, regions uint64) *group {
	if r.Weights != "" {
		return c.groups[Version{r.Model, r.Adapter, r.Weights}]
	}
	if g := c.newestGroup(now, r, regions); g != nil {
		return g
	}
	if g := c.groupBySlots(now, r, regions, r.Exclude); g != nil || len(r.Exclude) == 0 {
		return g
	}
	return c.groupBySlots(now, r, regions, nil)
}

// namedVersion is a weights version that an operator named for a model, and when.
type namedVersion struct {
	weights uint64
	at      time.Duration
}

// maxNamedVersions bounds the versions kept for a model.
const maxNamedVersions = 16

const (
	// preferNewestAfter is the time after the naming of weights from which requests avoid older ones: answers made on these lose
	// worth soon after.
	preferNewestAfter = 1300 * time.Millisecond
	// preferNewestShare is the share of the serving slots that must serve the newest weights before they get all requests.
	preferNewestShare = 0.3
)

// olderWeightsPrice is the loss of an answer on weights that are older for longer than preferNewestAfter, as a share of its worth.
const olderWeightsPrice = 0.22

// cheapestGroup returns the group with the cheapest upstream for a request, or nil. Groups on older weights bear olderWeightsPrice,
// and outdated ones are left out.
func (c *Core) cheapestGroup(now time.Duration, f *flight, regions uint64) *group {
	var only, best *group
	count, least := 0, 0.0
	for version, g := range c.groups {
		if version.Model == f.request.Model && version.Adapter == f.request.Adapter && g.servingSlots(&f.request, regions, nil) > 0 && !c.outdated(now, g) {
			only = g
			count++
		}
	}
	if count < 2 {
		return only
	}
	for version, g := range c.groups {
		if version.Model != f.request.Model || version.Adapter != f.request.Adapter || g.servingSlots(&f.request, regions, nil) == 0 || c.outdated(now, g) {
			continue
		}
		var p plan
		if !c.planInGroup(now, f, &p, g, regions) {
			continue
		}
		c.classify(f, &p)
		ch := c.choose(now, &p, nil)
		cost := math.Inf(1)
		if ch.best != nil {
			cost = ch.bestCost.total
		}
		if c.older(now, g) {
			cost += olderWeightsPrice
		}
		if best == nil || cost < least || cost == least && version.Weights > best.version.Weights {
			best, least = g, cost
		}
	}
	return best
}

// older reports whether newer weights than the group's were named at least preferNewestAfter ago.
func (c *Core) older(now time.Duration, g *group) bool {
	list := c.named[g.version.Model]
	if len(list) == 0 || now < list[len(list)-1].at+preferNewestAfter {
		return false
	}
	return g.version.Weights != strconv.FormatUint(list[len(list)-1].weights, 10)
}

func (m NamedWeights) apply(c *Core, now time.Duration, _ *Effects) {
	version, err := strconv.ParseUint(m.Weights, 10, 64)
	if err != nil {
		return
	}
	list := c.named[m.Model]
	i, known := slices.BinarySearchFunc(list, version, func(n namedVersion, v uint64) int { return cmp.Compare(n.weights, v) })
	if known {
		list[i].at = min(list[i].at, now-m.Age)
	} else {
		list = slices.Insert(list, i, namedVersion{weights: version, at: now - m.Age})
	}
	if len(list) > maxNamedVersions {
		// What the dropped version has made outdated remains so.
		list[1].at = min(list[0].at, list[1].at)
		list = list[1:]
	}
	c.named[m.Model] = list
}

// outdated reports whether newer weights than the group's were named so long ago that no request may start on the group's.
func (c *Core) outdated(now time.Duration, g *group) bool {
	list := c.named[g.version.Model]
	if c.times.OutdatedAfter == 0 || len(list) == 0 {
		return false
	}
	version, err := strconv.ParseUint(g.version.Weights, 10, 64)
	if err != nil {
		return false
	}
	for _, n := range list {
		if n.weights > version {
			return now >= n.at+c.times.OutdatedAfter
		}
	}
	return false
}

// newestGroup returns the group of the newest weights if all requests are to go there, or nil.
func (c *Core) newestGroup(now time.Duration, r *Request, regions uint64) *group {
	list := c.named[r.Model]
	if len(list) == 0 {
		return nil
	}
	newest := list[len(list)-1]
	if now < newest.at+preferNewestAfter {
		return nil
	}
	g := c.groups[Version{r.Model, r.Adapter, strconv.FormatUint(newest.weights, 10)}]
	if g == nil {
		return nil
	}
	allSlots := 0
	for version, other := range c.groups {
		if version.Model == r.Model && version.Adapter == r.Adapter {
			allSlots += other.servingSlots(r, regions, nil)
		}
	}
	if slots := g.servingSlots(r, regions, r.Exclude); slots > 0 && float64(slots) >= preferNewestShare*float64(allSlots) {
		return g
	}
	return nil
}

// groupBySlots returns the group with the highest rendezvous score, weighted by serving slots, or nil.
func (c *Core) groupBySlots(now time.Duration, r *Request, regions uint64, exclude []string) *group {
	key := xxhash.Sum64String(r.ID)
	if len(r.Levels) > 0 {
		key = mix(r.Levels[0].Hash, xxhash.Sum64String(r.scope()))
	}
	var best *group
	highest := 0.0
	for version, g := range c.groups {
		if version.Model != r.Model || version.Adapter != r.Adapter {
			continue
		}
		slots := g.servingSlots(r, regions, exclude)
		if slots == 0 || c.outdated(now, g) {
			continue
		}
		score := rendezvousScore(mix(key, g.seed), slots)
		if best == nil || score > highest || score == highest && version.Weights > best.version.Weights {
			best, highest = g, score
		}
	}
	return best
}

// rendezvousScore is the score of weighted rendezvous hashing: each candidate has the highest with a probability in proportion to its
// slots.
func rendezvousScore(hash uint64, slots int) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -float64(slots) / math.Log(uniform)
}

// servingSlots returns the slots of the upstreams in the given regions that take the request if it is new.
func (g *group) servingSlots(r *Request, regions uint64, exclude []string) int {
	slots := 0
	for _, u := range g.list {
		if !u.draining && u.region&regions != 0 && r.fits(u) && !slices.Contains(exclude, u.info.Name) {
			slots += u.slots
		}
	}
	return slots
}
