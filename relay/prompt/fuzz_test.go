package prompt_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// levelLimit is the number of levels per request for which the routing core is dimensioned.
const levelLimit = 24

// FuzzParse guards against a body that makes Parse panic, a refusal without the field's name, and prefix levels that do not grow
// or exceed the limit.
func FuzzParse(f *testing.F) {
	long := strings.Repeat("word ", 2000)
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
		fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":%q},{"role":"user","content":[{"type":"text","text":%q}]}]}`, long, long),
		`{"model":"m","messages":[` + strings.Repeat(`{"role":"user","content":"`+strings.Repeat("x", 1100)+`"},`, 40) + `{"role":"user"}]}`,
		fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":5,"stream":true,"stream_options":{"include_usage":true}}`, long),
		`{"model":"m","prompt":["a"],"n":2}`, `{"model":"m","prompt":"a","max_tokens":0}`, `{"model":""}`, `[]`, `{`, `null`,
	} {
		f.Add(false, 1, []byte(seed))
		f.Add(true, 1, []byte(seed))
		f.Add(false, 64, []byte(seed))
	}
	f.Fuzz(func(t *testing.T, chat bool, repeat int, raw []byte) {
		kind := prompt.Completion
		if chat {
			kind = prompt.Chat
		}
		expectValid(t, kind, raw)
		// Short bodies have no prefix levels, so the fuzzer's bytes are repeated.
		text := quote(t, strings.Repeat(string(raw), min(max(repeat, 1), 1+(1<<17)/(len(raw)+1))))
		expectValid(t, prompt.Completion, []byte(`{"model":"m","prompt":`+text+`}`))
		message := `{"role":"user","content":` + quote(t, string(raw)) + `}`
		expectValid(t, prompt.Chat, []byte(`{"model":"m","messages":[`+message+strings.Repeat(","+message, min(max(repeat, 0), 63))+`]}`))
	})
}

func quote(t *testing.T, text string) string {
	t.Helper()
	quoted, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	return string(quoted)
}

// expectValid parses a body and checks the guarantees of Parse.
func expectValid(t *testing.T, kind prompt.Kind, raw []byte) {
	t.Helper()
	request, err := prompt.Parse(kind, raw)
	if err != nil {
		var refusal *outcome.Refusal
		if !errors.As(err, &refusal) || refusal.Field == "" {
			t.Fatalf("refusal without a field: %#v", err)
		}
		return
	}
	if request.Model == "" || request.PromptTokens < 1 || request.AnswerTokens < 1 || len(request.Levels) > levelLimit {
		t.Fatalf("accepted a request with fields out of range: %+v", request)
	}
	tokens := 0
	for _, level := range request.Levels {
		if level.Tokens <= tokens || level.Tokens > request.PromptTokens {
			t.Fatalf("levels do not grow within the prompt: levels=%+v prompt_tokens=%d", request.Levels, request.PromptTokens)
		}
		tokens = level.Tokens
	}
}
