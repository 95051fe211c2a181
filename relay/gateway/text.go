package gateway

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
)

// deadlineHeader carries the caller's timeout for the first token, as a duration with its unit.
const deadlineHeader = "X-Deadline"

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	info, err := g.authenticate(w, r)
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for name := range info.catalogue.Assistants {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "chicoryrelay"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) { g.serveText(w, r, prompt.Chat) }

func (g *Gateway) completion(w http.ResponseWriter, r *http.Request) {
	g.serveText(w, r, prompt.Completion)
}

func (g *Gateway) serveText(w http.ResponseWriter, r *http.Request, kind prompt.Kind) {
	info, err := g.authenticate(w, r)
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	s, err := g.newSession(w, r, info, kind)
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	s.run(r.Context())
}

// newSession checks a text request and prepares its session.
func (g *Gateway) newSession(w http.ResponseWriter, r *http.Request, info requestInfo, kind prompt.Kind) (*session, error) {
	raw, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	parsed, err := prompt.Parse(kind, raw)
	if err != nil {
		return nil, err
	}
	assistant, ok := info.catalogue.Assistants[parsed.Model]
	if !ok {
		return nil, outcome.Refuse(outcome.NotFound, "no assistant has this name; use one that /v1/models lists").WithField("model")
	}
	deadline, err := readDeadline(r, assistant)
	if err != nil {
		return nil, err
	}
	pinned, from, err := readResume(r, info.catalogue, assistant, parsed)
	if err != nil {
		return nil, err
	}
	body := prompt.Rewrite(raw, engineModel(assistant))
	version := stream.Version{Model: assistant.Model, Adapter: assistant.Adapter}
	if pinned != nil {
		version = *pinned
	}
	return &session{
		gateway: g, requestInfo: info, path: r.URL.Path, body: body, parsed: parsed, assistant: assistant,
		core: stream.New(info.id, version, from),
		dispatchRequest: dispatch.Request{
			ID: info.id, Account: info.account, Assistant: assistant, Levels: parsed.Levels, SharedParts: parsed.SharedParts, Fingerprint: quarantine.Fingerprint(info.account.Name, r.Method, "", r.URL.Path, raw), PromptTokens: parsed.PromptTokens,
			AnswerTokens: parsed.AnswerTokens, Idempotent: true, Deadline: deadline, Arrived: info.arrived, Pinned: pinned,
		},
		answerWriter: newAnswerWriter(w, kind, parsed, info.id, g.writeTimeout, g.client.NewText()),
	}, nil
}

func readDeadline(r *http.Request, assistant catalogue.Assistant) (time.Duration, error) {
	text := r.Header.Get(deadlineHeader)
	if text == "" {
		return time.Duration(assistant.Deadline), nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		return 0, outcome.Refuse(outcome.BadRequest, "the deadline is not a positive duration with its unit; send one such as 800ms").WithField(deadlineHeader)
	}
	return deadline, nil
}

// readResume returns the version and the first event number for the resume of a stream, nil and 0 without one. Last-Event-ID is the ID of
// the last event that the caller received.
func readResume(r *http.Request, c *catalogue.Catalogue, assistant catalogue.Assistant, parsed prompt.Request) (*stream.Version, uint64, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return nil, 0, nil
	}
	if !parsed.Stream {
		return nil, 0, outcome.Refuse(outcome.BadRequest, "a request with an event ID must set stream; send the unchanged ID of the last received event, with the same body and stream set").WithField("Last-Event-ID")
	}
	id, refusal := parseEventID(text)
	if refusal != nil {
		return nil, 0, refusal
	}
	version := &stream.Version{Model: assistant.Model, Adapter: assistant.Adapter, Weights: id.weights, Software: id.software}
	if !id.hasSoftware && softwareKnown(c, *version) {
		// Upstreams may have changed since the stream began, so that not even one that all of them have now shows what began it.
		return nil, 0, outcome.Refuse(outcome.VersionUnavailable, "the event ID tells no software version, so that the stream could go on at another version than the one that began it; send the request again without Last-Event-ID").WithField("Last-Event-ID")
	}
	return version, id.number + 1, nil
}

// engineModel returns the model name for requests to the engine: the adapter's if there is one.
func engineModel(assistant catalogue.Assistant) string {
	if assistant.Adapter != "" {
		return assistant.Adapter
	}
	return assistant.Model
}
