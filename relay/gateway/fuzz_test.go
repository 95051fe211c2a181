package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// FuzzResume guards against a Last-Event-ID that causes a panic, is refused without naming the header, or resumes at an event or
// version other than the ID names.
func FuzzResume(f *testing.F) {
	for _, seed := range []string{"", "req9:1:4", "req9:1:0", "req9::4", "a:b:c:4", "5", "::", "r:1:-1", "r:1:4294967295", "r:1:4294967296", "r:1:+4", "r:1:04"} {
		f.Add(seed, true, "1")
		f.Add(seed, false, "")
	}
	f.Fuzz(func(t *testing.T, id string, streamed bool, weights string) {
		request := &http.Request{Header: http.Header{"Last-Event-Id": {id}}}
		assistant := catalogue.Assistant{Model: "m", Adapter: "a", Weights: weights}
		version, from, err := readResume(request, assistant, prompt.Request{Stream: streamed})
		if err != nil {
			var refusal *outcome.Refusal
			if !errors.As(err, &refusal) || refusal.Field != "Last-Event-ID" || version != nil || from != 0 {
				t.Fatalf("id %q: version %v from %d, incomplete refusal %#v", id, version, from, err)
			}
			return
		}
		if id == "" {
			if from != 0 || (version == nil) != (weights == "") {
				t.Fatalf("without an id: version %v from %d", version, from)
			}
			return
		}
		expectResume(t, id, streamed, version.Model+version.Adapter, version.Weights, from)
	})
}

// expectResume checks that the ID names the version and the event before from; the number may have leading zeros.
func expectResume(t *testing.T, id string, streamed bool, model, weights string, from uint64) {
	t.Helper()
	_, rest, _ := strings.Cut(id, ":")
	digits, found := strings.CutPrefix(rest, weights+":")
	same := found && digits != "" && strings.TrimLeft(digits, "0") == strings.TrimLeft(fmt.Sprint(from-1), "0")
	if !streamed || model != "ma" || weights == "" || from == 0 || from > 1<<32 || !same {
		t.Fatalf("id %q with stream %v accepted as %s with weights %q from %d", id, streamed, model, weights, from)
	}
}
