package syntax

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

const (
	// maxKeys bounds the keys that are kept of all open objects, and with them the memory of a check.
	maxKeys = 1 << 16
	// maxCompared is the number of keys of an object up to which they are compared one by one.
	maxCompared = 16
	// maxPooled is the size of the texts whose decoder is used again; that of a large one would keep memory in proportion.
	maxPooled = 4 << 10
)

var errTrailing = errors.New("the text goes on behind its value")

// Unmarshal decodes text like json.Unmarshal, and returns an *Error where it would decode it otherwise than it is written; what it has
// decoded until then must not be used. Values of type json.RawMessage are left to the call that decodes them.
func Unmarshal(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return err
	}
	return Check(text, into)
}

// Check returns an *Error for the first place at which json.Unmarshal decodes text into a value of the type of into otherwise than it is
// written.
func Check(text []byte, into any) error {
	c := checkers.Get().(*checker)
	if len(text) <= maxPooled {
		defer checkers.Put(c)
	}
	c.reset(text)
	err := c.checkValue(shapeOf(reflect.TypeOf(into)))
	if err == nil {
		err = c.checkEnd()
	}
	var fault *Error
	if err != nil && !errors.As(err, &fault) {
		return c.errorAt(remedyJSON)
	}
	return err
}

// IsText reports whether a literal of JSON is read as it is written: a string must be valid UTF-8, without escapes of half a character.
func IsText(literal []byte) bool { return isPlain(literal) || jsontext.Value(literal).IsValid() }

// isPlain reports whether a literal has neither escapes nor bytes beyond ASCII.
func isPlain(literal []byte) bool {
	for _, c := range literal {
		if c == '\\' || c >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// checkers keeps what a check of a small text needs.
var checkers = sync.Pool{New: func() any { return &checker{decoder: jsontext.NewDecoder(new(bytes.Buffer))} }}

// checker reads one text.
type checker struct {
	decoder *jsontext.Decoder
	// keys are those of the open objects.
	keys []string
}

func (c *checker) reset(text []byte) {
	clear(c.keys[:cap(c.keys)])
	c.keys = c.keys[:0]
	// The checker finds these itself, so that raw values may have them. A decoder reads a bytes.Buffer without a copy.
	c.decoder.Reset(bytes.NewBuffer(text), jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// checkEnd returns an error if the text goes on behind its value.
func (c *checker) checkEnd() error {
	_, err := c.decoder.ReadToken()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errTrailing
	}
	return err
}

// checkValue reads the next value, which is decoded into a type of shape s.
func (c *checker) checkValue(s *shape) error {
	if s != nil && s.raw {
		return c.decoder.SkipValue()
	}
	switch c.decoder.PeekKind() {
	case '{':
		return c.checkObject(s)
	case '[':
		return c.checkList(s)
	case '"':
		_, err := c.readText()
		return err
	}
	return c.decoder.SkipValue()
}

func (c *checker) checkList(s *shape) error {
	_, err := c.decoder.ReadToken()
	for err == nil && c.decoder.PeekKind() != ']' {
		err = c.checkValue(s.ofElement())
	}
	if err != nil {
		return err
	}
	_, err = c.decoder.ReadToken()
	return err
}

func (c *checker) checkObject(s *shape) error {
	first := len(c.keys)
	var set map[string]struct{}
	_, err := c.decoder.ReadToken()
	for err == nil && c.decoder.PeekKind() != '}' {
		var literal jsontext.Value
		if literal, err = c.readText(); err != nil {
			return err
		}
		name, value := s.member(literal)
		if set, err = c.addKey(name, first, set); err != nil {
			return err
		}
		if value == nil && s != nil {
			if field := s.fold(name); field != "" {
				return c.errorAt("write the field in the case of " + strconv.Quote(field))
			}
		}
		err = c.checkValue(value)
	}
	if err != nil {
		return err
	}
	c.keys = c.keys[:first]
	_, err = c.decoder.ReadToken()
	return err
}

// addKey records a key of the object whose keys begin at first, and returns their set, which is nil for few.
func (c *checker) addKey(key string, first int, set map[string]struct{}) (map[string]struct{}, error) {
	if len(c.keys) == maxKeys {
		return nil, c.errorAt(remedyKeys)
	}
	others := c.keys[first:]
	c.keys = append(c.keys, key)
	if len(others) < maxCompared {
		for _, other := range others {
			if other == key {
				return nil, c.errorAt(remedyTwice)
			}
		}
		return nil, nil
	}
	if set == nil {
		set = make(map[string]struct{}, 2*len(others))
		for _, other := range others {
			set[other] = struct{}{}
		}
	}
	if _, ok := set[key]; ok {
		return nil, c.errorAt(remedyTwice)
	}
	set[key] = struct{}{}
	return set, nil
}

// readText reads a string and returns its literal.
func (c *checker) readText() (jsontext.Value, error) {
	literal, err := c.decoder.ReadValue()
	if err == nil && !IsText(literal) {
		err = c.errorAt(remedyText)
	}
	return literal, err
}

// errorAt returns the error of the place that the decoder has reached.
func (c *checker) errorAt(remedy string) error {
	var path path
	depth := 0
	for name := range c.decoder.StackPointer().Tokens() {
		depth++
		kind, _ := c.decoder.StackIndex(depth)
		if !path.add(name, kind == '[') {
			break
		}
	}
	return &Error{Path: path.String(), Remedy: remedy}
}
