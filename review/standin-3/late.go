package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	lateFronts   = 2
	lateReplicas = 9
	// While orders are late, every second one gets no answer and is carried out lateDelay after it came.
	lateWindow = 7 * time.Second
	lateDelay  = 12 * time.Second
	// Replicas crash in turn, with lateBetween from one time to the next, and are back under their IDs after lateDown.
	lateBetween = 1200 * time.Millisecond
	lateDown    = time.Second
	// lateLoad is how long a replica needs for new weights, lateLag the age of what it and the list say.
	lateLoad = 380 * time.Millisecond
	lateLag  = 200 * time.Millisecond
	// lateCalm is longer than 1.5 x versionMs.
	lateCalm  = 20 * time.Second
	lateEvery = 50 * time.Millisecond
)

// lateCrashed are the numbers of replicas that crash at the same time: what a share of 0.3 is on the bench.
var lateCrashed = []int{3, 2, 2}

// lateOrder is an order to load weights.
type lateOrder struct {
	Op      string  `json:"op"`
	Model   string  `json:"model"`
	Version int     `json:"version"`
	Mode    string  `json:"mode"`
	Holder  string  `json:"holder"`
	Fence   *int    `json:"fence"`
	Expect  *uint64 `json:"expect"`
}

// lateState is what a replica says of itself.
type lateState struct {
	Version  int
	Busy     bool
	Sequence uint64
	Born     int64
}

// lateReplica is a replica that loads weights on orders.
type lateReplica struct {
	s      *site
	number int

	mu      sync.Mutex
	now     lateState
	history []lateState
	since   []time.Time
	down    bool
	server  *http.Server
	// boot grows with each start; a load of an earlier one has no effect.
	boot   int
	stamps int
}

func (r *lateReplica) id() string { return fmt.Sprintf("i-%08d", r.number+1) }

// set changes the state; r.mu must be held.
func (r *lateReplica) set(change func(*lateState)) {
	change(&r.now)
	r.history, r.since = append(r.history, r.now), append(r.since, time.Now())
}

// said returns the state as of some time ago.
func (r *lateReplica) said() lateState {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.history) - 1; i > 0; i-- {
		if time.Since(r.since[i]) >= lateLag {
			return r.history[i]
		}
	}
	return r.history[0]
}

// carryOut handles an order as PROTOCOL.md tells and returns the status.
func (r *lateReplica) carryOut(o lateOrder, named int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return 0
	case o.Op != "version" || o.Holder == "" || o.Fence == nil || o.Version < 1 || o.Version > named:
		return http.StatusBadRequest
	case r.now.Busy:
		return http.StatusConflict
	case o.Version == r.now.Version:
		return http.StatusOK
	case o.Expect != nil && *o.Expect != r.now.Sequence:
		return http.StatusConflict
	}
	r.set(func(s *lateState) { s.Busy = true; s.Sequence++ })
	boot := r.boot
	time.AfterFunc(lateLoad, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if boot != r.boot {
			return
		}
		r.set(func(s *lateState) { s.Busy = false; s.Version = o.Version })
		r.s.logf("%s has loaded version %d", r.id(), o.Version)
	})
	return http.StatusAccepted
}

// listen starts the replica, at first or again.
func (r *lateReplica) listen(handler http.Handler) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", replicaIP(r.number), r.s.ports.replica))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.server = false, &http.Server{Handler: handler}
	r.boot++
	r.set(func(s *lateState) { s.Busy, s.Sequence, s.Born = false, 0, time.Now().UnixMilli() })
	go func(server *http.Server) { _ = server.Serve(l) }(r.server)
	return nil
}

