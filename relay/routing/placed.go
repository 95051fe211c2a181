package routing

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// noticeTokens is the prefill from which other VMs are told of a placement at once: work for which a request behind it waits.
const noticeTokens = 512

// Placed tells a neighbour of a placement as soon as it is made. Digests come too late for it: VMs that see the same idle engine
// would all send their next long prompts there, and read the same parts again at several engines.
type Placed struct {
	VM       string
	Upstream string
	// Prompt is the part of the prompt that the engine must read, Memory the whole of it, in tokens.
	Prompt int
	Memory int
	// Epoch identifies the life of the engine's cache, Parts the parts that it will hold.
	Epoch uint64
	Parts []uint64
}

// notice returns what neighbours are told of a placement, or nil for a small one.
func (c *Core) notice(u *upstream, p *plan, cached int) *Placed {
	uncached := p.flight.request.PromptTokens - cached
	if c.policy != Reuse || uncached < noticeTokens {
		return nil
	}
	// The last part is the request's own, which nobody else asks for.
	parts := slices.Clone(p.keys[:max(0, len(p.keys)-1)])
	return &Placed{VM: c.vm, Upstream: u.info.Name, Prompt: uncached, Memory: p.flight.request.PromptTokens, Epoch: u.epoch, Parts: parts}
}

func (m Placed) apply(c *Core, now time.Duration, _ *Effects) {
	u := c.byName[m.Upstream]
	if u == nil || m.VM == c.vm {
		return
	}
	if u.epoch == m.Epoch {
		c.hold(now, u.handle, m.Parts)
	}
	peer := c.peers[m.VM]
	if peer == nil {
		// Its first digest has all that it has in progress.
		return
	}
	// What the engine reads is reckoned from the neighbour's digest on.
	read := (now - peer.heard).Seconds() / max(u.group.model.perToken.value, 1e-7)
	peer.prompts[m.Upstream] = max(peer.prompts[m.Upstream], int(read)) + m.Prompt
	peer.outstanding[m.Upstream]++
	peer.memory[m.Upstream] += m.Memory
	c.countOthers(now, u)
}

// hold notes that an engine holds parts or is about to.
func (c *Core) hold(now time.Duration, handle cache.Handle, keys []uint64) {
	for _, key := range keys {
		c.parts.add(now, key, handle)
	}
}
