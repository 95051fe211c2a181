package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the length of every prompt token in bytes.
const BytesPerToken = 4

var words = []string{
	" stir", " the", " pot", " until", " syrup", " is", " clear", " and", " warm", " then", " add", " root", " sugar", " water", " note",
	" batch", " check", " ready", " soon", " after", " two", " hours", " rest", " cool", " strain", " bottle", " label", " store", " dry", " well", " again", " slowly",
}

// Token returns output token i of the request with the given body hash; it depends on nothing but these and the version.
func Token(body uint64, version Version, i int) string {
	digest := xxhash.New()
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], body)
	binary.LittleEndian.PutUint64(number[8:], uint64(i))
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(version.Model + "\x00" + version.Adapter + "\x00" + version.Weights)
	return words[digest.Sum64()%uint64(len(words))]
}

// Tokens returns the length of a prompt text in tokens, at least 1.
func Tokens(text string) int { return max(1, len(text)/BytesPerToken) }

// Blocks returns the hash of each prefix of the text that ends at a block boundary; block is the block length in tokens.
//
// The hash is xxhash64 of the whole prefix, so that a reader of cache events can compute it from the text alone.
func Blocks(text string, block int) []uint64 {
	size := block * BytesPerToken
	digest := xxhash.New()
	hashes := make([]uint64, 0, len(text)/size)
	for ; len(text) >= size; text = text[size:] {
		_, _ = digest.WriteString(text[:size])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
