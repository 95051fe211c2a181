package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Lanes keep short prompts whose answers are watched for pauses apart from long prompts, whose prefill lengthens every step of an
// engine: some engines are set aside for short prompts, as many as their work needs. All VMs rank the engines in the same way
// and share how much work there is, so that they come to about the same lanes.

const (
	// lightTokens is the length of a prompt up to which it counts as short: an engine reads it within a step or two.
	lightTokens = 2048
	// lightShare is the part of an engine's time that short prompts may take where they run alone: the rest is decoding.
	lightShare = 0.4
	// leastLanes is the number of engines from which lanes are kept.
	leastLanes = 3
	// lightMemory is the time constant of the rate of short work.
	lightMemory = 3 * time.Second
	// laneHold is how long engines stay set aside that the short work no longer needs, longer than the sheets' waves of 13 and 17 s: an
	// engine that changes lanes has both kinds of work for a while.
	laneHold = 20 * time.Second
	// heavyPrice is what a long prefill costs beside short answers that must not pause, strayPrice what a short answer loses beside
	// long prefills, in parts of a request's worth.
	heavyPrice = 0.4
	strayPrice = 0.2
)

// lane is the short work of one model.
type lane struct {
	at   time.Duration
	work float64
	// count is the number of engines set aside, needed when that many were last needed.
	count  int
	needed time.Duration
}

// engines returns the number of engines to set aside when the work needs the given one: at once more, after a while fewer.
func (l *lane) engines(now time.Duration, need int) int {
	if need >= l.count || now-l.needed > laneHold {
		l.count, l.needed = need, now
	}
	return l.count
}

// add takes prefill work in seconds.
func (l *lane) add(now time.Duration, work float64) {
	l.decay(now)
	l.work += work
}

func (l *lane) decay(now time.Duration) {
	l.work *= math.Exp(-float64(now-l.at) / float64(lightMemory))
	l.at = now
}

// rate is the seconds of work per second.
func (l *lane) rate(now time.Duration) float64 {
	l.decay(now)
	return l.work / lightMemory.Seconds()
}

// countLight adds a short request's prefill to its model's lane.
func (c *Core) countLight(now time.Duration, f *flight, u *upstream) {
	if c.policy != Reuse || f.request.PromptTokens > lightTokens {
		return
	}
	l, ok := c.lanes[u.info.Model]
	if !ok {
		l = &lane{at: now}
		c.lanes[u.info.Model] = l
	}
	l.add(now, float64(f.request.PromptTokens)*u.group.model.perToken.value)
}

// setLanes decides which engines are set aside for short prompts.
func (c *Core) setLanes(now time.Duration) {
	models := map[string][]*upstream{}
	for _, u := range c.upstreams {
		u.light, u.laned = false, false
		if u.far > int(c.cell) {
			continue
		}
		models[u.info.Model] = append(models[u.info.Model], u)
	}
	for model, list := range models {
		l := c.lanes[model]
		if l == nil || len(list) < leastLanes {
			continue
		}
		rate := l.rate(now)
		for _, vm := range sortedVMs(c.peers) {
			if peer := c.peers[vm]; now-peer.heard <= c.times.Stale {
				rate += float64(peer.light[model]) / lightUnit
			}
		}
		count := l.engines(now, min(len(list)/2, max(1, int(math.Ceil(rate/lightShare)))))
		for i, u := range rankByRegion(list) {
			u.light, u.laned = i < count, true
		}
	}
}

// lightUnit is the number of parts of a second in which lanes' rates are told.
const lightUnit = 1000

// rankByRegion orders engines so that any first few of them are spread over the regions.
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

// laneCost is what a request loses, or makes others lose, in the wrong lane; tokens is the prompt's length that must be read.
func (u *upstream) laneCost(p *plan, tokens int) float64 {
	switch {
	case !u.laned:
		return 0
	case u.light && tokens > lightTokens/2:
		return heavyPrice * min(1, float64(tokens)/(2*lightTokens))
	case !u.light && p.tokens <= lightTokens:
		return strayPrice
	}
	return 0
}
