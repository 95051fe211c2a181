package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/floodtest"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// floodCalls is the number of calls whose upstreams send bytes without end at once; maxFloodMemory is the growth of the live heap in
// bytes that they may cause together: a quarter of the memory of a small VM, since the collector lets the heap grow to twice what is live.
// maxFloodTime is the time by which each must have ended.
const (
	floodCalls     = 50
	maxFloodMemory = 28 << 20
	maxFloodTime   = 4 * time.Second
	// floodLimit is the largest answer that the calls accept: the default of limits.body.
	floodLimit = 8 << 20
)

// floodPaths are the ways on which a client receives something from an upstream.
var floodPaths = map[string]func(context.Context, *upstream.Client, netip.AddrPort) error{
	"a text request": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		stream, err := c.Open(ctx, upstream.Call{Upstream: catalogue.Upstream{Address: address}, Path: "/v1/completions", Request: "r"})
		if err != nil {
			return err
		}
		defer stream.Close()
		for {
			if _, err := stream.Next(); err != nil {
				return err
			}
		}
	},
	"an idempotent call": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		_, err := c.CallIdempotent(ctx, address, upstream.ServiceCall{Method: http.MethodGet, Path: "/balance", Header: http.Header{}}, floodLimit)
		return err
	},
	"a booking": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		connection, err := c.Dial(ctx, address)
		if err != nil {
			return err
		}
		_, err = connection.Call(ctx, upstream.ServiceCall{Method: http.MethodPost, Path: "/book", Header: http.Header{}}, 1<<20)
		return err
	},
	"a load report": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		_, err := c.Load(ctx, address)
		return err
	},
	"the platform's list": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		_, err := c.List(ctx, address)
		return err
	},
	"an order": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		return c.Order(ctx, address, load, time.Second, permitted)
	},
	"a KV cache transfer": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
		return c.Transfer(ctx, catalogue.Upstream{Address: address}, catalogue.Upstream{Address: address}, 1, "s", []byte("{}"))
	},
}

const (
	floodHead    = "HTTP/1.1 200 OK\r\n"
	floodChunked = floodHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// manyNames are header lines that each have another name.
var manyNames = func() string {
	var lines strings.Builder
	for i := range 1 << 14 {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}()

// floodText is what an upstream sends: prefix once, and repeated until the connection is closed, with a pause before each if it is not 0.
type floodText struct {
	prefix, repeated string
	pause            time.Duration
}

// floodHeads are floods in or by a response's head.
var floodHeads = map[string]floodText{
	"before any response":             {"", strings.Repeat("\x00\xff\x13", 1024), 0},
	"in the status line":              {"HTTP/1.1 200 ", strings.Repeat("x", 4096), 0},
	"in a header line":                {floodHead + "X-Noise: ", strings.Repeat("x", 4096), 0},
	"in header lines":                 {floodHead, strings.Repeat("a:\r\n", 1024), 0},
	"in header lines of many names":   {floodHead, manyNames, 0},
	"slowly behind many header lines": {floodHead + manyNames[:strings.LastIndex(manyNames[:60_000], "\r\n")] + "\r\n\r\n", "x", 20 * time.Millisecond},
	"in slow header lines":            {floodHead, "a:\r\n", 20 * time.Millisecond},
	"in interim responses":            {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 128), 0},
	"in slow interim responses":       {"", "HTTP/1.1 102 Processing\r\n\r\n", 20 * time.Millisecond},
	"in an interim response":          {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("a:\r\n", 1024), 0},
	"in the head behind a signal":     {"HTTP/1.1 100 Continue\r\n\r\n" + floodHead, strings.Repeat("a:\r\n", 1024), 0},
}

// floodBodies are floods in a response's body.
var floodBodies = map[string]floodText{
	"in a body with a length":    {floodHead + "Content-Length: 4000000000\r\n\r\n", strings.Repeat("x", 4096), 0},
	"in a body without a length": {floodHead + "\r\n", strings.Repeat("x", 4096), 0},
	"in a JSON string":           {floodHead + "\r\n{\"salt\": \"", strings.Repeat("x", 4096), 0},
	"in a JSON array":            {floodHead + "\r\n[", strings.Repeat("{},", 1024), 0},
	"behind a JSON object":       {floodHead + "\r\n{}", strings.Repeat(" ", 4096), 0},
	"in chunks":                  {floodChunked, fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096)), 0},
	"in a chunk's size line":     {floodChunked, strings.Repeat("0", 4096), 0},
	"in a chunk's extension":     {floodChunked + "1;", strings.Repeat("x", 4096), 0},
	"in the trailers":            {floodChunked + "0\r\n", strings.Repeat("X-Noise: xxxxxxxx\r\n", 256), 0},
	"in a refusal":               {"HTTP/1.1 503 X\r\n\r\n", strings.Repeat("x", 4096), 0},
	"in a slow refusal":          {"HTTP/1.1 503 X\r\n\r\n", "x", 20 * time.Millisecond},
	"in a body that slows down":  {floodHead + "\r\n" + strings.Repeat("x", 1_000_000), "x", 20 * time.Millisecond},
}

