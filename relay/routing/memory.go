package routing

import (
	"cmp"
	"slices"
)

// PartUse is a shared part that requests in progress occupy in an engine's memory.
type PartUse struct {
	Key    uint64
	Tokens int
}

// occupancy is the memory in tokens that this VM's requests in progress occupy at one engine. Shared parts count once, as the engine
// stores them once.
type occupancy struct {
	tokens int
	shared map[uint64]sharedPart
}

type sharedPart struct {
	users  int
	tokens int
}

// reserve adds a request's memory.
func (o *occupancy) reserve(r *Request, keys []uint64) {
	o.tokens += r.PromptTokens
	for i := range keys {
		s := o.shared[keys[i]]
		if s.users > 0 {
			o.tokens -= s.tokens
		} else if o.shared == nil {
			o.shared = map[uint64]sharedPart{}
		}
		s.users++
		s.tokens = r.partTokens(i)
		o.shared[keys[i]] = s
	}
}

// release removes a request's memory after reserve added it.
func (o *occupancy) release(r *Request, keys []uint64) {
	o.tokens -= r.PromptTokens
	for _, key := range keys {
		s := o.shared[key]
		if s.users--; s.users > 0 {
			o.shared[key] = s
			o.tokens += s.tokens
			continue
		}
		delete(o.shared, key)
	}
}

// uses lists the shared parts in order of their keys, so that equal states give equal messages.
func (o *occupancy) uses() []PartUse {
	list := make([]PartUse, 0, len(o.shared))
	for key, s := range o.shared {
		list = append(list, PartUse{Key: key, Tokens: s.tokens})
	}
	slices.SortFunc(list, func(a, b PartUse) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// partTokens returns the length in tokens of a part of the prompt.
func (r *Request) partTokens(i int) int {
	if i == 0 {
		return r.Levels[0].Tokens
	}
	return r.Levels[i].Tokens - r.Levels[i-1].Tokens
}

// sharedKeys returns the keys of the prompt parts that other requests can share: all but the last.
func (c *Core) sharedKeys(g *group, r *Request) []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	salt := g.salt(c, r.scope())
	keys := make([]uint64, len(r.Parts)-1)
	for i := range keys {
		keys[i] = mix(salt, r.Parts[i])
	}
	return keys
}

// addPeerUses adds the memory that a peer's requests occupy at an engine, with shared parts counted once.
func (u *upstream) addPeerUses(tokens int, uses []PartUse) {
	u.othersMemory += tokens
	for _, use := range uses {
		if _, known := u.othersShared[use.Key]; known || u.memory.shared[use.Key].users > 0 {
			u.othersMemory -= use.Tokens
			continue
		}
		if u.othersShared == nil {
			u.othersShared = map[uint64]struct{}{}
		}
		u.othersShared[use.Key] = struct{}{}
	}
}

// memoryWith returns the tokens that the requests in progress would occupy at the engine together with the planned one.
func (u *upstream) memoryWith(p *plan) int {
	tokens := u.memory.tokens + u.othersMemory + p.tokens
	r := &p.flight.request
	for i := 0; i+1 < len(p.partKeys); i++ {
		_, others := u.othersShared[p.partKeys[i]]
		if others || u.memory.shared[p.partKeys[i]].users > 0 {
			tokens -= r.partTokens(i)
		}
	}
	return tokens
}
