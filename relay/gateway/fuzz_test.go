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
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
)

// resumeCatalogue has an engine of model m with adapter a, weights 1 and the software version.
func resumeCatalogue(software string) *catalogue.Catalogue {
	return &catalogue.Catalogue{Upstreams: []catalogue.Upstream{{Name: "u", Kind: catalogue.Engine, Model: "m", Adapter: "a", Weights: "1", Software: software}}}
}

// FuzzResume guards against a Last-Event-ID that causes a panic, is refused without naming the header, or resumes at an event or
// version other than the ID names, and against one without a software version that resumes while versions are known.
func FuzzResume(f *testing.F) {
	for _, seed := range []string{"", "req9:1:4", "req9:1:0", "req9::4", "a:b:c:4", "5", "::", ":::", "r:1:-1", "r:1:4294967295", "r:1:4294967296", "r:1:+4", "r:1:04", "r:1::4", "r:1:2.0:4", "r:1:2%3A0:4", "r:1:2%3a0:4", "r:1%3A:+%2B:4", "r:1:%0A:4", "r:1:2.0:4:4", "r:1%3A:4", "r:1:" + strings.Repeat("x", 200) + ":4"} {
		f.Add(seed, true, "")
		f.Add(seed, true, "2.0")
		f.Add(seed, false, "")
	}
	f.Fuzz(func(t *testing.T, id string, streamed bool, software string) {
		request := &http.Request{Header: http.Header{"Last-Event-Id": {id}}}
		assistant := catalogue.Assistant{Model: "m", Adapter: "a"}
		version, from, err := readResume(request, resumeCatalogue(software), assistant, prompt.Request{Stream: streamed})
		if err != nil {
			var refusal *outcome.Refusal
			if !errors.As(err, &refusal) || refusal.Field != "Last-Event-ID" || version != nil || from != 0 {
				t.Fatalf("id %q: version %v from %d, incomplete refusal %#v", id, version, from, err)
			}
			if refusal.Kind == outcome.VersionUnavailable && (software == "" || strings.Count(id, ":") != 2) {
				t.Fatalf("id %q with the known software %q: %v", id, software, refusal)
			}
			return
		}
		if id == "" {
			if from != 0 || version != nil {
				t.Fatalf("without an id: version %v from %d", version, from)
			}
			return
		}
		if !streamed || from == 0 || from > 1<<32 {
			t.Fatalf("id %q with stream %v accepted from %d", id, streamed, from)
		}
		expectResume(t, id, software, *version, from)
	})
}

// expectResume checks that the ID names the version and the event before from; the number may have leading zeros.
func expectResume(t *testing.T, id, known string, version stream.Version, from uint64) {
	t.Helper()
	request, rest, _ := strings.Cut(id, ":")
	var own string
	if strings.Count(id, ":") == 2 {
		own = request + ":" + version.Weights + ":"
		if version.Software != "" || version.Weights == "1" && known != "" {
			t.Fatalf("id %q accepted as %+v while %q is known", id, version, known)
		}
	} else {
		// With a known version the ID is written in the long form, which is the only one of this event.
		own = string(appendEventIDPrefix(nil, request, version, &catalogue.Catalogue{Upstreams: []catalogue.Upstream{{Kind: catalogue.Engine, Model: "m", Adapter: "a", Weights: version.Weights, Software: "x"}}}))
	}
	digits, same := strings.CutPrefix(request+":"+rest, own)
	same = same && digits != "" && strings.TrimLeft(digits, "0") == strings.TrimLeft(fmt.Sprint(from-1), "0")
	if version.Model != "m" || version.Adapter != "a" || version.Weights == "" || len(version.Software) > catalogue.MaxSoftwareBytes || !same {
		t.Fatalf("id %q accepted as %+v from %d", id, version, from)
	}
}

// FuzzEventID guards against an event ID of this release that names another version or event when it comes back, that a version with odd
// characters splits or that begins a new line of the stream, and against one that the earlier release can't read though nothing is known.
func FuzzEventID(f *testing.F) {
	for _, seed := range []string{"1", "v1:2", "a b", "50%", "2+3", "\n", "é", ""} {
		for _, software := range []string{"", "2.0", "2:0", "a b", "%3A", "+"} {
			f.Add(seed, software, "2.0", uint32(4))
			f.Add(seed, software, "", uint32(0))
		}
	}
	f.Fuzz(func(t *testing.T, weights, software, known string, number uint32) {
		if weights == "" || len(weights) > 1000 || !catalogue.ValidSoftware(software) {
			return
		}
		c := &catalogue.Catalogue{Upstreams: []catalogue.Upstream{{Kind: catalogue.Engine, Model: "m", Weights: weights, Software: known}}}
		version := stream.Version{Model: "m", Weights: weights, Software: software}
		id := fmt.Sprint(string(appendEventIDPrefix(nil, "r", version, c)), number)
		request := &http.Request{Header: http.Header{"Last-Event-Id": {id}}}
		resumed, from, err := readResume(request, c, catalogue.Assistant{Model: "m"}, prompt.Request{Stream: true})
		if err != nil || *resumed != version || from != uint64(number)+1 || strings.ContainsAny(id, "\r\n") {
			t.Fatalf("id %q of %+v came back as %v from %d: %v", id, version, resumed, from, err)
		}
		if plain := fmt.Sprint("r:", weights, ":", number); known == "" && software == "" && !strings.ContainsAny(weights, ":\r\n") && id != plain {
			t.Fatalf("id %q instead of %q", id, plain)
		}
	})
}