// finishedEvents is the text of a complete answer followed by further events.
var finishedEvents = func() string {
	var events strings.Builder
	for i := range 1 << 10 {
		_, _ = fmt.Fprintf(&events, "id: r:%d\ndata: {\"choices\":[{\"text\":\"x\",\"finish_reason\":\"stop\"}]}\n\n", i)
	}
	return events.String()
}()

// floodEvents are floods in a stream.
var floodEvents = map[string]floodText{
	"in an event's line":              {floodHead + "\r\ndata: ", strings.Repeat("x", 4096), 0},
	"in an event's lines":             {floodHead + "\r\n", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 8), 0},
	"in a line that slows down":       {floodHead + "\r\ndata: " + strings.Repeat("x", 1_000_000), "x", 20 * time.Millisecond},
	"in lines of one that slows down": {floodHead + "\r\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 1000), "data: x\n", 20 * time.Millisecond},
	"in a line of another field":      {floodHead + "\r\nid: ", strings.Repeat("x", 4096), 0},
	"in comments":                     {floodHead + "\r\n", strings.Repeat(": x\n\n", 512), 0},
	"in events of no progress":        {floodHead + "\r\n", strings.Repeat("data: {}\n\n", 512), 0},
	"in events sent again":            {floodHead + "\r\n", strings.Repeat("id: r:0\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n", 128), 0},
	"in events of another":            {floodHead + "\r\n", strings.Repeat("data: {\"id\":\"other\",\"choices\":[{\"text\":\"x\"}]}\n\n", 128), 0},
	"in events behind the end":        {floodHead + "\r\n", finishedEvents, 0},
	"in slow events of others":        {floodHead + "\r\n", "id: other:0\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n", 20 * time.Millisecond},
	"in slow comments":                {floodHead + "\r\n", ": x\n\n", 20 * time.Millisecond},
}

// floodBodyPaths are the ways on which the bodies of answers are flooded.
var floodBodyPaths = []string{"an order", "an idempotent call", "a booking", "a load report", "the platform's list", "a KV cache transfer", "a text request"}

// flood runs the calls at once and returns their errors, the growth of the live heap between the rounds and the time until the last has
// ended. Calls that exceed the bounds are cancelled, so that a failing test doesn't exhaust the machine.
func flood(rounds *floodtest.Rounds, calls int, call func(context.Context) error) (errs []error, growth int64, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxFloodTime)
	defer cancel()
	before, started, results := floodtest.LiveHeap(), time.Now(), make(chan error, calls)
	for range calls {
		go func() { results <- call(ctx) }()
	}
	for len(errs) < calls {
		select {
		case err := <-results:
			errs = append(errs, err)
		default:
			if growth = max(growth, floodtest.LiveHeap()-before); growth > 4*maxFloodMemory {
				cancel()
			}
			rounds.Advance()
		}
	}
	return errs, growth, time.Since(started)
}

// Guards against an upstream in trouble whose bytes without end occupy the VM's memory, so that the requests of all callers end with the
// process, or keep a call for longer than its time.
var _ = Describe("bytes without end from an upstream", func() {
	test := func(path, place string, text floodText) {
		It("in answer to "+path+" end it and keep the memory bounded when they come "+place, func() {
			rounds := floodtest.NewRounds()
			DeferCleanup(rounds.End)
			address := pouringIn(rounds, text.prefix, text.repeated, text.pause)
			client := upstream.New(upstream.WithHeaderTimeout(time.Second), upstream.WithReadTimeout(time.Second))
			DeferCleanup(client.Close)
			calls := floodCalls
			if path == "the platform's list" {
				// One poller reads it.
				calls = 1
			}
			errs, growth, took := flood(rounds, calls, func(ctx context.Context) error { return floodPaths[path](ctx, client, address) })
			if path != "an order" || !strings.HasPrefix(text.prefix, floodHead) || !strings.Contains(text.prefix, "\r\n\r\n") {
				// An order's answer is its status alone.
				Expect(errs).To(HaveEach(HaveOccurred()))
			}
			Expect(growth).To(BeNumerically("<", maxFloodMemory))
			Expect(took).To(BeNumerically("<", maxFloodTime))
			sound, _ := startUpstream(http.StatusOK, http.Header{})
			response, err := client.CallIdempotent(context.Background(), sound, upstream.ServiceCall{Method: http.MethodGet, Path: "/balance", Header: http.Header{}}, floodLimit)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("{}"))
		})
	}
	for path := range floodPaths {
		for place, text := range floodHeads {
			test(path, place, text)
		}
	}
	for place, text := range floodEvents {
		test("a text request", place, text)
	}
	for _, path := range floodBodyPaths {
		for place, text := range floodBodies {
			test(path, place, text)
		}
	}
})
