package routing

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// minNoticeTokens is the prefill from which peers are notified of a placement at once: enough work to delay a request behind it.
const minNoticeTokens = 512

// PlacementNotice notifies a peer of a placement as soon as it is made. Digests come too late for that: VMs that see the same idle
// engine would all send their next long prompts there, and several engines would prefill the same parts.
type PlacementNotice struct {
	VM       string
	Upstream string
	// UncachedTokens is the number of prompt tokens that the engine must prefill, MemoryTokens that of the whole prompt.
	UncachedTokens int
	MemoryTokens   int
	// Epoch identifies the lifetime of the engine's cache, Parts the parts that it will hold.
	Epoch uint64
	Parts []uint64
}

// placementNotice returns the notice of a placement for the peers, or nil for a small one.
func (c *Core) placementNotice(u *upstream, p *plan, cached int) *PlacementNotice {
	uncached := p.flight.request.PromptTokens - cached
	memory := p.flight.request.PromptTokens
	if c.room > 0 {
		// Parts that requests in progress share are in the digests.
		memory = p.flight.attempts[len(p.flight.attempts)-1].room
	}
	if c.policy != Reuse || uncached < minNoticeTokens && (c.room <= 0 || memory < minNoticeRoom) {
		return nil
	}
	// The last part is the request's own, which no other request shares.
	parts := slices.Clone(p.partKeys[:max(0, len(p.partKeys)-1)])
	return &PlacementNotice{VM: c.vm, Upstream: u.info.Name, UncachedTokens: uncached, MemoryTokens: memory, Epoch: u.epoch, Parts: parts}
}

func (m PlacementNotice) apply(c *Core, now time.Duration, _ *Effects) {
	u := c.byName[m.Upstream]
	if u == nil || m.VM == c.vm {
		return
	}
	if u.epoch == m.Epoch {
		c.recordHeld(now, u.handle, m.Parts)
	}
	peer := c.peers[m.VM]
	if peer == nil {
		// The peer's first digest will include this request.
		return
	}
	// The peer's prompt tokens count from its last digest, and estimateOthers deducts what the engine has prefilled since.
	prefilled := (now - peer.received).Seconds() / max(u.group.model.perToken.value*u.factor(), 1e-7)
	load := c.peerLoadAt(peer, m.Upstream)
	load.prompts = max(load.prompts, int(prefilled)) + m.UncachedTokens
	load.outstanding++
	load.memory += m.MemoryTokens
	c.estimateOthers(now, u)
	u.addOthersPrefill(now, m)
}

// recordHeld records that an engine holds parts or will soon.
func (c *Core) recordHeld(now time.Duration, handle cache.Handle, keys []uint64) {
	for _, key := range keys {
		c.partIndex.add(now, key, handle)
	}
}
