package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/operator"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/audit"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

const (
	firstID  = "0190aaaa-0000-7000-8000-000000000001"
	secondID = "0190aaaa-0000-7000-8000-000000000002"
)

// fakeControl simulates the control VMs with one configuration version and the outcome of each command by ID.
type fakeControl struct {
	version   uint64
	objects   []catalogue.Object
	outcomes  map[string]operator.Outcome
	sent      []operator.Command
	submitErr error
	block     func()
}

func (c *fakeControl) change(ctx context.Context, command operator.Command) (operator.Outcome, error) {
	if c.block != nil {
		c.block()
	}
	c.sent = append(c.sent, command)
	if ctx.Err() != nil {
		return operator.Outcome{}, ctx.Err()
	}
	if c.submitErr != nil {
		return operator.Outcome{}, c.submitErr
	}
	if result, ok := c.outcomes[command.ID]; ok {
		return result, nil
	}
	if command.Expected != c.version {
		return operator.Outcome{State: operator.Refused, Version: c.version, Winner: &operator.Winner{Command: firstID, Actor: "bob", Version: c.version}}, nil
	}
	c.version++
	for _, edit := range command.Edits {
		c.objects = append(c.objects, edit.Object)
	}
	c.outcomes[command.ID] = operator.Outcome{State: operator.Accepted, Version: c.version}
	return c.outcomes[command.ID], nil
}

