package engine

import (
	"cmp"
	"slices"
)

type key struct {
	salt uint32
	hash uint64
}

// block is one cached block; blocks that no request uses are in the list of least recent use.
type block struct {
	key        key
	parent     uint64
	tokens     int
	refs       int
	prev, next *block
}

// cache is the prefix cache: least recently used blocks go first, and a block outlives those that extend it.
type cache struct {
	limit  int
	size   int
	blocks map[key]*block
	salts  map[string]uint32
	names  []string
	root   block
	// pinned are the blocks that requests use, held is the memory in blocks that running requests have beside them.
	pinned int
	held   int
	// changed is called for each block that enters or leaves.
	changed func(kind ChangeKind, salt string, b *block)
}

func newCache(limit, size int, changed func(ChangeKind, string, *block)) *cache {
	c := &cache{limit: limit, size: size, blocks: map[key]*block{}, salts: map[string]uint32{}, changed: changed}
	c.root.prev, c.root.next = &c.root, &c.root
	return c
}

func (c *cache) salt(name string) uint32 {
	number, ok := c.salts[name]
	if !ok {
		number = uint32(len(c.names))
		c.salts[name] = number
		c.names = append(c.names, name)
	}
	return number
}

// match pins and returns the longest cached prefix of the chain.
func (c *cache) match(salt uint32, chain []uint64) []*block {
	var found []*block
	for _, hash := range chain {
		b := c.blocks[key{salt, hash}]
		if b == nil {
			break
		}
		c.pin(b)
		found = append(found, b)
	}
	return found
}

func (c *cache) peek(salt uint32, chain []uint64) int {
	for i, hash := range chain {
		if c.blocks[key{salt, hash}] == nil {
			return i
		}
	}
	return len(chain)
}

// store pins and returns block number i of the chain, or nil if all memory is in use by running requests.
func (c *cache) store(salt uint32, chain []uint64, i int) *block {
	k := key{salt, chain[i]}
	if b := c.blocks[k]; b != nil {
		c.pin(b)
		return b
	}
	if !c.room(1) {
		return nil
	}
	b := &block{key: k, tokens: (i + 1) * c.size, refs: 1}
	if i > 0 {
		b.parent = chain[i-1]
	}
	c.blocks[k] = b
	c.pinned++
	c.changed(Stored, c.names[salt], b)
	return b
}

func (c *cache) pin(b *block) {
	if b.refs == 0 {
		b.prev.next, b.next.prev = b.next, b.prev
		c.pinned++
	}
	b.refs++
}

// release unpins the blocks of one request, longest prefix first, so that shorter prefixes count as used later.
func (c *cache) release(blocks []*block) {
	for _, b := range slices.Backward(blocks) {
		b.refs--
		if b.refs == 0 {
			c.pinned--
			b.prev, b.next = c.root.prev, &c.root
			b.prev.next, b.next.prev = b, b
		}
	}
}

// room evicts unused blocks until n more fit and reports whether they do.
func (c *cache) room(n int) bool {
	for (len(c.blocks)+c.held+n)*c.size > c.limit {
		if !c.evict() {
			return false
		}
	}
	return true
}

// free returns the memory in blocks that no running request takes.
func (c *cache) free() int { return c.limit/c.size - c.pinned - c.held }

func (c *cache) evict() bool {
	b := c.root.next
	if b == &c.root {
		return false
	}
	b.prev.next, b.next.prev = b.next, b.prev
	delete(c.blocks, b.key)
	c.changed(Removed, c.names[b.key.salt], b)
	return true
}

func (c *cache) tokens() int { return len(c.blocks) * c.size }

// list returns all blocks in a fixed order.
func (c *cache) list() []Block {
	all := make([]Block, 0, len(c.blocks))
	for _, b := range c.blocks {
		all = append(all, Block{Salt: c.names[b.key.salt], Hash: b.key.hash, Parent: b.parent, Tokens: b.tokens})
	}
	slices.SortFunc(all, func(a, b Block) int {
		return cmp.Or(cmp.Compare(a.Salt, b.Salt), cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Hash, b.Hash))
	})
	return all
}
