package settings

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// maxFileBytes is far above the size of any real settings file; it limits what is read if the path is wrong, such as that of a log
// file.
const maxFileBytes = 1 << 20

// maxLevels is far above the nesting of any settings. It bounds the stack of the parser, which calls itself for each level.
const maxLevels = 64

// Load reads the settings file at path; an error is an *Error.
func Load(path string) (Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Settings{}, &Error{File: path, Problem: "the settings file cannot be read", Remedy: "give the path of a readable file", Cause: err}
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return Settings{}, &Error{File: path, Problem: "the settings file is not a regular file of at most 1 MiB", Remedy: "give the path of a settings file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Problem: "the settings file cannot be read", Remedy: "give the path of a readable file", Cause: err}
	}
	loaded, err := Parse(path, text)
	if overrides := os.Getenv(OverridesVariable); err == nil && overrides != "" {
		return loaded.override("environment variable "+OverridesVariable, []byte(overrides))
	}
	return loaded, err
}

// OverridesVariable is the environment variable whose settings, in the format of the file, override those of the file that Load reads.
// It holds values that depend on the machine, where one settings file serves machines of several sizes.
const OverridesVariable = "CHICORYRELAY_OVERRIDES"

// Parse returns Default overridden by the settings in text, JSON with comments. Errors are *Error and name the file as given.
func Parse(name string, text []byte) (Settings, error) { return Default().override(name, text) }

// override returns the settings overridden by those in text.
func (s Settings) override(name string, text []byte) (Settings, error) {
	p := &parser{file: name, text: text, offsets: map[string]int{}, settings: s}
	if len(text) > maxFileBytes {
		return Settings{}, p.errorAt(0, "", "the settings file is larger than 1 MiB", "shorten it to at most 1 MiB")
	}
	if at := deepAt(text); at >= 0 {
		return Settings{}, p.errorAt(at, "", fmt.Sprintf("the file is nested more than %d levels deep", maxLevels), "nest the settings as their names are, such as times.lease")
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return Settings{}, p.syntaxError(err)
	}
	if err := p.checkTexts(&root); err != nil {
		return Settings{}, err
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return Settings{}, p.errorAt(root.StartOffset, "", "the file does not contain a JSON object", "put all settings between { and }")
	}
	if err := p.object("", object); err != nil {
		return Settings{}, err
	}
	if err := p.checkConflicts(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// deepAt returns the offset from which text is nested more than maxLevels deep, or -1.
func deepAt(text []byte) int {
	depth := 0
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '"', '/':
			at += skipToken(text[at:])
		case '[', '{':
			if depth++; depth > maxLevels {
				return at
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// skipToken returns the offset of the last byte of the text or comment that JSON begins with.
func skipToken(json []byte) int {
	var end string
	switch {
	case json[0] == '"':
		for at := 1; at < len(json); at++ {
			switch json[at] {
			case '"':
				return at
			case '\\':
				at++
			}
		}
		return len(json)
	case bytes.HasPrefix(json, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(json, []byte("/*")):
		end = "*/"
	default:
		return 0
	}
	if length := bytes.Index(json[2:], []byte(end)); length >= 0 {
		return 1 + length + len(end)
	}
	return len(json)
}

// parser reads the settings of one file; offsets maps the path of each field to its byte offset in the text.
type parser struct {
	file     string
	text     []byte
	offsets  map[string]int
	settings Settings
}

func (p *parser) errorAt(offset int, field, problem, remedy string) error {
	line, column := p.position(offset)
	return &Error{File: p.file, Line: line, Column: column, Field: field, Problem: problem, Remedy: remedy}
}

// syntaxError converts a JSON parser's error; the position is available only in the error's text.
func (p *parser) syntaxError(err error) error {
	e := &Error{File: p.file, Line: 1, Column: 1, Problem: err.Error(), Remedy: "correct the JSON; comments and a trailing comma are allowed", Cause: err}
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &e.Line, &e.Column); n == 2 {
		_, e.Problem, _ = strings.Cut(err.Error(), fmt.Sprintf("column %d: ", e.Column))
	}
	return e
}

// checkTexts returns an error for the first text that would be read otherwise than it is written.
func (p *parser) checkTexts(root *hujson.Value) error {
	for value := range root.All() {
		if l, ok := value.Value.(hujson.Literal); ok && !syntax.IsText(l) {
			return p.errorAt(value.StartOffset, "", "the text isn't valid UTF-8", "save the file as UTF-8, without escapes of half a character")
		}
	}
	return nil
}

func (p *parser) position(offset int) (line, column int) {
	before := string(p.text[:offset])
	start := strings.LastIndexByte(before, '\n') + 1
	return 1 + strings.Count(before, "\n"), 1 + len([]rune(before[start:]))
}

// object reads the members of the group at a path; the path of the root is empty.
func (p *parser) object(path string, object *hujson.Object) error {
	for _, member := range object.Members {
		key := stringValue(member.Name)
		fullPath := key
		if path != "" {
			fullPath = path + "." + key
		}
		if first, ok := p.offsets[fullPath]; ok {
			line, _ := p.position(first)
			return p.errorAt(member.Name.StartOffset, fullPath, "the field is given twice", fmt.Sprintf("remove one of them; the first is in line %d", line))
		}
		p.offsets[fullPath] = member.Name.StartOffset
		if err := p.member(path, fullPath, member); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) member(path, fullPath string, member hujson.ObjectMember) error {
	known := slices.Contains(childNames(path), stringValue(member.Name))
	for _, f := range fields {
		if known && f.path == fullPath {
			return f.read(p, fullPath, member.Value)
		}
	}
	names := childNames(fullPath)
	if !known {
		return p.errorAt(member.Name.StartOffset, fullPath, "unknown field", "use one of "+strings.Join(childNames(path), ", "))
	}
	group, ok := member.Value.Value.(*hujson.Object)
	if !ok {
		return p.errorAt(member.Value.StartOffset, fullPath, "the value is "+typeName(member.Value), "write an object with "+strings.Join(names, ", "))
	}
	return p.object(fullPath, group)
}

// stringValue returns the value of a string, and an empty string for values of other types.
func stringValue(v hujson.Value) string {
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == '"' {
		return l.String()
	}
	return ""
}

func typeName(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	case '"':
		return "text"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "a list"
	}
}
