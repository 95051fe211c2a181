package routing

import (
	"math"
	"slices"
	"time"
)

// The loads of peers are kept at the engines that they concern. A VM has requests at a few engines only, so the cost of a digest
// depends on these, and the cost of an estimate on the peers that use the engine: neither grows with the peers times the engines.

// peerState is the last digest of one peer, with the placement notices received since.
type peerState struct {
	received time.Duration
	// loads are the peer's loads by upstream, known to this VM or not.
	loads     map[string]*peerLoad
	shortWork map[string]int
}

// peerLoad is the load of one peer's requests at one engine.
type peerLoad struct {
	peer        *peerState
	outstanding int
	prompts     int
	memory      int
	shared      []PartUse
}

// setPeer replaces a peer's loads by those of its digest.
func (c *Core) setPeer(now time.Duration, m Digest) {
	peer := c.peers[m.VM]
	if peer == nil {
		peer = &peerState{loads: map[string]*peerLoad{}}
		c.peers[m.VM] = peer
		c.peersChanged()
	}
	peer.received, peer.shortWork = now, m.ShortWork
	for name, load := range peer.loads {
		if m.Outstanding[name] == 0 {
			c.detachPeerLoad(now, name, load)
			delete(peer.loads, name)
		}
	}
	for name, outstanding := range m.Outstanding {
		load := c.peerLoadAt(peer, name)
		load.outstanding, load.prompts, load.memory, load.shared = outstanding, m.PrefillTokens[name], m.MemoryTokens[name], m.Shared[name]
		if u := c.byName[name]; u != nil {
			c.estimateOthers(now, u)
		}
	}
}

// peerLoadAt returns the peer's load at an upstream and adds one if there is none.
func (c *Core) peerLoadAt(peer *peerState, name string) *peerLoad {
	load := peer.loads[name]
	if load == nil {
		load = &peerLoad{peer: peer}
		peer.loads[name] = load
		if u := c.byName[name]; u != nil {
			u.peerLoads = append(u.peerLoads, load)
		}
	}
	return load
}

// detachPeerLoad removes a peer's load from its upstream.
func (c *Core) detachPeerLoad(now time.Duration, name string, load *peerLoad) {
	if u := c.byName[name]; u != nil {
		u.peerLoads = slices.DeleteFunc(u.peerLoads, func(other *peerLoad) bool { return other == load })
		c.estimateOthers(now, u)
	}
}

// attachPeerLoads adds the loads that peers reported before this VM knew the upstream.
func (c *Core) attachPeerLoads(u *upstream) {
	for _, vm := range sortedNames(c.peers) {
		if load := c.peers[vm].loads[u.info.Name]; load != nil {
			u.peerLoads = append(u.peerLoads, load)
		}
	}
}

// forgetPeerFactor is the silence of a peer, in multiples of Times.StaleAfter, after which its state is removed, so that past peers
// don't add up.
const forgetPeerFactor = 20

func (c *Core) forgetPeers(now time.Duration) {
	for vm, peer := range c.peers {
		if now-peer.received <= forgetPeerFactor*c.times.StaleAfter {
			continue
		}
		for name, load := range peer.loads {
			c.detachPeerLoad(now, name, load)
		}
		delete(c.peers, vm)
		c.peersChanged()
		delete(c.demand.peers, vm)
		c.limits.RemovePeer(vm)
	}
}

// livePeerCount returns the number of peers whose last digest is not stale.
func (c *Core) livePeerCount(now time.Duration) int {
	n := 0
	for _, peer := range c.peers {
		if now-peer.received <= c.times.StaleAfter {
			n++
		}
	}
	return n
}

// estimateOthers estimates the other VMs' requests at an upstream: the larger of the digests' sum and the load report less own
// requests.
func (c *Core) estimateOthers(now time.Duration, u *upstream) {
	count := 0
	u.othersPrompt, u.othersMemory, u.othersAt = 0, 0, now
	clear(u.othersShared)
	for _, load := range u.peerLoads {
		age := now - load.peer.received
		if age > c.times.StaleAfter {
			continue
		}
		count += load.outstanding
		u.addPeerUses(load.memory, load.shared)
		// Part of the reported prompt tokens has been prefilled since the digest.
		prefilled := age.Seconds() / max(u.group.model.perToken.value*u.factor(), 1e-7)
		u.othersPrompt += max(0, load.prompts-int(prefilled))
	}
	if u.reported.received && now-u.reported.at <= c.times.StaleAfter {
		count = max(count, u.reported.outstanding-int(math.Ceil(u.reported.ownMean)))
	}
	u.othersOutstanding = count
}
