package syntax

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"sync"
	"unicode/utf8"
)

const (
	// maxDepth is the nesting beyond which encoding/json reads nothing either.
	maxDepth = 10_000
	// maxUnknown bounds the keys that are kept at once because they are the names of no field, and with them the memory of a check.
	maxUnknown = 1 << 16
	// maxCompared is the number of keys of an object up to which they are compared one by one.
	maxCompared = 16
)

// Unmarshal decodes text like json.Unmarshal, and returns an *Error where it would decode it otherwise than it is written; what it has
// decoded until then must not be used. Values of type json.RawMessage are left to the call that decodes them.
func Unmarshal(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return err
	}
	return Check(text, into)
}

// Check returns an *Error for the first place at which json.Unmarshal decodes valid JSON into a value of the type of into otherwise than it
// is written.
func Check(text []byte, into any) error {
	s := scanners.Get().(*scanner)
	defer s.free()
	s.text = text
	return s.run(shapeOf(reflect.TypeOf(into)))
}

// IsText reports whether a literal of JSON is read as it is written: a string must be valid UTF-8, without escapes of half a character.
func IsText(literal []byte) bool { return utf8.Valid(literal) && !hasHalf(literal) }

// scanners keeps what most texts need, so that a check of a small one allocates nothing.
var scanners = sync.Pool{New: func() any { return &scanner{open: make([]opened, 0, maxKept), unknown: make([][]byte, 0, maxKept)} }}

// maxKept bounds the objects and the keys for which a scanner keeps the room.
const maxKept = 16

// opened is an object or list whose end hasn't come yet.
type opened struct {
	shape *shape
	// value is the shape of the next value.
	value  *shape
	object bool
	// atKey is set in an object where a key is due.
	atKey bool
	// key is the last one of an object, index the position in a list.
	key   []byte
	index int
	// fields has the bits of the fields that were given. The other keys begin at first in the scanner's unknown, and are in set too once
	// they are many.
	fields uint64
	first  int
	set    map[string]struct{}
}

// scanner reads valid JSON by its brackets and strings.
type scanner struct {
	text []byte
	at   int
	open []opened
	// unknown are the keys of the open objects that are the names of no field.
	unknown [][]byte
}

// free gives the scanner back, without what was scanned.
func (s *scanner) free() {
	if cap(s.open) > maxKept || cap(s.unknown) > maxKept {
		return
	}
	clear(s.open[:cap(s.open)])
	clear(s.unknown[:cap(s.unknown)])
	*s = scanner{open: s.open[:0], unknown: s.unknown[:0]}
	scanners.Put(s)
}

func (s *scanner) run(top *shape) error {
	for s.at < len(s.text) {
		var err error
		switch c := s.text[s.at]; c {
		case '{', '[':
			err = s.push(top, c == '{')
		case '}', ']':
			err = s.pop()
		case ',':
			s.next()
		case '"':
			err = s.readString()
		}
		if err != nil {
			return err
		}
		s.at++
	}
	return nil
}

// push opens an object or list.
func (s *scanner) push(top *shape, object bool) error {
	if len(s.open) == maxDepth {
		return s.errorAt(remedyDepth)
	}
	if len(s.open) > 0 {
		top = s.open[len(s.open)-1].value
	}
	o := opened{shape: top, object: object, atKey: object, first: len(s.unknown)}
	if top != nil {
		o.value = top.element
	}
	s.open = append(s.open, o)
	return nil
}

// pop closes the last object or list.
func (s *scanner) pop() error {
	if len(s.open) == 0 {
		return s.errorAt(remedyJSON)
	}
	last := len(s.open) - 1
	s.unknown = s.unknown[:s.open[last].first]
	s.open = s.open[:last]
	return nil
}

// next goes on to the next member of an object or value of a list.
func (s *scanner) next() {
	if len(s.open) == 0 {
		return
	}
	o := &s.open[len(s.open)-1]
	o.atKey = o.object
	o.index++
}

