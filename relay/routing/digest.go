package routing

import (
	"math"
	"sort"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// maxHints bounds a digest: with about 50 bytes each on the wire, a digest per second to seven neighbours stays below 9 KB/s.
const maxHints = 24

// Digest is what a VM tells the others of its data centre every second.
type Digest struct {
	VM string
	// Outstanding are the requests in progress per upstream, Accounts per limited account.
	Outstanding map[string]int
	Accounts    map[string]int
	// Prompts are the prompt tokens not yet read, Memory what all requests in progress take, and Shared the parts of it that others
	// may share, per upstream.
	Prompts map[string]int
	Memory  map[string]int
	Shared  map[string][]Use
	// Light is the short work per model in milliseconds per second.
	Light map[string]int
	Hot   []Hot
	Hints []cache.Hint
}

// Hot is the demand for a prefix.
type Hot struct {
	Prefix uint64
	// Rate is in requests per second.
	Rate float64
}

type neighbour struct {
	heard       time.Duration
	outstanding map[string]int
	prompts     map[string]int
	memory      map[string]int
	shared      map[string][]Use
	light       map[string]int
}

// Digest returns this VM's digest.
func (c *Core) Digest(now time.Duration) Digest {
	d := Digest{VM: c.vm, Outstanding: map[string]int{}, Accounts: c.limits.Publish(), Prompts: map[string]int{}, Memory: map[string]int{}, Shared: map[string][]Use{}}
	for _, u := range c.upstreams {
		if u.outstanding > 0 {
			d.Outstanding[u.info.Name] = u.outstanding
			d.Prompts[u.info.Name] = ahead(&u.backlog, classes-1)
			d.Memory[u.info.Name] = u.memory.tokens
			if uses := u.memory.uses(); len(uses) > 0 {
				d.Shared[u.info.Name] = uses
			}
		}
	}
	if c.policy == Reuse {
		d.Light = map[string]int{}
		for model, l := range c.lanes {
			d.Light[model] = int(lightUnit * l.rate(now))
		}
		return d
	}
	d.Hints = c.takeNews(now)
	for _, h := range c.demand.hottest(now) {
		d.Hot = append(d.Hot, Hot{Prefix: h.prefix, Rate: c.demand.rate(now, h.prefix)})
		if len(d.Hints) < maxHints {
			d.Hints = c.cache.Hints(now, h.scope, h.level, d.Hints)
		}
	}
	d.Hints = d.Hints[:min(len(d.Hints), maxHints)]
	return d
}

// news is a prefix that an engine has just computed: the neighbours should use that copy instead of making another.
type news struct {
	up    *upstream
	scope cache.Scope
	level prompt.Level
}

// newsTokens is the prefill from which a new copy is worth a hint.
const newsTokens = 512

func (c *Core) addNews(u *upstream, f *flight, m Finished) {
	if len(f.request.Levels) == 0 || f.shared < 0 {
		return
	}
	level := f.request.Levels[f.shared]
	if level.Tokens-m.CachedTokens < newsTokens || len(c.news) >= maxHints {
		return
	}
	c.news = append(c.news, news{u, u.key(f.request.Account).Scope, level})
}

func (c *Core) takeNews(now time.Duration) []cache.Hint {
	var hints []cache.Hint
	for _, n := range c.news {
		if n.up.handle >= 0 {
			hints = c.cache.HintAt(now, n.up.handle, n.scope, n.level, hints)
		}
	}
	c.news = c.news[:0]
	return hints
}

func (m Digest) apply(c *Core, now time.Duration, effects *Effects) {
	if m.VM == c.vm {
		return
	}
	c.peers[m.VM] = &neighbour{heard: now, outstanding: m.Outstanding, prompts: m.Prompts, memory: m.Memory, shared: m.Shared, light: m.Light}
	c.limits.Hear(now, m.VM, m.Accounts)
	c.demand.hear(now, m.VM, m.Hot)
	c.forgetPeers(now)
	c.cache.Adopt(now, m.Hints)
	for _, u := range c.upstreams {
		c.countOthers(now, u)
	}
	c.pump(now, effects)
}

// forgetAfter is the silence in multiples of Times.Stale after which a VM is forgotten, so that names of past VMs don't add up.
const forgetAfter = 20

func (c *Core) forgetPeers(now time.Duration) {
	for vm, peer := range c.peers {
		if now-peer.heard > forgetAfter*c.times.Stale {
			delete(c.peers, vm)
			delete(c.demand.peers, vm)
			c.limits.Forget(vm)
		}
	}
}

// neighbours returns the number of VMs heard of lately.
func (c *Core) neighbours(now time.Duration) int {
	n := 0
	for _, peer := range c.peers {
		if now-peer.heard <= c.times.Stale {
			n++
		}
	}
	return n
}

// ownMemory is the time constant of the mean of own requests in progress that a lagging report is compared with.
const ownMemory = 500 * time.Millisecond

// smooth keeps the mean of this VM's own requests in progress.
func (u *upstream) smooth(now time.Duration) {
	elapsed := now - u.smoothed
	u.smoothed = now
	u.reported.own += (float64(u.outstanding) - u.reported.own) * (1 - math.Exp(-float64(elapsed)/float64(ownMemory)))
}

// countOthers estimates the other VMs' requests at an upstream: by the neighbours' digests and by the upstream's report, whichever is more.
func (c *Core) countOthers(now time.Duration, u *upstream) {
	told := 0
	u.othersPrompt, u.othersMemory, u.othersAt = 0, 0, now
	clear(u.othersShared)
	for _, peer := range c.peers {
		if now-peer.heard <= c.times.Stale {
			told += peer.outstanding[u.info.Name]
			u.hearUses(peer.memory[u.info.Name], peer.shared[u.info.Name])
			// What was told a while ago has been read since.
			read := (now - peer.heard).Seconds() / max(u.group.model.perToken.value, 1e-7)
			u.othersPrompt += max(0, peer.prompts[u.info.Name]-int(read))
		}
	}
	if u.reported.heard && now-u.reported.at <= c.times.Stale {
		told = max(told, u.reported.outstanding-int(math.Ceil(u.reported.own)))
	}
	u.others = told
}

// sortedVMs returns the names in order, so that sums of floating-point numbers don't depend on map order.
func sortedVMs[T any](peers map[string]T) []string {
	names := make([]string, 0, len(peers))
	for name := range peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
