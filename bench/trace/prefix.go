package trace

// mix hashes two numbers into one with the finaliser of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 0x632be59bd9b4e019
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Chain returns the hash of each prefix of the entry's prompt that ends at a block boundary; block is in tokens.
func (e Entry) Chain(block int) []uint64 {
	chain := make([]uint64, 0, e.Prompt/block)
	own := mix(uint64(e.Number)+1, 0)
	level, hash := 0, uint64(0)
	for end := block; end <= e.Prompt; end += block {
		for level < len(e.Levels) && e.Levels[level].Tokens < end {
			level++
		}
		segment := own
		if level < len(e.Levels) {
			segment = e.Levels[level].Hash
		}
		hash = mix(hash, segment)
		chain = append(chain, hash)
	}
	return chain
}

// Texts returns the text that each level adds to the one before it, and last the entry's own text. Each has 4 bytes per
// token minus overhead(i) bytes, where i is its index.
func (e Entry) Texts(overhead func(piece int) int) []string {
	texts := make([]string, 0, len(e.Levels)+1)
	at := 0
	for i, level := range e.Levels {
		texts = append(texts, fillerText(level.Hash, 4*(level.Tokens-at)-overhead(i)))
		at = level.Tokens
	}
	return append(texts, fillerText(mix(uint64(e.Number)+1, 0), 4*(e.Prompt-at)-overhead(len(e.Levels))))
}

// fillerText returns pseudo-random words of three letters with the given length in bytes.
func fillerText(seed uint64, length int) string {
	if length <= 0 {
		return ""
	}
	raw := make([]byte, length)
	for i := range raw {
		if i%4 == 0 {
			seed = mix(seed, uint64(i))
		}
		raw[i] = 'a' + byte(seed>>(8*(i%4)))%26
		if i%4 == 3 {
			raw[i] = ' '
		}
	}
	return string(raw)
}

// Unlimited returns for each entry the cached tokens with one unlimited cache; block is in tokens, and chain returns an
// entry's block hashes.
func Unlimited(entries []Entry, block int, chain func(Entry) []uint64) []int {
	type key struct {
		account string
		hash    uint64
	}
	cached := map[key]bool{}
	tokens := make([]int, len(entries))
	for i, entry := range entries {
		hit := true
		for _, hash := range chain(entry) {
			k := key{entry.Account, hash}
			if hit = hit && cached[k]; hit {
				tokens[i] += block
			}
			cached[k] = true
		}
		// The last prompt token is computed even if its block is cached.
		tokens[i] = max(0, min(tokens[i], entry.Prompt-1))
	}
	return tokens
}
