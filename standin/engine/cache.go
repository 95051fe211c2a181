package engine

import (
	"cmp"
	"slices"
)

type key struct {
	salt uint32
	hash uint64
}

// block is one cached block; blocks without references are in the LRU list.
type block struct {
	key        key
	parent     uint64
	tokens     int
	refs       int
	prev, next *block
}

// cache is the prefix cache with LRU eviction; the blocks that extend a prefix are evicted before the prefix itself.
type cache struct {
	capacity  int
	blockSize int
	blocks    map[key]*block
	saltIDs   map[string]uint32
	saltNames []string
	lru       block
	// pinned is the number of cached blocks with references; privateBlocks is the number of blocks that running requests use
	// outside the cache.
	pinned        int
	privateBlocks int
	// onChange is called for each block that is stored or evicted.
	onChange func(kind ChangeKind, salt string, b *block)
}

func newCache(capacity, blockSize int, onChange func(ChangeKind, string, *block)) *cache {
	c := &cache{capacity: capacity, blockSize: blockSize, blocks: map[key]*block{}, saltIDs: map[string]uint32{}, onChange: onChange}
	c.lru.prev, c.lru.next = &c.lru, &c.lru
	return c
}

func (c *cache) salt(name string) uint32 {
	id, ok := c.saltIDs[name]
	if !ok {
		id = uint32(len(c.saltNames))
		c.saltIDs[name] = id
		c.saltNames = append(c.saltNames, name)
	}
	return id
}

// match pins and returns the blocks of the longest cached prefix of the chain.
func (c *cache) match(salt uint32, chain []uint64) []*block {
	var matched []*block
	for _, hash := range chain {
		b := c.blocks[key{salt, hash}]
		if b == nil {
			break
		}
		c.pin(b)
		matched = append(matched, b)
	}
	return matched
}

func (c *cache) matchLength(salt uint32, chain []uint64) int {
	for i, hash := range chain {
		if c.blocks[key{salt, hash}] == nil {
			return i
		}
	}
	return len(chain)
}

// store pins and returns block i of the chain, adding it if needed; nil means that running requests use all memory.
func (c *cache) store(salt uint32, chain []uint64, i int) *block {
	k := key{salt, chain[i]}
	if b := c.blocks[k]; b != nil {
		c.pin(b)
		return b
	}
	if !c.makeRoom(1) {
		return nil
	}
	b := &block{key: k, tokens: (i + 1) * c.blockSize, refs: 1}
	if i > 0 {
		b.parent = chain[i-1]
	}
	c.blocks[k] = b
	c.pinned++
	c.onChange(Stored, c.saltNames[salt], b)
	return b
}

func (c *cache) pin(b *block) {
	if b.refs == 0 {
		b.prev.next, b.next.prev = b.next, b.prev
		c.pinned++
	}
	b.refs++
}

// release unpins the blocks of one request, longest prefix first, so that shorter prefixes are evicted later.
func (c *cache) release(blocks []*block) {
	for _, b := range slices.Backward(blocks) {
		b.refs--
		if b.refs == 0 {
			c.pinned--
			b.prev, b.next = c.lru.prev, &c.lru
			b.prev.next, b.next.prev = b, b
		}
	}
}

// makeRoom evicts unreferenced blocks until n more fit and reports whether they do.
func (c *cache) makeRoom(n int) bool {
	for (len(c.blocks)+c.privateBlocks+n)*c.blockSize > c.capacity {
		if !c.evict() {
			return false
		}
	}
	return true
}

// freeBlocks returns the number of blocks that no running request uses; cached blocks without references count as free.
func (c *cache) freeBlocks() int { return c.capacity/c.blockSize - c.pinned - c.privateBlocks }

func (c *cache) evict() bool {
	b := c.lru.next
	if b == &c.lru {
		return false
	}
	b.prev.next, b.next.prev = b.next, b.prev
	delete(c.blocks, b.key)
	c.onChange(Removed, c.saltNames[b.key.salt], b)
	return true
}

func (c *cache) tokens() int { return len(c.blocks) * c.blockSize }

// list returns all blocks, sorted by salt, length and hash.
func (c *cache) list() []Block {
	all := make([]Block, 0, len(c.blocks))
	for _, b := range c.blocks {
		all = append(all, Block{Salt: c.saltNames[b.key.salt], Hash: b.key.hash, Parent: b.parent, Tokens: b.tokens})
	}
	slices.SortFunc(all, func(a, b Block) int {
		return cmp.Or(cmp.Compare(a.Salt, b.Salt), cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Hash, b.Hash))
	})
	return all
}