// readString reads a key or a text, up to its closing quote.
func (s *scanner) readString() error {
	start := s.at + 1
	ascii, escaped := true, false
	for s.at++; s.at < len(s.text) && s.text[s.at] != '"'; s.at++ {
		switch c := s.text[s.at]; {
		case c == '\\':
			escaped = true
			s.at++
		case c >= utf8.RuneSelf:
			ascii = false
		}
	}
	if s.at >= len(s.text) {
		return s.errorAt(remedyJSON)
	}
	text := s.text[start:s.at]
	if len(s.open) == 0 {
		return s.checkText(text, ascii, escaped)
	}
	o := &s.open[len(s.open)-1]
	switch {
	case !o.atKey && o.value != nil && o.value.raw, o.shape != nil && o.shape.raw:
		o.atKey = false
		return nil
	case !o.atKey:
		return s.checkText(text, ascii, escaped)
	}
	o.atKey, o.key = false, nil
	if err := s.checkText(text, ascii, escaped); err != nil {
		return err
	}
	if escaped {
		text = unescape(text)
	}
	o.key = text
	return s.addKey(o, text)
}

func (s *scanner) checkText(text []byte, ascii, escaped bool) error {
	if !ascii && !utf8.Valid(text) || escaped && hasHalf(text) {
		return s.errorAt(remedyText)
	}
	return nil
}

// addKey records a key of an object and finds the shape of its value.
func (s *scanner) addKey(o *opened, key []byte) error {
	if o.shape != nil && o.shape.fields != nil {
		o.value = nil
		if f, ok := o.shape.fields[string(key)]; ok {
			o.value = f.shape
			if o.fields&f.bit != 0 {
				return s.errorAt(remedyTwice)
			}
			if o.fields |= f.bit; f.bit != 0 {
				return nil
			}
		} else if name := o.shape.fold(key); name != nil {
			return s.errorAt("write the field in the case of " + strconv.Quote(string(name)))
		}
	}
	if len(s.unknown) == maxUnknown {
		return s.errorAt(remedyKeys)
	}
	others := s.unknown[o.first:]
	s.unknown = append(s.unknown, key)
	if len(others) < maxCompared {
		for _, other := range others {
			if bytes.Equal(other, key) {
				return s.errorAt(remedyTwice)
			}
		}
		return nil
	}
	if o.set == nil {
		o.set = make(map[string]struct{}, 2*len(others))
		for _, other := range others {
			o.set[string(other)] = struct{}{}
		}
	}
	if _, ok := o.set[string(key)]; ok {
		return s.errorAt(remedyTwice)
	}
	o.set[string(key)] = struct{}{}
	return nil
}

// unescape returns the text of a string without its escapes.
func unescape(text []byte) []byte {
	quoted := make([]byte, 0, len(text)+2)
	quoted = append(append(append(quoted, '"'), text...), '"')
	var plain string
	if json.Unmarshal(quoted, &plain) != nil {
		return text
	}
	return []byte(plain)
}

// hasHalf reports whether a string has an escape of one half of a surrogate pair without the other.
func hasHalf(text []byte) bool {
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		unit, ok := escapedUnit(text[i:])
		if !ok {
			// Any other escape has one letter behind the backslash.
			i++
			continue
		}
		i += unitBytes - 1
		if unit < 0xd800 || unit > 0xdfff {
			continue
		}
		low, ok := escapedUnit(text[i+1:])
		if !ok || unit > 0xdbff || low < 0xdc00 || low > 0xdfff {
			return true
		}
		i += unitBytes
	}
	return false
}

// unitBytes is the length of an escaped UTF-16 unit, such as \u00e9.
const unitBytes = 6

// escapedUnit returns the UTF-16 unit that text begins with as an escape.
func escapedUnit(text []byte) (uint64, bool) {
	if len(text) < unitBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:unitBytes]), 16, 16)
	return unit, err == nil
}
