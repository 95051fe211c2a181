package syntax

import (
	"bytes"
	"strconv"
	"strings"
)

// Error is the first place at which a text can't be used as it is written.
type Error struct {
	// Path leads to the place by names and indexes, such as routes[3].timeoutMs; it is empty for the text itself, and long ones are cut.
	Path   string
	Remedy string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Remedy
	}
	return e.Path + ": " + e.Remedy
}

const (
	remedyTwice = "give each key only once in an object"
	remedyText  = "write the text as valid UTF-8, without escapes of half a character"
	remedyDepth = "nest the text less deeply"
	remedyKeys  = "give an object fewer unknown keys"
	remedyJSON  = "write valid JSON"

	// maxPathBytes bounds the path of an error, which goes into answers and log lines.
	maxPathBytes = 200
)

// errorAt returns the error of the value that the scanner is at.
func (s *scanner) errorAt(remedy string) error {
	var path strings.Builder
	for i := range s.open {
		if path.Len() > maxPathBytes {
			path.WriteString("...")
			break
		}
		o := &s.open[i]
		switch {
		case !o.object:
			path.WriteString("[" + strconv.Itoa(o.index) + "]")
		case o.key == nil:
		case path.Len() > 0:
			path.WriteString("." + formatKey(o.key))
		default:
			path.WriteString(formatKey(o.key))
		}
	}
	return &Error{Path: path.String(), Remedy: remedy}
}

// formatKey quotes keys that could be mistaken for more than a name.
func formatKey(key []byte) string {
	text := string(key[:min(len(key), maxPathBytes)])
	if len(key) > maxPathBytes {
		text += "..."
	}
	isOdd := func(r rune) bool {
		return r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}
	if len(key) == 0 || bytes.ContainsFunc(key, isOdd) {
		return strconv.QuoteToASCII(text)
	}
	return text
}
