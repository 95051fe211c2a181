package prompt

import "github.com/cespare/xxhash/v2"

// bytesPerToken is a common estimate for European text; the usage that the engine reports corrects it.
const bytesPerToken = 4

// minPrefixBytes is the shortest prefix that gets a level; recomputing a shorter one takes less time than its look-up.
const minPrefixBytes = 1024

// maxLevels limits the levels of one request, and with them the work of routing it.
const maxLevels = 24

// Level is one of the nested prefixes of a prompt.
type Level struct {
	// Hash covers the whole text from the start of the prompt to the end of this level.
	Hash uint64
	// Tokens is the estimated length of the prefix, counted from the start of the prompt.
	Tokens int
}

// scanner hashes a prompt incrementally. It records a level at boundaries that grow by half and at the end of each message.
type scanner struct {
	digest       *xxhash.Digest
	bytes        int
	nextBoundary int
	levels       []Level
	// part hashes the current message alone; parts are the hashes of the messages before.
	part  *xxhash.Digest
	parts []uint64
}

func newScanner() *scanner {
	return &scanner{digest: xxhash.New(), nextBoundary: minPrefixBytes, part: xxhash.New()}
}

func (s *scanner) write(text string) {
	for s.bytes+len(text) > s.nextBoundary {
		head := s.nextBoundary - s.bytes
		s.hash(text[:head])
		s.recordLevel()
		text = text[head:]
		s.nextBoundary += max(minPrefixBytes, s.nextBoundary/2)
	}
	s.hash(text)
}

func (s *scanner) hash(text string) {
	_, _ = s.digest.WriteString(text)
	_, _ = s.part.WriteString(text)
	s.bytes += len(text)
}

// endPart ends a part of the prompt.
func (s *scanner) endPart() {
	s.parts = append(s.parts, s.part.Sum64())
	s.part.Reset()
}

// recordLevel records a level at the current length, unless that is too short, equals the last level or exceeds maxLevels.
func (s *scanner) recordLevel() {
	tokens := s.bytes / bytesPerToken
	if s.bytes < minPrefixBytes || len(s.levels) == maxLevels {
		return
	}
	if n := len(s.levels); n > 0 && s.levels[n-1].Tokens == tokens {
		return
	}
	s.levels = append(s.levels, Level{Hash: s.digest.Sum64(), Tokens: tokens})
}