var _ = Describe("HTTP API for operators", func() {
	var (
		c             *fakeControl
		trail         *audit.Trail
		fullDiskTrail *audit.Trail
		ready         bool
		newHandler    func(*audit.Trail) http.Handler
		handler       http.Handler
	)
	discardLog := &log.Logger{Handler: discard.New()}

	BeforeEach(func() {
		c = &fakeControl{version: 4, outcomes: map[string]operator.Outcome{}, objects: []catalogue.Object{
			{Kind: "account", Name: "makers", Value: json.RawMessage(`{"key":"` + catalogue.HashKey("m") + `","weight":2}`)},
		}}
		ready = true
		disk := audit.Disk{
			List: func() ([]string, error) { return nil, nil }, Read: func(string) ([]byte, error) { return nil, nil },
			Append: func(string) (audit.File, error) { return audit.File{}, errors.New("no space left") },
		}
		var err error
		trail, err = audit.New(audit.WithLog(discardLog))
		Expect(err).NotTo(HaveOccurred())
		fullDiskTrail, err = audit.New(audit.WithLog(discardLog), audit.WithDisk(disk))
		Expect(err).NotTo(HaveOccurred())
		newHandler = func(auditTrail *audit.Trail) http.Handler {
			return operator.New(
				operator.WithAuthenticate(func(key string) (operator.Actor, bool) {
					actor, ok := map[string]operator.Actor{"k": {Name: "ann", Organisation: "makers"}, "b": {Name: "bob", Organisation: "baths"}}[key]
					return actor, ok
				}),
				operator.WithConfiguration(func() (uint64, []catalogue.Object) { return c.version, c.objects }),
				operator.WithSubmit(c.change),
				operator.WithRecordedOutcome(func(_ context.Context, id string) (operator.Outcome, bool, error) {
					result, ok := c.outcomes[id]
					return result, ok, c.submitErr
				}),
				operator.WithTables(view.Tables{VMs: func() []view.Row { return []view.Row{{"name": "vm1", "boot": uint64(3)}} }}),
				operator.WithTrail(auditTrail), operator.WithReady(func() bool { return ready }), operator.WithLog(discardLog),
				operator.WithIDGenerator(func() string { return secondID }), operator.WithNow(func() time.Time { return time.Unix(1e9, 0) }),
			)
		}
		handler = newHandler(trail)
	})

	call := func(method, path, key, body string, headers ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		if key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	expectAnswer := func(text string, status int, answer string, headers ...string) {
		GinkgoHelper()
		w := call(http.MethodPost, "/statement", "k", text, headers...)
		Expect(w.Code).To(Equal(status), w.Body.String())
		Expect(w.Body.String()).To(MatchJSON(answer))
	}
	expectTrail := func(organisation string, outcomes ...string) {
		GinkgoHelper()
		entries, err := trail.Entries(organisation, time.Time{})
		Expect(err).NotTo(HaveOccurred())
		found := []string{}
		for _, e := range entries {
			found = append(found, e.Outcome)
		}
		Expect(found).To(HaveExactElements(outcomes))
	}

	DescribeTable("requires an operator's key for every path but /healthz", func(method, path string) {
		for _, key := range []string{"", "wrong"} {
			w := call(method, path, key, "show vms")
			Expect(w.Code).To(Equal(http.StatusUnauthorized))
			Expect(w.Body.String()).To(And(ContainSubstring(`"field":"Authorization"`), ContainSubstring(`"work":"not run"`)))
		}
	},
		Entry(nil, http.MethodPost, "/statement"), Entry(nil, http.MethodGet, "/audit"),
		Entry(nil, http.MethodGet, "/debug/vars"), Entry(nil, http.MethodGet, "/other"),
	)

	It("reports readiness at /healthz without a key", func() {
		Expect(call(http.MethodGet, "/healthz", "", "").Code).To(Equal(http.StatusOK))
		ready = false
		Expect(call(http.MethodGet, "/healthz", "", "").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("answers queries, rejects unknown columns and serves the metrics", func() {
		expectAnswer("show vms name, boot", 200, `{"columns":["name","boot"],"rows":[["vm1",3]]}`)
		expectAnswer("show voters name", 200, `{"columns":["name"],"rows":[]}`)
		expectAnswer("show vms colour", 400, `{"kind":"bad_request","field":"colour","line":1,"column":10,"work":"not run",
			"message":"line 1, column 10: vms has no column colour; expected one of name, centre, region, address, control, state, boot, version, lease"}`)
		Expect(call(http.MethodGet, "/debug/vars", "k", "").Body.String()).To(ContainSubstring("memstats"))
	})

	It("adds the expected version and a command ID to a statement without them, so that the operator can retry it", func() {
		expectAnswer("set account makers weight=4", 200, `{"outcome":"accepted","version":5,"expected":4,"command":"`+secondID+`"}`)
		Expect(c.sent[0].Actor).To(Equal(operator.Actor{Name: "ann", Organisation: "makers"}))
		Expect(string(c.sent[0].Edits[0].Object.Value)).To(ContainSubstring(`"weight":4`))
		expectTrail("makers", "begun", "accepted")
		expectTrail("baths")
	})

	It("takes the command ID from the header unless the statement has one, and rejects a header that is no UUID", func() {
		expectAnswer("set account makers weight=4", 200, `{"outcome":"accepted","version":5,"expected":4,"command":"`+firstID+`"}`, operator.CommandHeader, firstID)
		expectAnswer("set account makers weight=5 command "+secondID, 200, `{"outcome":"accepted","version":6,"expected":5,"command":"`+secondID+`"}`, operator.CommandHeader, firstID)
		Expect(call(http.MethodPost, "/statement", "k", "drain upstream a", operator.CommandHeader, "7").Code).To(Equal(400))
	})

	It("refuses a command that expects an older version and names the conflicting command", func() {
		expectAnswer("set account makers weight=4 expect 3 command "+firstID, 409,
			`{"outcome":"refused","version":4,"expected":3,"command":"`+firstID+`","winner":{"command":"`+firstID+`","actor":"bob","version":4},"work":"not run"}`)
		expectTrail("makers", "begun", "refused")
	})

	It("answers a retried create with its recorded outcome instead of refusing it because the object exists", func() {
		text := "create rule r service=booking idempotent=true expect 4 command " + firstID
		answer := `{"outcome":"accepted","version":5,"expected":4,"command":"` + firstID + `"}`
		expectAnswer(text, 200, answer)
		expectAnswer(text, 200, answer)
		c.submitErr = errors.New("cut off")
		Expect(call(http.MethodPost, "/statement", "k", text).Code).To(Equal(504))
		c.submitErr = nil
		Expect(call(http.MethodPost, "/statement", "k", strings.Replace(text, firstID, secondID, 1)).Code).To(Equal(400))
	})

	It("refuses a command that expects a newer version than this VM has, because its edits would revert the changes in between", func() {
		expectAnswer("set account makers weight=4 expect 9", 400, `{"outcome":"refused","version":4,"expected":9,"command":"`+secondID+`","kind":"bad_request","field":"expect",
			"work":"not run","message":"this VM's configuration has version 4, but the statement expects 9; send it again once show versions lists the expected version"}`)
		Expect(c.sent).To(BeEmpty())
	})

	It("distinguishes a refused command from one whose outcome is unknown", func() {
		c.submitErr = outcome.Refuse(outcome.NoLease, "try another VM")
		expectAnswer("set account makers weight=4", 503, `{"outcome":"refused","version":4,"expected":4,"command":"`+secondID+`","kind":"no_lease","work":"not run","message":"try another VM"}`)
		c.submitErr = context.DeadlineExceeded
		expectAnswer("set account makers weight=4", 504, `{"outcome":"unknown","version":4,"expected":4,"command":"`+secondID+`","kind":"no_quorum","work":"may have run",
			"message":"the control VMs did not answer; send the command again with the same command ID"}`)
		expectTrail("makers", "begun", "refused", "begun", "unknown")
	})

	It("records refused changes in the audit trail, and refuses a change while the audit trail cannot be written", func() {
		Expect(call(http.MethodPost, "/statement", "k", "set account makers weight").Code).To(Equal(400))
		Expect(call(http.MethodPost, "/statement", "k", "set account makers weight=0").Code).To(Equal(400))
		Expect(call(http.MethodPost, "/statement", "k", "show vms nothing").Code).To(Equal(400))
		expectTrail("makers", "refused", "refused")
		handler = newHandler(fullDiskTrail)
		Expect(call(http.MethodPost, "/statement", "k", "set account makers weight=4").Code).To(Equal(503))
		Expect(c.sent).To(BeEmpty())
	})

	It("exports and shows audit entries of the operator's own organisation only", func() {
		Expect(call(http.MethodPost, "/statement", "b", "set account makers weight=4").Code).To(Equal(200))
		Expect(call(http.MethodGet, "/audit", "k", "").Body.String()).To(BeEmpty())
		Expect(strings.Count(call(http.MethodGet, "/audit?since=1h", "b", "").Body.String(), "\n")).To(Equal(2))
		Expect(call(http.MethodGet, "/audit?since=1", "b", "").Code).To(Equal(400))
		expectAnswer("show audit actor", 200, `{"columns":["actor"],"rows":[]}`)
	})

	It("completes a change after the client disconnects, so that its outcome is recorded in the audit trail", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		r := httptest.NewRequest(http.MethodPost, "/statement", strings.NewReader("set account makers weight=4")).WithContext(ctx)
		r.Header.Set("Authorization", "Bearer k")
		handler.ServeHTTP(httptest.NewRecorder(), r)
		expectTrail("makers", "begun", "accepted")
	})

	It("refuses statements above the concurrency limit as not run, and accepts them again afterwards", func() {
		var blocked sync.WaitGroup
		release, ended := make(chan struct{}), sync.WaitGroup{}
		blocked.Add(32)
		var mu sync.Mutex
		c.block = func() { blocked.Done(); <-release; mu.Lock() }
		for range 32 {
			ended.Go(func() {
				call(http.MethodPost, "/statement", "k", "set account makers weight=4 expect 3")
				mu.Unlock()
			})
		}
		blocked.Wait()
		w := call(http.MethodPost, "/statement", "k", "show vms")
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Body.String()).To(ContainSubstring(`"work":"not run"`))
		close(release)
		ended.Wait()
		Expect(call(http.MethodPost, "/statement", "k", "show vms").Code).To(Equal(http.StatusOK))
	})

	It("rejects a statement that is too long, is not UTF-8 or is not sent by POST", func() {
		Expect(call(http.MethodPost, "/statement", "k", strings.Repeat("a", 70_000)).Code).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(call(http.MethodPost, "/statement", "k", "show \xff").Code).To(Equal(400))
		Expect(call(http.MethodGet, "/statement", "k", "").Code).To(Equal(http.StatusMethodNotAllowed))
	})
})
