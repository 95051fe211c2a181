package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// requestInfo is the context of one request: its ID, its client account and the configuration that applies to it.
type requestInfo struct {
	id        string
	arrived   time.Time
	account   catalogue.Account
	catalogue *catalogue.Catalogue
	leased    bool
}

// authenticate authenticates the caller and fixes the configuration version for the whole request.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request) (requestInfo, error) {
	g.awaitConfiguration(r.Context())
	configuration := g.configuration()
	info := requestInfo{id: g.newID(), arrived: g.now(), catalogue: configuration.Catalogue, leased: configuration.Leased}
	w.Header().Set("X-Request-Id", info.id)
	if info.catalogue == nil {
		return info, outcome.Refuse(outcome.NoConfiguration, "this VM has no configuration yet; try again after the time in Retry-After or use another VM")
	}
	if !info.leased {
		w.Header().Set(staleHeader, "stale")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return info, outcome.Refuse(outcome.Unauthorised, "the key is missing; send the key of a client account as 'Authorization: Bearer KEY'").WithField("Authorization")
	}
	if info.account, ok = info.catalogue.AccountByKey(key); !ok {
		return info, outcome.Refuse(outcome.Unauthorised, "no client account has this key; ask an operator for a valid one").WithField("Authorization")
	}
	return info, nil
}

// awaitConfiguration delays requests to a VM that has just restarted until it has received its configuration from other VMs.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	if g.startTimeout == 0 {
		return
	}
	select {
	case <-g.installed:
		return
	default:
	}
	timer := time.NewTimer(g.startTimeout)
	defer timer.Stop()
	select {
	case <-g.installed:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// readBody reads the request body, up to the maximum size.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := callers.ReadBody(w, r, g.maxBodyBytes, time.Time{})
	if errors.Is(err, callers.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		return nil, callers.Refusal()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.TooLarge, "the request body is too large; send at most %d bytes", g.maxBodyBytes).WithField("body")
	}
	if err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, "the request body ended early; send the request again").WithField("body").WithCause(err)
	}
	return body, nil
}

// refuse sends a refusal to the caller and records it.
func (g *Gateway) refuse(w http.ResponseWriter, info requestInfo, err error) {
	refusal := asRefusal(err)
	if refusal.Status() == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter(refusal))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	_, _ = w.Write(refusal.Body())
	g.finish(info, RequestRecord{Refusal: refusal})
}

// asRefusal returns the refusal in an error; any other error becomes a refusal with the outcome MayHaveRun.
func asRefusal(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return outcome.RefuseUncertain(outcome.UpstreamFailed, "the answer could not be completed; the request may have run, and an operator finds the cause in the log by X-Request-Id").WithCause(err)
}

// finish logs one finished request and records it in the metrics.
func (g *Gateway) finish(info requestInfo, record RequestRecord) {
	record.Account = info.account.Name
	g.recorder(record)
	entry := g.log.WithFields(log.Fields{
		"request": info.id, "account": record.Account, "first": record.TimeToFirstToken, "prompt": record.Counts.Prompt, "cached": record.Counts.Cached,
		"answer": record.Counts.Answer, "resumes": record.Stream.Resumes,
	})
	if record.Refusal == nil {
		entry.Debug("served")
		return
	}
	entry = entry.WithFields(log.Fields{"kind": record.Refusal.Kind, "outcome": record.Refusal.Outcome, "field": record.Refusal.Field})
	if record.Refusal.Cause != nil {
		entry = entry.WithField("cause", record.Refusal.Cause.Error())
	}
	entry.Info("refused")
}

// retryAfter returns the Retry-After of a refusal in whole seconds, at least one.
func retryAfter(refusal *outcome.Refusal) string {
	wait := max(time.Second, refusal.RetryAfter)
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}
