package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// call is one request in progress.
type call struct {
	server       *Server
	id           string
	prompt       Prompt
	version      engine.Version
	software     string
	promptTokens int
	resumeFrom   int
	box          *inbox
	fault        Fault
	sent         int
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	if retryAfter, refused := s.faults.takeRefusal(); refused {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		s.writeError(w, r, oops.Code("busy").Errorf("the engine accepts no requests now"))
		return
	}
	c, err := s.accept(w, r, chat)
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	defer s.runner.cancel(c.id)
	if c.prompt.Stream {
		c.fault = s.faults.takeArmed()
		c.stream(w, r)
		return
	}
	for {
		events := s.runner.receive(c.box, r.Context().Done())
		if len(events) == 0 {
			return
		}
		switch last := events[len(events)-1]; last.Kind {
		case engine.Finish:
			answer := c.prompt.completion(c.id, c.version, c.resumeFrom, c.promptTokens, last.Cached)
			answer.Fingerprint = c.software
			s.writeJSON(w, r, http.StatusOK, answer)
			return
		case engine.Broken:
			panic(http.ErrAbortHandler)
		}
	}
}

// accept parses the request and submits it to the engine.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, chat bool) (*call, error) {
	raw, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	c := &call{server: s, id: r.Header.Get("X-Request-Id")}
	if c.prompt, err = ParsePrompt(chat, raw); err != nil {
		return nil, err
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	request := engine.Request{ID: c.id, Salt: r.Header.Get("X-Cache-Salt"), Prompt: engine.Tokens(c.prompt.Text), Answer: c.prompt.Answer}
	for name, target := range map[string]*int{"X-Resume-From": &request.From, "X-Priority": &request.Priority} {
		if value := r.Header.Get(name); value != "" {
			if *target, err = strconv.Atoi(value); err != nil {
				return nil, oops.Code("body").Errorf("%s: send a whole number", name)
			}
		}
	}
	s.runner.withEngine(func(_ time.Duration, e *engine.Engine) {
		request.Chain = engine.Blocks(c.prompt.Text, e.BlockTokens())
		c.software = e.Software()
	})
	c.promptTokens, c.resumeFrom = request.Prompt, request.From
	c.box, c.version, err = s.runner.submit(request, r.Header.Get("X-Weights"), r.Header.Get("X-Software"))
	return c, err
}

// stream sends the output as server-sent events.
func (c *call) stream(w http.ResponseWriter, r *http.Request) {
	s := c.server
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	if s.faults.takeUnframed() {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	crashes := s.faults.crashesOn(c.prompt.Text)
	flush := http.NewResponseController(w).Flush
	for {
		events := s.runner.receive(c.box, r.Context().Done())
		if len(events) == 0 {
			return
		}
		for _, event := range events {
			s.runner.clock.Sleep(event.At+s.delay-s.runner.clock.Now(), r.Context().Done())
			s.blockIfSilent(r.Context())
			if event.Kind == engine.Broken {
				panic(http.ErrAbortHandler)
			}
			c.send(w, event)
			// This precedes the flush, so that connections which a client opens after it has read the event are not silenced.
			if due(c.fault.Silent, c.sent) {
				c.fault.Silent = nil
				s.faults.silence()
			}
			if err := flush(); err != nil {
				return
			}
			if crashes {
				s.crash()
				panic(http.ErrAbortHandler)
			}
			c.applyFaults()
			if event.Kind == engine.Finish {
				return
			}
		}
	}
}

// send writes one event; after Finish it also writes the usage, if requested, and the end of the stream.
func (c *call) send(w http.ResponseWriter, event engine.Event) {
	if due(c.fault.Cross, c.sent) {
		otherID := c.server.runner.otherID(c.id)
		writeEvent(w, fmt.Sprintf("%s:%d", otherID, event.Seq), c.chunk(otherID, event))
	}
	repeats := 1
	if due(c.fault.Duplicate, c.sent) {
		repeats = 2
	}
	for range repeats {
		writeEvent(w, fmt.Sprintf("%s:%d", c.id, event.Seq), c.chunk(c.id, event))
	}
	if event.Kind != engine.Finish {
		c.sent++
		return
	}
	if c.prompt.Usage {
		last := Chunk{ID: c.id, Object: c.prompt.objectType(true), Model: c.version.Model, Choices: []Choice{}}
		last.Usage = c.prompt.usage(c.promptTokens, event.Cached)
		writeEvent(w, "", last)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// chunk returns the chunk for one engine event, which tells the engine's software version as the OpenAI API does.
func (c *call) chunk(id string, event engine.Event) Chunk {
	chunk := c.prompt.streamChunk(id, c.version, event)
	chunk.Fingerprint = c.software
	return chunk
}

// applyFaults applies the faults that are due after the tokens sent so far.
func (c *call) applyFaults() {
	if due(c.fault.Crash, c.sent) {
		c.fault.Crash = nil
		c.server.crash()
	}
	if due(c.fault.Break, c.sent) {
		panic(http.ErrAbortHandler)
	}
}

func writeEvent(w http.ResponseWriter, id string, chunk Chunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	if id != "" {
		_, _ = fmt.Fprintf(w, "id: %s\n", id)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
