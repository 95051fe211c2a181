package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// Digest returns the message that reports this VM's load, hot prefixes and cache hints to its peers.
func (d *Dispatcher) Digest() *peer.Envelope {
	var digest routing.Digest
	d.Inspect(func(now time.Duration, core *routing.Core) { digest = core.Digest(now) })
	m := &peer.Digest{Outstanding: toCounts(digest.Outstanding), Accounts: toCounts(digest.Accounts)}
	m.Prompts, m.Memory, m.Light = toCounts(digest.PrefillTokens), toCounts(digest.MemoryTokens), toCounts(digest.ShortWork)
	for _, name := range slices.Sorted(maps.Keys(digest.Shared)) {
		shared := &peer.Shared{Upstream: name}
		for _, use := range digest.Shared[name] {
			shared.Keys = append(shared.Keys, use.Key)
			shared.Tokens = append(shared.Tokens, uint32(use.Tokens))
		}
		m.Shared = append(m.Shared, shared)
	}
	for _, hot := range digest.Hot {
		m.Hot = append(m.Hot, &peer.Hot{Prefix: hot.Prefix, Rate: float32(hot.Rate)})
	}
	for _, hint := range digest.Hints {
		m.Hints = append(m.Hints, &peer.Hint{
			Account: hint.Binding.Account, Model: hint.Binding.Model, Adapter: hint.Binding.Adapter, Weights: hint.Binding.Weights,
			Upstream: hint.Binding.Upstream, Incarnation: hint.Binding.Incarnation,
			Hash: hint.Level.Hash, Tokens: uint32(hint.Level.Tokens), AgeMillis: uint32(hint.Age.Milliseconds()),
		})
	}
	m.Engines = EncodeSpeeds(digest.Speeds)
	return &peer.Envelope{Body: &peer.Envelope_Digest{Digest: m}}
}

// ReceiveDigest passes a peer's digest to the core without waiting for its effects.
func (d *Dispatcher) ReceiveDigest(vm string, m *peer.Digest) {
	digest := routing.Digest{VM: vm, Outstanding: map[string]int{}, Accounts: map[string]int{}, PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}, ShortWork: map[string]int{}, Shared: map[string][]routing.PartUse{}}
	for _, count := range m.GetOutstanding() {
		digest.Outstanding[count.GetName()] = int(count.GetCount())
	}
	for _, count := range m.GetAccounts() {
		digest.Accounts[count.GetName()] = int(count.GetCount())
	}
	for _, count := range m.GetPrompts() {
		digest.PrefillTokens[count.GetName()] = int(count.GetCount())
	}
	for _, count := range m.GetLight() {
		digest.ShortWork[count.GetName()] = int(count.GetCount())
	}
	for _, count := range m.GetMemory() {
		digest.MemoryTokens[count.GetName()] = int(count.GetCount())
	}
	for _, shared := range m.GetShared() {
		keys, tokens := shared.GetKeys(), shared.GetTokens()
		uses := make([]routing.PartUse, min(len(keys), len(tokens)))
		for i := range uses {
			uses[i] = routing.PartUse{Key: keys[i], Tokens: int(tokens[i])}
		}
		digest.Shared[shared.GetUpstream()] = uses
	}
	for _, hot := range m.GetHot() {
		digest.Hot = append(digest.Hot, routing.HotPrefix{Prefix: hot.GetPrefix(), Rate: float64(hot.GetRate())})
	}
	for _, hint := range m.GetHints() {
		digest.Hints = append(digest.Hints, cache.Hint{
			Binding: cache.Binding{
				Scope:    cache.Scope{Account: hint.GetAccount(), Model: hint.GetModel(), Adapter: hint.GetAdapter(), Weights: hint.GetWeights()},
				Upstream: hint.GetUpstream(), Incarnation: hint.GetIncarnation(),
			},
			Level: prompt.Level{Hash: hint.GetHash(), Tokens: int(hint.GetTokens())},
			Age:   time.Duration(hint.GetAgeMillis()) * time.Millisecond,
		})
	}
	digest.Speeds = DecodeSpeeds(m.GetEngines())
	d.notify(digest)
}

// publishPlacement passes a placement to the callback set with OnPlacement.
func (d *Dispatcher) publishPlacement(notice *routing.PlacementNotice) {
	if notice == nil || d.onPlacement == nil {
		return
	}
	d.onPlacement(&peer.Envelope{Body: &peer.Envelope_Placed{Placed: &peer.Placed{
		Upstream: notice.Upstream, Prompt: uint32(notice.UncachedTokens), Memory: uint32(notice.MemoryTokens), Epoch: notice.Epoch, Parts: notice.Parts,
	}}})
}

// ReceivePlacementNotice passes a peer's placement notice to the core without waiting for its effects.
func (d *Dispatcher) ReceivePlacementNotice(vm string, m *peer.Placed) {
	d.notify(routing.PlacementNotice{
		VM: vm, Upstream: m.GetUpstream(), UncachedTokens: int(m.GetPrompt()), MemoryTokens: int(m.GetMemory()), Epoch: m.GetEpoch(), Parts: m.GetParts(),
	})
}

func toCounts(numbers map[string]int) []*peer.Count {
	list := make([]*peer.Count, 0, len(numbers))
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		list = append(list, &peer.Count{Name: name, Count: uint32(numbers[name])})
	}
	return list
}
