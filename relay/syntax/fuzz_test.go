package syntax_test

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// surrogate matches what may be an escape of half a character, or of the one that stands for text that isn't valid.
var surrogate = regexp.MustCompile(`(?i)\\u(d[89a-f]|fffd)`)

// hasTwice reports, by the standard library's tokens, whether a key comes twice in an object of valid JSON.
func hasTwice(text []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	return valueHasTwice(decoder)
}

func valueHasTwice(decoder *json.Decoder) bool {
	token, err := decoder.Token()
	delimiter, ok := token.(json.Delim)
	if err != nil || !ok {
		return false
	}
	keys, twice := map[string]bool{}, false
	for decoder.More() {
		if delimiter == '{' {
			key, _ := decoder.Token()
			name, _ := key.(string)
			twice = twice || keys[name]
			keys[name] = true
		}
		twice = valueHasTwice(decoder) || twice
	}
	_, _ = decoder.Token()
	return twice
}

// FuzzCheck guards against text that makes a check panic, that it refuses or accepts otherwise than the standard library's tokens say, and
// against accepted text of which a field holds another value than the key of exactly its name.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		`{"name":"a","kind":"b","rate":1.5,"list":[{"Weight":1}],"shares":{"a":1},"any":{"a":[1,{}]}}`, `{"name":"a","n\u0061me":"b"}`,
		`{"x":{"a":1,"a":2}}`, `{"NAME":"a"}`, "{\"name\":\"\xff\"}", `{"name":"\ud83d"}`, `{"name":"\ud83d\ude00"}`, `{"raw":[{"a":1,"a":1}]}`, `["\\",":"]`, `{"a":1}]}`, `}{`, `"`, `"\`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		fault := syntax.Check(text, new(any))
		if len(text) > 1<<16 || !json.Valid(text) || bytes.Count(text, []byte("{"))+bytes.Count(text, []byte("[")) > 5_000 {
			return
		}
		sound := utf8.Valid(text) && !hasTwice(text)
		if fault != nil && sound && !surrogate.Match(text) || fault == nil && !sound {
			t.Fatalf("%q: %v", text, fault)
		}
		checkName(t, text)
	})
}

func checkName(t *testing.T, text []byte) {
	var into struct {
		Name *string `json:"name"`
	}
	if syntax.Unmarshal(text, &into) != nil {
		return
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(text, &members) != nil || members == nil {
		return
	}
	var name *string
	if raw, ok := members["name"]; ok && json.Unmarshal(raw, &name) != nil || (name == nil) != (into.Name == nil) {
		t.Fatalf("%q has the name %q, which is decoded as %v", text, members["name"], into.Name)
	}
	if name != nil && (*name != *into.Name || strings.Contains(*name, "\ufffd") && !bytes.Contains(text, []byte("\ufffd")) && !surrogate.Match(text)) {
		t.Fatalf("%q has the name %q, which is decoded as %q", text, *name, *into.Name)
	}
}
