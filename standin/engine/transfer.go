package engine

import (
	"time"

	"github.com/samber/oops"
)

// Bundle is the KV cache of one prefix; it is valid only for the salt and version for which it was computed.
type Bundle struct {
	Salt string `json:"salt"`
	Version
	// Block is the block length in tokens.
	Block int `json:"block"`
	// Chain lists the hash of each prefix that ends at a block boundary, shortest first.
	Chain []uint64 `json:"chain"`
	// Incarnation is that of the exporting engine.
	Incarnation uint64 `json:"incarnation"`
}

type pendingImport struct {
	bundle  Bundle
	readyAt time.Duration
}

// Export returns the longest prefix of the chain that is cached under the salt.
func (e *Engine) Export(now time.Duration, salt string, chain []uint64) Bundle {
	e.advance(now)
	n := e.cache.matchLength(e.cache.salt(salt), chain)
	return Bundle{
		Salt: salt, Version: e.settings.Version, Block: e.settings.Block, Incarnation: e.incarnation,
		Chain: append([]uint64{}, chain[:n]...),
	}
}

// Import adds a bundle to the cache and returns the time from which it is usable; version and block length must be those of the
// engine.
func (e *Engine) Import(now time.Duration, bundle Bundle) (time.Duration, error) {
	e.advance(now)
	if bundle.Version != e.settings.Version || bundle.Block != e.settings.Block {
		return 0, oops.Code("version").With("have", e.settings.Version, "got", bundle.Version).
			Errorf("the KV cache was computed for another version or block length; import it into an engine that serves %s %s with the same block length", bundle.Model, bundle.Weights)
	}
	tokens := float64(len(bundle.Chain) * bundle.Block)
	readyAt := now + time.Duration(tokens/e.settings.Import*float64(time.Second))
	e.imports = append(e.imports, pendingImport{bundle: bundle, readyAt: readyAt})
	return readyAt, nil
}

// admitImports adds the imports that are ready to the cache.
func (e *Engine) admitImports() {
	remaining := e.imports[:0]
	for _, pending := range e.imports {
		if pending.readyAt > e.now {
			remaining = append(remaining, pending)
			continue
		}
		salt := e.cache.salt(pending.bundle.Salt)
		var blocks []*block
		for i := range pending.bundle.Chain {
			b := e.cache.store(salt, pending.bundle.Chain, i)
			if b == nil {
				break
			}
			blocks = append(blocks, b)
		}
		e.cache.release(blocks)
	}
	e.imports = remaining
}
