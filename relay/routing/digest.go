package routing

import (
	"math"
	"sort"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// maxHints bounds a digest: with about 50 bytes per hint on the wire, a digest per second to seven peers stays below 9 KB/s.
const maxHints = 24

// Digest is the summary of its state that a VM sends to the other VMs of its cell, at an interval that grows with their number, or
// every second to the peers in the setting neighbours.
type Digest struct {
	VM string
	// Outstanding are the requests in progress per upstream, Accounts those per limited account.
	Outstanding map[string]int
	Accounts    map[string]int
	// PrefillTokens are the prompt tokens not yet prefilled, MemoryTokens the tokens that all requests in progress occupy, and Shared
	// the parts of MemoryTokens that others can share, per upstream.
	PrefillTokens map[string]int
	MemoryTokens  map[string]int
	Shared        map[string][]PartUse
	// ShortWork is the prefill work of short prompts per model, in milliseconds per second.
	ShortWork map[string]int
	Hot       []HotPrefix
	Hints     []cache.Hint
	// Speeds are this VM's new observations of the engines' speeds.
	Speeds []SpeedReport
}

// HotPrefix is the demand for a prefix.
type HotPrefix struct {
	Prefix uint64
	// Rate is in requests per second.
	Rate float64
}

// Digest returns this VM's digest and clears the hints of newly computed prefixes.
func (c *Core) Digest(now time.Duration) Digest {
	c.updateViews(now)
	d := Digest{VM: c.vm, Outstanding: map[string]int{}, Accounts: c.limits.Publish(), PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}, Shared: map[string][]PartUse{}}
	for _, u := range c.upstreams {
		if u.outstanding > 0 {
			d.Outstanding[u.info.Name] = u.outstanding
			d.PrefillTokens[u.info.Name] = workAhead(&u.backlog, numClasses-1)
			d.MemoryTokens[u.info.Name] = u.memory.tokens
			if uses := u.memory.uses(); len(uses) > 0 {
				d.Shared[u.info.Name] = uses
			}
		}
	}
	if c.speeds != nil {
		d.Speeds = c.speeds.Report()
	}
	if c.policy == Reuse {
		d.ShortWork = map[string]int{}
		for model, l := range c.lanes {
			d.ShortWork[model] = int(shortRateUnit * l.rate(now))
		}
		return d
	}
	d.Hints = c.takeComputed(now)
	for _, h := range c.demand.hottest(now) {
		d.Hot = append(d.Hot, HotPrefix{Prefix: h.prefix, Rate: c.demand.rate(now, h.prefix)})
		if len(d.Hints) < maxHints {
			d.Hints = c.cache.Hints(now, h.scope, h.level, d.Hints)
		}
	}
	d.Hints = d.Hints[:min(len(d.Hints), maxHints)]
	return d
}

// computed is a prefix that an engine has just computed; a hint makes peers use this copy instead of making another.
type computed struct {
	upstream *upstream
	scope    cache.Scope
	level    prompt.Level
}

// minHintTokens is the number of newly prefilled tokens from which a prefix is worth a hint.
const minHintTokens = 512

func (c *Core) addComputed(u *upstream, f *flight, m Finished) {
	if len(f.request.Levels) == 0 || f.sharedLevel < 0 {
		return
	}
	level := f.request.Levels[f.sharedLevel]
	if level.Tokens-m.CachedTokens < minHintTokens || len(c.computed) >= maxHints {
		return
	}
	c.computed = append(c.computed, computed{u, u.binding(f.request.scope()).Scope, level})
}

func (c *Core) takeComputed(now time.Duration) []cache.Hint {
	var hints []cache.Hint
	for _, n := range c.computed {
		if n.upstream.handle >= 0 {
			hints = c.cache.HintFor(now, n.upstream.handle, n.scope, n.level, hints)
		}
	}
	c.computed = c.computed[:0]
	return hints
}

func (m Digest) apply(c *Core, now time.Duration, effects *Effects) {
	if m.VM == c.vm {
		return
	}
	c.setPeer(now, m)
	c.receiveSpeeds(now, m.Speeds)
	c.limits.ReceiveDigest(now, m.VM, m.Accounts)
	c.demand.receive(now, m.VM, m.Hot)
	c.forgetPeers(now)
	c.cache.AddHints(now, m.Hints)
	c.dispatchQueue(now, effects)
}

// ownMeanDecay is the time constant of the mean of own requests in progress that a lagging load report is compared with.
const ownMeanDecay = 500 * time.Millisecond

// updateOwnMean updates the mean of this VM's own requests in progress.
func (u *upstream) updateOwnMean(now time.Duration) {
	elapsed := now - u.ownMeanAt
	u.ownMeanAt = now
	u.reported.ownMean += (float64(u.outstanding) - u.reported.ownMean) * (1 - math.Exp(-float64(elapsed)/float64(ownMeanDecay)))
}

// sortedNames returns the names in order, so that sums of floating-point numbers don't depend on map order.
func sortedNames[T any](peers map[string]T) []string {
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
