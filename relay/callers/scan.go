package callers

import "bytes"

const (
	// lineCost is the memory of a line of a head beside its bytes: its entries in the maps of the request and of its attempt, and the
	// slice of its value. A head of 3,000 short lines was measured at 85 to 92 bytes a line for the first map and 66 for the second; the
	// rest is for garbage that the maps leave as they grow.
	lineCost = 200
	// byteCost is the memory of a byte of a head: in the parsed line, and in the head of the attempt.
	byteCost = 2
	// bufferedBytes is the size of the buffer from which net/http reads heads.
	bufferedBytes = 4 << 10
	// unknownHeadCost is the most that a head of bufferedBytes costs, in lines of three bytes.
	unknownHeadCost = bufferedBytes*byteCost + bufferedBytes/3*lineCost
)

// headScanner finds the end of a head and counts its lines.
type headScanner struct {
	// started is set once the head has a line that is not empty.
	started bool
	// length is the length of the present line so far, bare is set while it consists of one carriage return.
	length int
	bare   bool
}

// resumedScanner returns the scanner of a head that has begun, after its last bytes so far.
func resumedScanner(tail []byte) headScanner {
	line := tail[bytes.LastIndexByte(tail, '\n')+1:]
	return headScanner{started: true, length: len(line), bare: string(line) == "\r"}
}

// scan returns the number of bytes of a text that belong to the head, its lines among them, and whether the head ends there.
func (s *headScanner) scan(text []byte) (size, lines int, ended bool) {
	for size < len(text) {
		i := bytes.IndexByte(text[size:], '\n')
		part := text[size:]
		if i >= 0 {
			part = part[:i]
		}
		if len(part) > 0 {
			s.bare = s.length == 0 && len(part) == 1 && part[0] == '\r'
			s.length += len(part)
		}
		if i < 0 {
			return len(text), lines, false
		}
		size += i + 1
		lines++
		empty := s.length == 0 || s.bare
		s.length, s.bare = 0, false
		if empty && s.started {
			s.started = false
			return size, lines, true
		}
		s.started = s.started || !empty
	}
	return size, lines, false
}

// linesCost returns the memory of a part of a head.
func linesCost(size, lines int) int64 { return int64(size)*byteCost + int64(lines)*lineCost }
