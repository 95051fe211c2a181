package syntax

import (
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
	remedyKeys  = "give an object fewer unknown keys"
	remedyJSON  = "write valid JSON"

	// maxPathBytes bounds the path of an error, which goes into answers and log lines.
	maxPathBytes = 200
)

// path is the text of a path.
type path struct{ strings.Builder }

// add adds a name, or an index of a list, and reports whether the path may become longer.
func (p *path) add(name string, index bool) bool {
	switch {
	case p.Len() > maxPathBytes:
		p.WriteString("...")
		return false
	case index:
		p.WriteString("[" + name + "]")
		return true
	case p.Len() > 0:
		p.WriteString(".")
	}
	p.WriteString(formatKey(name))
	return true
}

// formatKey quotes keys that could be mistaken for more than a name.
func formatKey(key string) string {
	text := key[:min(len(key), maxPathBytes)]
	if len(key) > maxPathBytes {
		text += "..."
	}
	isOdd := func(r rune) bool {
		return r != '_' && r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}
	if key == "" || strings.ContainsFunc(key, isOdd) {
		return strconv.QuoteToASCII(text)
	}
	return text
}
