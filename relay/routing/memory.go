package routing

import (
	"cmp"
	"slices"
)

// Use is a shared part that requests in progress have in an engine's memory.
type Use struct {
	Key    uint64
	Tokens int
}

// occupancy is the memory that this VM's requests in progress take at one engine, in tokens: shared parts count once, as the engine
// keeps them once.
type occupancy struct {
	tokens int
	shared map[uint64]sharing
}

type sharing struct {
	users  int
	tokens int
}

// take counts a request in.
func (o *occupancy) take(r *Request, keys []uint64) {
	o.tokens += r.PromptTokens
	for i := range keys {
		s := o.shared[keys[i]]
		if s.users > 0 {
			o.tokens -= s.tokens
		} else if o.shared == nil {
			o.shared = map[uint64]sharing{}
		}
		s.users++
		s.tokens = r.part(i)
		o.shared[keys[i]] = s
	}
}

// release counts a request out that take counted in.
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

// uses lists the shared parts in order, so that equal states give equal messages.
func (o *occupancy) uses() []Use {
	list := make([]Use, 0, len(o.shared))
	for key, s := range o.shared {
		list = append(list, Use{Key: key, Tokens: s.tokens})
	}
	slices.SortFunc(list, func(a, b Use) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// part returns the length of a prompt's part in tokens.
func (r *Request) part(i int) int {
	if i == 0 {
		return r.Levels[0].Tokens
	}
	return r.Levels[i].Tokens - r.Levels[i-1].Tokens
}

// sharedKeys identify the parts of a request's prompt that others can share, which are all but the last.
func (c *Core) sharedKeys(g *group, r *Request) []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	salt := g.salt(c, r.Account)
	keys := make([]uint64, len(r.Parts)-1)
	for i := range keys {
		keys[i] = mix(salt, r.Parts[i])
	}
	return keys
}

// hearUses counts the memory that the neighbours' requests take at an engine, again with shared parts once.
func (u *upstream) hearUses(tokens int, uses []Use) {
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

// occupied returns the memory that runs would take at the engine with a planned request among them.
func (u *upstream) occupied(p *plan) int {
	tokens := u.memory.tokens + u.othersMemory + p.tokens
	r := &p.flight.request
	for i := 0; i+1 < len(p.keys); i++ {
		_, others := u.othersShared[p.keys[i]]
		if others || u.memory.shared[p.keys[i]].users > 0 {
			tokens -= r.part(i)
		}
	}
	return tokens
}
