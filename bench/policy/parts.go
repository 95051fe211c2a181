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

// Reuse returns one router for each VM under the policy reuse, with parts of prompts declared and engines that tell which they hold.
func Reuse(s experiment.Settings, seed uint64, options ...routing.Option) []experiment.Router {
	options = append([]routing.Option{
		routing.WithPolicy(routing.Reuse), routing.WithSalt(saltOf), routing.WithPrefill(28 * time.Microsecond), routing.WithImport(4 * time.Microsecond),
	}, options...)
	return build(s, &Fleet{parts: map[uint64]uint64{}, block: s.Upstreams[0].Engine.Block, digests: partsInterval}, seed, options)
}

func saltOf(account string, _ routing.Version) string { return account }

// declare names the prompt's parts in the request, and notes which block of the engines' caches ends each of them.
func (f *Fleet) declare(r *routing.Request, e trace.Entry) {
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
	add(uint64(e.Number)+ownParts, e.Prompt)
}

// targets are the latency objectives of the sheets' kinds of work.
var targets = map[trace.Kind]time.Duration{trace.Batch: 600 * time.Millisecond, trace.Note: 400 * time.Millisecond}

// ownParts keeps the numbers of entries apart from hashes of shared parts.
const ownParts = 1 << 40

func partID(hash uint64) string {
	id := make([]byte, 8)
	for i := range id {
		id[i] = byte(hash >> (8 * i))
	}
	return string(id)
}

// changed tells the core which parts an engine took in and dropped.
func (v *vm) changed(now time.Duration, upstream string, incarnation uint64, changes []engine.Change) []experiment.Decision {
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

// upstreamsOf describes the engines as a catalogue does.
func upstreamsOf(s experiment.Settings) []catalogue.Upstream {
	var list []catalogue.Upstream
	for _, u := range s.Upstreams {
		list = append(list, catalogue.Upstream{
			Name: u.Name, Address: anyAddress, DataCentre: u.Centre, Region: u.Region, Kind: catalogue.Engine,
			Model: "base", Weights: "1", Slots: u.Engine.Slots, Cache: u.Engine.Cache, State: catalogue.Active,
		})
	}
	return list
}
