package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testCommandID = "0190aaaa-0000-7000-8000-000000000000"

// stubRelay is a test server in place of a VM's listener for operators. It records the requests and gives all of them the same
// response, or closes the connection if abort is set.
type stubRelay struct {
	mu       sync.Mutex
	status   int
	response string
	abort    bool
	requests []string
	headers  []http.Header
}

func (s *stubRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	s.requests = append(s.requests, r.URL.RequestURI()+" "+string(body))
	s.headers = append(s.headers, r.Header)
	if s.abort {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.response)
}

func (s *stubRelay) setResponse(status int, response string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.response, s.abort = status, response, status == 0
}

func (s *stubRelay) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *stubRelay) header(request int, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[request].Get(name)
}

var _ = Describe("chicoryctl", func() {
	var (
		stub   *stubRelay
		server *httptest.Server
		out    bytes.Buffer
		errOut bytes.Buffer
	)

	BeforeEach(func() {
		stub = &stubRelay{status: 200, response: "{}"}
		out.Reset()
		errOut.Reset()
		server = httptest.NewServer(stub)
		DeferCleanup(server.Close)
	})

	runWithInput := func(input string, args ...string) int {
		return run(append([]string{"--address", strings.TrimPrefix(server.URL, "http://")}, args...), "k", strings.NewReader(input), &out, &errOut)
	}
	expectExit := func(code int, text string, args ...string) {
		GinkgoHelper()
		Expect(runWithInput("", args...)).To(Equal(code), errOut.String())
		Expect(out.String() + errOut.String()).To(ContainSubstring(text))
	}

	It("prints a table with all digits of 64-bit numbers and quoted control characters", func() {
		stub.setResponse(200, `{"columns":["name","boot","limit"],"rows":[["vm1",18446744073709551615,null],["a\u001b[2J",2,0.5]]}`)
		expectExit(exitAccepted, "vm1", "show", "vms", "name,", "boot")
		Expect(out.String()).To(And(ContainSubstring("18446744073709551615"), ContainSubstring(`"a\x1b[2J"`), ContainSubstring("│ name ")))
		Expect(stub.sent()).To(Equal([]string{"/statement show vms name, boot"}))
		Expect(stub.header(0, "Authorization")).To(Equal("Bearer k"))
		Expect(stub.header(0, commandIDHeader)).To(BeEmpty())
	})

	It("prints learned speeds, and nothing for an upstream of which none is known", func() {
		stub.setResponse(200, `{"columns":["name","speed","knee","observed","observations"],"rows":[["e1",1.6,0.625,"1.25s",40],["b1",null,null,null,null]]}`)
		expectExit(exitAccepted, "", "show", "upstreams", "name,", "speed,", "knee,", "observed,", "observations", "order", "by", "speed", "desc")
		Expect(out.String()).To(And(ContainSubstring("│ e1   │ 1.6   │ 0.625 │ 1.25s    │ 40           │"), ContainSubstring("│ b1   │       │       │          │              │")))
		Expect(stub.sent()).To(Equal([]string{"/statement show upstreams name, speed, knee, observed, observations order by speed desc"}))
	})

	It("prints the relay's JSON response unchanged with --json", func() {
		stub.setResponse(200, `{"columns":["name"],"rows":[["vm1"]]}`)
		expectExit(exitAccepted, `{"columns":["name"],"rows":[["vm1"]]}`, "show", "vms", "--json")
	})

	It("prints the command ID before it sends a change, so that the change can be sent again after a lost response", func() {
		stub.setResponse(0, "")
		expectExit(exitUnknown, "send the same statement again with --command", "do", "drain", "upstream", "e7")
		sent := stub.header(0, commandIDHeader)
		Expect(errOut.String()).To(HavePrefix("command " + sent + "\n"))
		stub.setResponse(200, `{"outcome":"accepted","version":5,"expected":4,"command":"`+sent+`"}`)
		expectExit(exitAccepted, "accepted version=5 expected=4 command="+sent, "do", "drain upstream e7", "--command", sent)
		Expect(stub.header(1, commandIDHeader)).To(Equal(sent))
	})

	It("uses the command ID at the end of a statement", func() {
		stub.setResponse(200, `{"outcome":"accepted"}`)
		expectExit(exitAccepted, "command "+testCommandID, "do", "drain upstream e7 expect 4 command "+testCommandID+";")
		expectExit(exitAccepted, "command ", "do", "role upstream command prefill")
		Expect(stub.header(1, commandIDHeader)).NotTo(Equal(testCommandID))
	})

	DescribeTable("exits with the code of the outcome", func(statusCode int, response string, code int, text string) {
		stub.setResponse(statusCode, response)
		expectExit(code, text, "do", "drain", "upstream", "e7")
	},
		Entry("if another change was first", 409, `{"outcome":"refused","winner":{"command":"x","actor":"bob","version":5}}`, exitRefused, "bob was first with command x, version 5"),
		Entry("if the statement is invalid", 400, `{"outcome":"refused","message":"line 1, column 2: no"}`, exitRefused, "line 1, column 2"),
		Entry("if the key is invalid", 401, `{"message":"send an operator's key"}`, exitRefused, "send an operator's key"),
		Entry("if the change is pending", 202, `{"outcome":"pending","command":"x"}`, exitUnknown, "--command x"),
		Entry("if the outcome is unknown", 504, `{"outcome":"unknown","command":"x","message":"no quorum"}`, exitUnknown, "no quorum"),
		Entry("if the response is not JSON", 200, `<html>`, exitUnknown, "may have been made"),
	)

	DescribeTable("refuses wrong usage without sending a request", func(text string, args ...string) {
		expectExit(exitUsage, text, args...)
		Expect(stub.sent()).To(BeEmpty())
	},
		Entry(nil, "unknown command", "frob"),
		Entry(nil, "unknown flag", "show", "vms", "--frob"),
		Entry(nil, "requires at least 1 arg", "show"),
		Entry(nil, "invalid argument", "show", "vms", "--address", "localhost:7200"),
		Entry(nil, "give the UUID", "do", "drain upstream e7", "--command", "7"),
	)

	It("refuses to run without an operator's key", func() {
		Expect(run([]string{"show", "vms"}, "", nil, &out, &errOut)).To(Equal(exitUsage))
		Expect(errOut.String()).To(ContainSubstring("CHICORY_KEY"))
	})

	It("reports that nothing was sent if the VM cannot be reached", func() {
		server.Close()
		expectExit(exitRefused, "nothing was sent", "do", "drain", "upstream", "e7")
	})

	It("exports the audit trail unchanged", func() {
		stub.setResponse(200, "{\"actor\":\"ann\"}\n")
		expectExit(exitAccepted, "{\"actor\":\"ann\"}\n", "audit", "--since", "24h")
		Expect(stub.sent()).To(Equal([]string{"/audit?since=24h0m0s "}))
	})

	It("reports an audit export whose connection was closed", func() {
		stub.setResponse(0, "")
		expectExit(exitUnknown, "no valid response", "audit")
	})

	It("continues after a refused statement in the shell and exits with its code", func() {
		stub.setResponse(400, `{"outcome":"refused","message":"no"}`)
		Expect(runWithInput("# two statements\n\ndrain upstream a\nshow vms\nexit\nshow models\n", "shell")).To(Equal(exitRefused))
		Expect(stub.sent()).To(Equal([]string{"/statement drain upstream a", "/statement show vms"}))
	})

	It("generates a key and the hash that the configuration stores", func() {
		Expect(run([]string{"key"}, "", nil, &out, &errOut)).To(Equal(exitAccepted))
		Expect(out.String()).To(MatchRegexp(`^key [A-Z2-7]{26}\nsha256 [0-9a-f]{64}\n$`))
	})
})
