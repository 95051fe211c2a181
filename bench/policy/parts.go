package policy

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Reuse returns one router for each VM with the policy reuse, for requests that declare their prompt parts and engines that
// publish which of these they cache.
func Reuse(s experiment.Settings, seed uint64, options ...routing.Option) []experiment.Router {
	options = append([]routing.Option{
		routing.WithPolicy(routing.Reuse), routing.WithSalt(saltOf), routing.WithPrefill(28 * time.Microsecond), routing.WithImport(4 * time.Microsecond),
	}, options...)
	return build(s, &Fleet{parts: map[uint64]uint64{}, block: s.Upstreams[0].Engine.Block, interval: partsInterval}, seed, options)
}

func saltOf(account string, _ routing.Version) string { return account }

// declareParts adds the prompt's parts to the request and records the hash of the last cache block of each part.
func (f *Fleet) declareParts(r *routing.Request, e trace.Entry) {
	r.TargetTTFT = targets[e.Kind]
	chain := e.Chain(f.block)
	add := func(hash uint64, tokens int) {
		id := partID(hash)
		r.Levels = append(r.Levels, prompt.Level{Hash: hash, Tokens: tokens})
		r.Parts = append(r.Parts, routing.PartHash(id))
		if last := tokens/f.block - 1; last >= 0 {
			f.parts[chain[last]] = routing.PartKey(saltOf(e.Account, routing.Version{}), id)
		}
	}
	for _, level := range e.Levels {
		add(level.Hash, level.Tokens)
	}
	add(uint64(e.Number)+ownPartOffset, e.Prompt)
}

// targets are the objectives for the time to first token of the data sheets' kinds of work.
var targets = map[trace.Kind]time.Duration{trace.Batch: 600 * time.Millisecond, trace.Note: 400 * time.Millisecond}

// ownPartOffset is added to an entry's number for the hash of its own part, which sets it apart from those of shared parts.
const ownPartOffset = 1 << 40

func partID(hash uint64) string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(hash >> (8 * i))
	}
	return string(id)
}

// cacheChanged passes to the core the parts that an engine stored and evicted.
func (v *vm) cacheChanged(now time.Duration, upstream string, incarnation uint64, changes []engine.Change) []experiment.Decision {
	m := routing.PartUpdate{Upstream: upstream, Epoch: incarnation}
	for _, change := range changes {
		key, ok := v.fleet.parts[change.Hash]
		switch {
		case !ok:
		case change.Kind == engine.Stored:
			m.Added = append(m.Added, key)
		default:
			m.Removed = append(m.Removed, key)
		}
	}
	return v.step(now, m)
}

// upstreamsOf returns the engines as upstreams of the catalogue.
func upstreamsOf(s experiment.Settings) []catalogue.Upstream {
	var list []catalogue.Upstream
	for _, u := range s.Upstreams {
		list = append(list, catalogue.Upstream{
			Name: u.Name, Address: placeholderAddress, DataCentre: u.Centre, Region: u.Region, Kind: catalogue.Engine,
			Model: "base", Weights: "1", Slots: u.Engine.Slots, Cache: u.Engine.Cache, State: catalogue.Active,
		})
	}
	return list
}
