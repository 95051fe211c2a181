package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of the case, from the begin of the cut: when the list shows the replicas of the new version, when streams begin, and when one
// front is killed.
const (
	softwareLead   = 3 * time.Second
	softwareJoin   = 100 * time.Millisecond
	softwareBegin  = 1000 * time.Millisecond
	softwareKill   = 1500 * time.Millisecond
	softwareCut    = 5 * time.Second
	softwareTail   = 3 * time.Second
	softwareEvents = 48
	softwarePause  = 25 * time.Millisecond
	// softwareStreams begin at the front that is killed.
	softwareStreams = 150
)

func softwareState(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"llm.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":400,"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":250}],`+
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":81468,"tokenKvBytes":262144,"linkMbps":550000.0,"moves":false,"backups":false,"stride":4,"maxConcurrency":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"ta","apiKeys":["key-of-ta"],"priority":1,"isolated":false}]}`, version)
}

// caller is a client with one stream.
type caller struct {
	s      *site
	number int
	// last is the ID of the last event, made has the software of each event in order, tries the statuses.
	last  int
	made  []string
	tries []string
	first string
}

// ask sends one attempt to a front and reports whether the stream is complete.
func (c *caller) ask(try, front int) (complete bool, wait time.Duration) {
	id := fmt.Sprintf("st-%03d-%d", c.number, try)
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/ask/1", boundIP(frontIP(front)), c.s.ports.front), bytes.NewReader([]byte("prompt of "+strconv.Itoa(c.number))))
	request.Host = "llm.example"
	for name, value := range map[string]string{
		"Chicoryrelay-Attempt-Id": id, "Chicoryrelay-Model": "m", "Chicoryrelay-Token-Count": "628,48", "Chicoryrelay-Deadline-Ms": "15000",
		"Chicoryrelay-Prompt-Prefix": fmt.Sprintf("%08x:628", c.number+1), "Chicoryrelay-Key": "key-of-ta",
	} {
		request.Header.Set(name, value)
	}
	if c.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
		request.Header.Set("Resumes", c.first)
	}
	c.s.logf("stream %d: attempt %s is sent to front-%d behind event %d", c.number, id, front+1, c.last)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}).Do(request)
	if err != nil {
		c.tries = append(c.tries, "no answer")
		return false, 0
	}
	defer response.Body.Close()
	c.tries = append(c.tries, strconv.Itoa(response.StatusCode))
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return false, time.Duration(seconds * float64(time.Second))
	}
	scanner := bufio.NewScanner(response.Body)
	event := 0
	for scanner.Scan() {
		if text, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			event, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			if c.first == "" {
				c.first = id
			}
			c.last = event
			c.made = append(c.made, text)
		}
	}
	return scanner.Err() == nil && c.last == softwareEvents, 0
}

// versions returns the software versions of the stream's events.
func (c *caller) versions() string {
	var list []string
	for _, software := range c.made {
		if len(list) == 0 || list[len(list)-1] != software {
			list = append(list, software)
		}
	}
	return strings.Join(list, ",")
}

// software cuts a data centre off while replicas of a new software version join, and kills a front at which streams have begun there.
func software(s *site, trouble bool) (bool, error) {
	joined := atomic.Bool{}
	e := &engines{s: s, service: "llm", count: 8, events: softwareEvents, pause: softwarePause, software: []string{"v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"}}
	e.onRequest = func(replica int, h http.Header) {
		go s.logf("%s (%s) runs %s behind event %q", e.id(replica), e.software[replica], h.Get("Chicoryrelay-Attempt-Id"), h.Get("Last-Event-Id"))
	}
	e.listed = func() (list []replica) {
		for _, software := range e.software {
			if software == "v1" || joined.Load() {
				list = append(list, replica{software})
			}
		}
		return list
	}
	e.start()
	if err := s.startControls("zone-a", "zone-a", "zone-b"); err != nil {
		return false, err
	}
	fronts := []string{"zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-b"}
	killed, err := s.startFront(0, fronts[0])
	if err != nil {
		return false, err
	}
	for i := 1; i < len(fronts); i++ {
		if _, err := s.startFront(i, fronts[i]); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if _, err := s.operate(ctx, http.MethodPost, "/Config.Replace", softwareState(1)); err != nil {
		return false, err
	}
	for i := range fronts {
		if err := s.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(softwareLead)
	if err := s.moveLead(2); err != nil {
		return false, err
	}
	begin := time.Now()
	if trouble {
		s.network.cut(s.name(controlIP(2)), s.name(frontIP(6)), s.name(frontIP(7)))
		s.logf("cut: core-3, front-7 and front-8 (zone-b) reach the others no more; core-%d leads", s.leader()+1)
	}
	time.Sleep(time.Until(begin.Add(softwareJoin)))
	joined.Store(true)
	s.logf("the list shows four replicas of v2 beside four of v1")
	time.Sleep(time.Until(begin.Add(softwareBegin)))
	callers := make([]*caller, softwareStreams)
	var group sync.WaitGroup
	for i := range callers {
		c := &caller{s: s, number: i}
		callers[i] = c
		group.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			front := 0
			for try := range 4 {
				complete, wait := c.ask(try, front)
				if complete {
					return
				}
				// Retries reach other nodes.
				front = 6 + (i+try)%2
				time.Sleep(wait)
			}
		})
	}
	time.Sleep(time.Until(begin.Add(softwareKill)))
	_ = killed.Process.Signal(syscall.SIGKILL)
	s.logf("front-1 is killed")
	time.Sleep(time.Until(begin.Add(softwareCut)))
	s.network.cut()
	s.logf("the cut has ended")
	group.Wait()
	mixed, begun, whole := 0, 0, 0
	for _, c := range callers {
		if strings.HasPrefix(c.versions(), "v2") {
			begun++
		}
		if c.last == softwareEvents {
			whole++
		}
		verdict := ""
		if strings.Contains(c.versions(), ",") {
			mixed++
			verdict = " BROKEN"
		}
		s.logf("stream %d: answers %v, %d events of %s%s", c.number, c.tries, len(c.made), c.versions(), verdict)
	}
	text := fmt.Sprintf("%d streams, %d whole, %d begun at v2, %d of two versions", len(callers), whole, begun, mixed)
	s.logf("%s", text)
	fmt.Println(text)
	if begun < 6 {
		return false, fmt.Errorf("%w: too few streams began at v2", errNoRun)
	}
	// "More than two streams hold events from replicas of two software versions".
	return mixed <= 2, nil
}
