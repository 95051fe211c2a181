package replica

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// maxEventsPerResponse limits the cache events in one response.
const maxEventsPerResponse = 10_000

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	var version engine.Version
	s.runner.withEngine(func(_ time.Duration, e *engine.Engine) { version = e.Version() })
	s.writeJSON(w, r, http.StatusOK, map[string]any{"object": "list", "data": []map[string]any{{
		"id": version.Model, "object": "model", "created": 0, "owned_by": "standin", "adapter": version.Adapter, "weights": version.Weights,
	}}})
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var report engine.Report
	s.runner.withEngine(func(now time.Duration, e *engine.Engine) { report = e.Load(now) })
	s.writeJSON(w, r, http.StatusOK, report)
}

// events responds with cache events as JSON lines, one event a line.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var from uint64
	if text := r.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			s.writeError(w, r, oops.Code("body").Errorf("from: send the sequence number of the first event"))
			return
		}
	}
	var changes []engine.Change
	s.runner.withEngine(func(now time.Duration, e *engine.Engine) { changes = e.Changes(now, from, maxEventsPerResponse) })
	s.runner.clock.Sleep(s.delay, r.Context().Done())
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, change := range changes {
		if encoder.Encode(change) != nil {
			return
		}
	}
}

func (s *Server) blocks(w http.ResponseWriter, r *http.Request) {
	var snapshot engine.Snapshot
	s.runner.withEngine(func(now time.Duration, e *engine.Engine) { snapshot = e.Snapshot(now) })
	s.writeJSON(w, r, http.StatusOK, snapshot)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	err := s.decodeBody(w, r, &order)
	if err == nil {
		s.runner.withEngine(func(now time.Duration, e *engine.Engine) { err = e.Order(now, order) })
	}
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	if order.Kind == engine.Load && s.store.IsValid() {
		go s.fetch(order.Version)
	}
	s.logger.WithField("kind", order.Kind).WithField("fencing", order.Fencing).Info("order obeyed")
	s.writeJSON(w, r, http.StatusOK, map[string]any{"fencing": order.Fencing})
}

// exportRequest identifies a prefix by its chain of hashes or by a request with that prompt.
type exportRequest struct {
	Salt  string   `json:"salt"`
	Chain []uint64 `json:"chain"`
	// Request is the body of a chat or completion request.
	Request json.RawMessage `json:"request"`
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	var request exportRequest
	err := s.decodeBody(w, r, &request)
	var prompt Prompt
	if err == nil && len(request.Request) > 0 {
		var format struct {
			Messages []json.RawMessage `json:"messages"`
		}
		_ = json.Unmarshal(request.Request, &format)
		prompt, err = ParsePrompt(len(format.Messages) > 0, request.Request)
	}
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	var bundle engine.Bundle
	s.runner.withEngine(func(now time.Duration, e *engine.Engine) {
		if prompt.Text != "" {
			request.Chain = engine.Blocks(prompt.Text, e.BlockTokens())
		}
		bundle = e.Export(now, request.Salt, request.Chain)
	})
	s.writeJSON(w, r, http.StatusOK, bundle)
}

// importKV responds once the imported KV cache is usable.
func (s *Server) importKV(w http.ResponseWriter, r *http.Request) {
	var bundle engine.Bundle
	err := s.decodeBody(w, r, &bundle)
	var readyAt time.Duration
	if err == nil {
		s.runner.withEngine(func(now time.Duration, e *engine.Engine) { readyAt, err = e.Import(now, bundle) })
	}
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.runner.clock.Sleep(readyAt-s.runner.clock.Now(), r.Context().Done())
	s.writeJSON(w, r, http.StatusOK, map[string]any{"tokens": len(bundle.Chain) * bundle.Block})
}

// health responds 503 while the engine is leaving.
func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	leaving := false
	s.runner.withEngine(func(_ time.Duration, e *engine.Engine) { leaving = e.Leaving() })
	status := http.StatusOK
	if leaving {
		status = http.StatusServiceUnavailable
	}
	s.writeJSON(w, r, status, map[string]any{"leaving": leaving})
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	raw, err := s.readBody(w, r)
	if err == nil {
		err = decodeStrict(raw, &fault)
	}
	if err != nil {
		s.writeError(w, r, err)
		return
	}
	s.faults.arm(fault)
	s.runner.withEngine(func(now time.Duration, e *engine.Engine) {
		if fault.Slow > 0 && !math.IsInf(fault.Slow, 0) {
			e.Slow(now, engine.Slow{From: now, Until: now + fault.slowDuration(), Factor: fault.Slow})
		}
		if fault.Leave != nil {
			e.Leave(now, *fault.Leave)
		}
	})
	s.logger.WithField("fault", string(raw)).Info("fault armed")
	w.WriteHeader(http.StatusNoContent)
}

// decodeStrict rejects unknown fields, since a misspelt fault would otherwise be ignored.
func decodeStrict(raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return oops.Code("body").Errorf("body: send a JSON object with known fields: %v", err)
	}
	return nil
}
