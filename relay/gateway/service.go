package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// idempotencyKeyHeader carries the idempotency key, under which a call runs at most once.
const idempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 255

// forwardedHeaders lists the caller's header fields that are sent to a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// Booking is one non-idempotent call to a plain service.
type Booking struct {
	Account string
	Service string
	Key     string
	// KeyGiven reports that the caller sent the key; otherwise the gateway generated it.
	KeyGiven bool
	// Digest identifies the method, path, content type and body, so that a key can't be used for two different calls.
	Digest  [sha256.Size]byte
	Call    upstream.ServiceCall
	Regions []string
}

// Answer is a plain service's answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports that this is the recorded answer of an earlier call with the same key.
	Replayed bool
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	info, err := g.authenticate(w, r)
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	name, path, query := splitTarget(callers.Target(r))
	if name != mux.Vars(r)["service"] {
		g.notFound(w, r)
		return
	}
	body, err := g.readBody(w, r)
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	call := upstream.ServiceCall{Method: r.Method, Path: path + query, Header: http.Header{}, Body: body}
	for _, header := range forwardedHeaders {
		if value := r.Header.Get(header); value != "" {
			call.Header.Set(header, value)
		}
	}
	call.Header.Set("X-Request-Id", info.id)
	call.Header.Set("X-Account", info.account.Name)
	rule := ruleOf(info.catalogue, name, r.Method, path)
	if rule.Idempotent {
		g.callIdempotent(w, r, info, rule, call)
		return
	}
	g.callOnce(w, r, info, rule, call)
}

// ruleOf returns the rule of a call. Its service may decode the path, so a call is idempotent only if it is so with the decoded path too.
func ruleOf(c *catalogue.Catalogue, service, method, path string) catalogue.Rule {
	rule := c.Rule(service, method, path)
	if decoded, err := url.PathUnescape(path); err == nil && rule.Idempotent {
		return c.Rule(service, method, decoded)
	}
	return rule
}

// splitTarget returns the decoded name in a target /services/NAME/PATH?QUERY, empty if it is malformed, and the service's path and query
// as the caller wrote them; the query begins with its question mark.
func splitTarget(target string) (name, path, query string) {
	path = target
	if i := strings.IndexByte(target, '?'); i >= 0 {
		path, query = target[:i], target[i:]
	}
	segments := strings.SplitN(path, "/", 4)
	if len(segments) < 3 {
		return "", "", ""
	}
	// The name is empty after an error.
	name, _ = url.PathUnescape(segments[2])
	return name, "/" + strings.Join(segments[3:], ""), query
}

// callIdempotent makes an idempotent call and retries it at the other replicas after a failure.
func (g *Gateway) callIdempotent(w http.ResponseWriter, r *http.Request, info requestInfo, rule catalogue.Rule, call upstream.ServiceCall) {
	replicas := accepting(g.client, Replicas(info.catalogue, rule.Service, commonRegions(rule.Regions, info.account.Regions), info.id))
	if len(replicas) == 0 {
		g.refuse(w, info, outcome.Refuse(outcome.NoUpstream, "no replica of the service accepts calls now; try again after the time in Retry-After"))
		return
	}
	var lastErr error
	id := fingerprint(info.account.Name, rule.Service, call)
	for i, replica := range replicas {
		if refusal := g.crashes.Admit(r.Context(), id); refusal != nil {
			if i == 0 {
				g.refuse(w, info, refusal)
				return
			}
			lastErr = refusal
			break
		}
		sentAt := g.now()
		answer, err := g.client.CallIdempotent(r.Context(), replica.Address, call, g.maxBodyBytes)
		g.crashes.record(id, replica.Name, sentAt, answer.Status, err)
		if err == nil && answer.Status != http.StatusBadGateway && answer.Status != http.StatusServiceUnavailable {
			g.writeAnswer(w, info, Answer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body})
			answer.Release()
			return
		}
		answer.Release()
		lastErr = err
	}
	g.refuse(w, info, outcome.RefuseUncertain(outcome.UpstreamFailed, "no replica of the service answered; the call is idempotent, so it can be sent again").WithCause(lastErr))
}

func (g *Gateway) callOnce(w http.ResponseWriter, r *http.Request, info requestInfo, rule catalogue.Rule, call upstream.ServiceCall) {
	key := r.Header.Get(idempotencyKeyHeader)
	given := key != ""
	if len(key) > maxKeyBytes {
		g.refuse(w, info, outcome.Refuse(outcome.BadRequest, "the idempotency key is too long; use a key of at most %d bytes", maxKeyBytes).WithField(idempotencyKeyHeader))
		return
	}
	if !given {
		key = g.newID()
	}
	w.Header().Set(idempotencyKeyHeader, key)
	call.Header.Set(idempotencyKeyHeader, key)
	answer, err := g.book(r.Context(), Booking{
		Account: info.account.Name, Service: rule.Service, Key: key, KeyGiven: given, Digest: digest(call), Call: call,
		Regions: commonRegions(rule.Regions, info.account.Regions),
	})
	if err != nil {
		g.refuse(w, info, err)
		return
	}
	if answer.Replayed {
		w.Header().Set("Idempotent-Replayed", "true")
	}
	g.writeAnswer(w, info, answer)
}

func (g *Gateway) writeAnswer(w http.ResponseWriter, info requestInfo, answer Answer) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(g.now().Add(g.writeTimeout))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	g.finish(info, RequestRecord{Service: true})
}

func digest(call upstream.ServiceCall) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), []byte(call.Path), []byte(call.Header.Get("Content-Type")), call.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return [sha256.Size]byte(hash.Sum(nil))
}

// commonRegions returns the regions that both lists allow; an empty list allows all.
func commonRegions(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	common := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		// No region has an empty name; an empty list would allow all regions.
		return []string{""}
	}
	return common
}

// accepting returns the replicas that are neither leaving, according to the platform's list or what they say of themselves, nor paused.
func accepting(client *upstream.Client, replicas []catalogue.Upstream) []catalogue.Upstream {
	return slices.DeleteFunc(slices.Clone(replicas), func(u catalogue.Upstream) bool { return !client.Accepts(u.Address) })
}

// Replicas returns the active replicas of a service in the given regions, rotated by the hash of hashKey, a request ID or an
// idempotency key, so that calls are spread evenly; an empty list of regions means all.
func Replicas(c *catalogue.Catalogue, service string, regions []string, hashKey string) []catalogue.Upstream {
	var found []catalogue.Upstream
	for _, replica := range c.Service(service) {
		if len(regions) == 0 || slices.Contains(regions, replica.Region) {
			found = append(found, replica)
		}
	}
	if len(found) < 2 {
		return found
	}
	first := int(xxhash.Sum64String(hashKey) % uint64(len(found)))
	return append(found[first:len(found):len(found)], found[:first]...)
}
