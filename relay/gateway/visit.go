package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// visit is one request of an authenticated caller.
type visit struct {
	id        string
	arrived   time.Time
	account   catalogue.Account
	catalogue *catalogue.Catalogue
	leased    bool
}

// enter authenticates the caller and binds the request to one version of the configuration.
func (g *Gateway) enter(w http.ResponseWriter, r *http.Request) (visit, error) {
	g.awaitConfiguration(r.Context())
	configuration := g.configuration()
	v := visit{id: g.newID(), arrived: g.now(), catalogue: configuration.Catalogue, leased: configuration.Leased}
	w.Header().Set("X-Request-Id", v.id)
	if v.catalogue == nil {
		return v, outcome.Refuse(outcome.NoConfiguration, "this VM has no configuration yet; try again or ask another VM")
	}
	if !v.leased {
		w.Header().Set(staleHeader, "stale")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return v, outcome.Refuse(outcome.Unauthorised, "send the account's key as 'Authorization: Bearer KEY'").WithField("Authorization")
	}
	if v.account, ok = v.catalogue.AccountByKey(key); !ok {
		return v, outcome.Refuse(outcome.Unauthorised, "no account has this key; ask an operator for one").WithField("Authorization")
	}
	return v, nil
}

// awaitConfiguration holds the first requests of a VM that has just restarted and gets its configuration from other VMs.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	if g.start == 0 {
		return
	}
	select {
	case <-g.installed:
		return
	default:
	}
	timer := time.NewTimer(g.start)
	defer timer.Stop()
	select {
	case <-g.installed:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// readBody reads a bounded request body.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= g.body {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, g.body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.TooLarge, "send at most %d bytes", g.body).WithField("body")
	}
	if err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, "the body ended early; send it again").WithField("body").WithCause(err)
	}
	return buffer.Bytes(), nil
}

// refuse answers with a refusal, and logs and counts it.
func (g *Gateway) refuse(w http.ResponseWriter, v visit, err error) {
	refusal := asRefusal(err)
	if refusal.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	_, _ = w.Write(refusal.Body())
	g.finish(v, Measure{Refusal: refusal})
}

// asRefusal gives an error that is no refusal the outcome that claims the least.
func asRefusal(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return outcome.RefuseUncertain(outcome.UpstreamFailed, "the answer was lost; see the log for the cause").WithCause(err)
}

// finish logs and counts one request.
func (g *Gateway) finish(v visit, m Measure) {
	m.Account = v.account.Name
	g.measure(m)
	entry := g.log.WithFields(log.Fields{
		"request": v.id, "account": m.Account, "first": m.First, "prompt": m.Counts.Prompt, "cached": m.Counts.Cached,
		"answer": m.Counts.Answer, "resumes": m.Stream.Resumes,
	})
	if m.Refusal == nil {
		entry.Debug("served")
		return
	}
	entry = entry.WithFields(log.Fields{"kind": m.Refusal.Kind, "outcome": m.Refusal.Outcome, "field": m.Refusal.Field})
	if m.Refusal.Cause != nil {
		entry = entry.WithField("cause", m.Refusal.Cause.Error())
	}
	entry.Info("refused")
}