// crash ends the replica with its connections.
func (r *lateReplica) crash() {
	r.mu.Lock()
	r.down = true
	r.boot++
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// lateCase is a run of the case.
type lateCase struct {
	s        *site
	replicas []*lateReplica

	mu sync.Mutex
	// named is the newest version that operators have named.
	named     int
	lateUntil time.Time
	orders    int
	statuses  map[string]int
}

func (c *lateCase) handler(r *lateReplica) http.Handler {
	mux := http.NewServeMux()
	wrong := func(w http.ResponseWriter, h http.Header) bool {
		if expected := h.Get("Chicoryrelay-Expect-Instance"); expected != "" && expected != r.id() {
			w.Header().Set("Chicoryrelay-Not-Executed", "1")
			w.Header().Set("Chicoryrelay-Replica-Id", r.id())
			w.WriteHeader(http.StatusMisdirectedRequest)
			return true
		}
		return false
	}
	answer := func(w http.ResponseWriter, value any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, q *http.Request) {
		if wrong(w, q.Header) {
			return
		}
		said := r.said()
		answer(w, map[string]any{
			"stage": "unified", "models": lateModels(said), "busy": said.Busy, "sequence": said.Sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 81468, "handles": 0, "runs": []any{}, "born": said.Born,
		})
	})
	mux.HandleFunc("GET /kv-events", func(w http.ResponseWriter, q *http.Request) {
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		born := r.said().Born
		answer(w, map[string]any{"bootEpoch": born, "next": 0, "lost": false, "events": []any{}, "born": born})
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Chicoryrelay-Replica-Id", r.id())
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, q *http.Request) {
		if wrong(w, q.Header) {
			return
		}
		var o lateOrder
		if body, err := io.ReadAll(q.Body); err != nil || json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		late := false
		if time.Now().Before(c.lateUntil) {
			c.orders++
			late = c.orders%2 == 0
		}
		named := c.named
		c.mu.Unlock()
		if late {
			c.s.logf("%s gets an order for version %d behind %d, which will be late", r.id(), o.Version, *o.Expect)
			time.AfterFunc(lateDelay, func() {
				status := r.carryOut(o, c.newest())
				c.s.logf("%s carries out the late order for version %d behind %d: %d", r.id(), o.Version, *o.Expect, status)
			})
			<-q.Context().Done()
			return
		}
		status := r.carryOut(o, named)
		c.s.logf("%s gets an order for version %d behind %d: %d", r.id(), o.Version, *o.Expect, status)
		w.WriteHeader(status)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		if wrong(w, q.Header) {
			return
		}
		r.mu.Lock()
		now := r.now
		r.stamps++
		stamp := fmt.Sprintf("3e1b.%02d.%d", r.number, r.stamps)
		r.mu.Unlock()
		h := w.Header()
		h.Set("Chicoryrelay-Replica-Id", r.id())
		h.Set("Chicoryrelay-Attempt-Id", q.Header.Get("Chicoryrelay-Attempt-Id"))
		switch expected := q.Header.Get("Chicoryrelay-Expect-Version"); {
		case now.Busy:
			h.Set("Chicoryrelay-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case expected != "" && expected != strconv.Itoa(now.Version):
			c.s.logf("%s at version %d does not run %s, which expects %s", r.id(), now.Version, q.Header.Get("Chicoryrelay-Attempt-Id"), expected)
			h.Set("Chicoryrelay-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c.s.logf("%s at version %d runs %s", r.id(), now.Version, q.Header.Get("Chicoryrelay-Attempt-Id"))
		h.Set("Chicoryrelay-Response-Stamp", stamp)
		h.Set("Chicoryrelay-Weight-Versions", strconv.Itoa(now.Version))
		h.Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= 3 && q.Context().Err() == nil; n++ {
			fmt.Fprintf(w, "id: %d\ndata: t\n\n", n)
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	return mux
}

func lateModels(said lateState) any {
	return []map[string]any{{"name": "m", "version": said.Version, "adapters": []string{}}}
}

// versions returns the version of each replica.
func (c *lateCase) versions() (list []int) {
	for _, r := range c.replicas {
		r.mu.Lock()
		list = append(list, r.now.Version)
		r.mu.Unlock()
	}
	return list
}

// newest returns the newest version that was named.
func (c *lateCase) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.named
}

// older returns the number of replicas with an older version than the newest one.
func (c *lateCase) older() (n int) {
	for _, version := range c.versions() {
		if version < c.newest() {
			n++
		}
	}
	return n
}

func (c *lateCase) name(ctx context.Context, version int) error {
	c.mu.Lock()
	c.named = version
	c.mu.Unlock()
	_, err := c.s.operate(ctx, http.MethodPost, "/version-put", fmt.Appendf(nil, `{"model":"m","version":%d}`, version))
	c.s.logf("version %d is named: %v", version, err)
	return err
}

// ask sends a request to a front.
func (c *lateCase) ask(n int) {
	id := fmt.Sprintf("ask-%05d", n)
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/ask/1", boundIP(frontIP(n%lateFronts)), c.s.ports.front), strings.NewReader("prompt of "+id))
	request.Host = "llm.example"
	for name, value := range map[string]string{
		"Chicoryrelay-Attempt-Id": id, "Chicoryrelay-Model": "m", "Chicoryrelay-Token-Count": "628,48", "Chicoryrelay-Deadline-Ms": "15000",
		"Chicoryrelay-Prompt-Prefix": fmt.Sprintf("%08x:628", n+1), "Chicoryrelay-Key": "key-of-ta",
	} {
		request.Header.Set(name, value)
	}
	status := "no answer"
	if response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}).Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status = strconv.Itoa(response.StatusCode)
	}
	c.mu.Lock()
	c.statuses[status]++
	c.mu.Unlock()
}

// late lets replicas start again under their IDs while orders to them are late; with ONLY=late or ONLY=crash only one of the two happens.
func late(s *site, trouble bool) (bool, error) {
	lateOrders, crashes := trouble, trouble
	switch os.Getenv("ONLY") {
	case "late":
		crashes = false
	case "crash":
		lateOrders = false
	}
	c := &lateCase{s: s, named: 1, statuses: map[string]int{}}
	for i := range lateReplicas {
		r := &lateReplica{s: s, number: i, now: lateState{Version: 1}}
		c.replicas = append(c.replicas, r)
		if err := r.listen(c.handler(r)); err != nil {
			return false, err
		}
	}
	list := http.NewServeMux()
	list.HandleFunc("GET /replicas", func(w http.ResponseWriter, q *http.Request) {
		var instances []map[string]any
		for _, r := range c.replicas {
			said := r.said()
			instances = append(instances, map[string]any{
				"id": r.id(), "service": "llm", "address": fmt.Sprintf("%s:%d", replicaIP(r.number), s.ports.replica), "zone": "zone-a", "version": "v1",
				"slots": 96, "state": "ready", "coldRemainingMs": 0, "stage": "unified", "models": lateModels(said), "born": said.Born,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
	})
	go serve(fmt.Sprintf("%s:%d", platformIP, s.ports.platform), list)
	if err := s.startControls("zone-a", "zone-a", "zone-b"); err != nil {
		return false, err
	}
	for i := range lateFronts {
		if _, err := s.startFront(i, "zone-a"); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if _, err := s.operate(ctx, http.MethodPost, "/Config.Replace", softwareState(1)); err != nil {
		return false, err
	}
	for i := range lateFronts {
		if err := s.awaitReady(i); err != nil {
			return false, err
		}
	}
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; traffic.Err() == nil; n++ {
			group.Go(func() { c.ask(n) })
			time.Sleep(lateEvery)
		}
	})
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if lateOrders {
		c.mu.Lock()
		c.lateUntil = begin.Add(lateWindow)
		c.mu.Unlock()
	}
	time.Sleep(500 * time.Millisecond)
	if err := c.name(ctx, 2); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begin.Add(lateWindow)))
	s.logf("orders are not late any more; versions %v", c.versions())
	if err := c.name(ctx, 3); err != nil {
		return false, err
	}
	for end := time.Now().Add(8 * time.Second); c.older() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	s.logf("versions %v", c.versions())
	if c.older() > 0 {
		return false, fmt.Errorf("%w: version 3 is not in place", errNoRun)
	}
	// The control machines learn that it is in place.
	time.Sleep(500 * time.Millisecond)
	next, crashedAt := 0, time.Now()
	for _, count := range lateCrashed {
		if !crashes {
			break
		}
		crashed := c.replicas[next : next+count]
		next += count
		for _, r := range crashed {
			s.logf("%s crashes", r.id())
			r.crash()
		}
		time.Sleep(lateDown)
		for _, r := range crashed {
			if err := r.listen(c.handler(r)); err != nil {
				return false, err
			}
			s.logf("%s is back under its ID", r.id())
		}
		crashedAt = crashedAt.Add(lateBetween)
		time.Sleep(time.Until(crashedAt))
	}
	time.Sleep(time.Until(begin.Add(lateWindow + lateDelay)))
	s.logf("all late orders have come; versions %v", c.versions())
	time.Sleep(lateCalm)
	endTraffic()
	group.Wait()
	older := c.older()
	text := fmt.Sprintf("%d replicas crashed in turn; at the end of the traffic, versions %v: %d of %d have an older one; statuses %v", next, c.versions(), older, lateReplicas, c.statuses)
	s.logf("%s", text)
	fmt.Println(text)
	return older <= 1 || older*10 <= lateReplicas, nil
}
