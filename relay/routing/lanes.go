package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Lanes separate short prompts, whose answers must not pause, from long prompts, whose prefill lengthens every step of an engine:
// some engines are set aside for short prompts, as many as their work needs. All VMs rank the engines alike and share the rates of
// short work, so that they arrive at about the same lanes.

const (
	// maxShortTokens is the length up to which a prompt counts as short: an engine prefills it within a step or two.
	maxShortTokens = 2048
	// shortShare is the share of an engine's time for the prefill of short prompts where they run alone; the rest is decoding.
	shortShare = 0.4
	// minLaneEngines is the number of a model's engines from which there are lanes.
	minLaneEngines = 3
	// shortRateDecay is the time constant of the rate of short work.
	shortRateDecay = 3 * time.Second
	// laneHold is how long engines stay set aside after short work last needed them. It is longer than the load waves of 13 and 17 s
	// in the users' load sheets, since an engine that changes lanes has both kinds of work for a while.
	laneHold = 20 * time.Second
	// longInShortLanePrice is the cost of a long prefill beside short answers that must not pause, shortInLongLanePrice that of a
	// short answer beside long prefills, as shares of a request's worth.
	longInShortLanePrice = 0.4
	shortInLongLanePrice = 0.2
)

// shortLane tracks the prefill of one model's short prompts and the number of engines set aside for them.
type shortLane struct {
	updatedAt time.Duration
	// work is the recent prefill in seconds, decayed to updatedAt.
	work float64
	// count is the number of engines set aside, neededAt the time at which that many were last needed.
	count    int
	neededAt time.Duration
}

// engines returns the number of engines to set aside for the given need: a higher need counts at once, a lower one after laneHold.
func (l *shortLane) engines(now time.Duration, need int) int {
	if need >= l.count || now-l.neededAt > laneHold {
		l.count, l.neededAt = need, now
	}
	return l.count
}

// add records prefill work in seconds.
func (l *shortLane) add(now time.Duration, work float64) {
	l.decay(now)
	l.work += work
}

func (l *shortLane) decay(now time.Duration) {
	l.work *= math.Exp(-float64(now-l.updatedAt) / float64(shortRateDecay))
	l.updatedAt = now
}

// rate returns the seconds of work per second.
func (l *shortLane) rate(now time.Duration) float64 {
	l.decay(now)
	return l.work / shortRateDecay.Seconds()
}

// countShort adds a short request's prefill to its model's short lane.
func (c *Core) countShort(now time.Duration, f *flight, u *upstream) {
	if c.policy != Reuse || f.request.PromptTokens > maxShortTokens {
		return
	}
	l, ok := c.lanes[u.info.Model]
	if !ok {
		l = &shortLane{updatedAt: now}
		c.lanes[u.info.Model] = l
	}
	l.add(now, float64(f.request.PromptTokens)*u.group.model.perToken.value)
}

// assignLanes decides which engines are set aside for short prompts.
func (c *Core) assignLanes(now time.Duration) {
	if c.laneRanks == nil {
		c.rankLanes()
	}
	for model, ranked := range c.laneRanks {
		l := c.lanes[model]
		if l == nil || len(ranked) < minLaneEngines {
			continue
		}
		units := 0
		for _, peer := range c.peers {
			if now-peer.received <= c.times.StaleAfter {
				units += peer.shortWork[model]
			}
		}
		rate := l.rate(now) + float64(units)/shortRateUnit
		count := l.engines(now, min(len(ranked)/2, max(1, int(math.Ceil(rate/shortShare)))))
		for _, u := range ranked {
			// An engine that takes no requests, such as one that loads weights, is replaced in the lane meanwhile.
			u.inShortLane, u.hasLane = count > 0 && !u.draining && !u.silent, true
			if u.inShortLane {
				count--
			}
		}
	}
}

// rankLanes ranks the engines of each model within the cell; it is called after a change of the engines or of the cell.
func (c *Core) rankLanes() {
	c.laneRanks = map[string][]*upstream{}
	for _, u := range c.upstreams {
		u.inShortLane, u.hasLane = false, false
		if u.distance <= int(c.cellSpan) {
			c.laneRanks[u.info.Model] = append(c.laneRanks[u.info.Model], u)
		}
	}
	for model, list := range c.laneRanks {
		c.laneRanks[model] = rankByRegion(list)
	}
}

// shortRateUnit is the number of units per second of work in which digests carry the lanes' rates.
const shortRateUnit = 1000

// rankByRegion orders engines so that any leading ones of them are spread over the regions.
func rankByRegion(list []*upstream) []*upstream {
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.info.Region, b.info.Region), cmp.Compare(a.seed, b.seed))
	})
	rank := map[*upstream]int{}
	count := map[string]int{}
	for _, u := range ranked {
		rank[u] = count[u.info.Region]
		count[u.info.Region]++
	}
	slices.SortStableFunc(ranked, func(a, b *upstream) int { return cmp.Compare(rank[a], rank[b]) })
	return ranked
}

// laneCost returns the cost of a request in the wrong lane, to itself or to others; tokens is the part of the prompt to be prefilled.
func (u *upstream) laneCost(p *plan, tokens int) float64 {
	switch {
	case !u.hasLane:
		return 0
	case u.inShortLane && tokens > maxShortTokens/2:
		return longInShortLanePrice * min(1, float64(tokens)/(2*maxShortTokens))
	case !u.inShortLane && p.tokens <= maxShortTokens:
		return shortInLongLanePrice
	}
	return 0
}
