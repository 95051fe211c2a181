package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	contactTime = 3 * time.Second
	versionTime = 8 * time.Second
)

// nodeAt returns the name of the front node that a request came from. Fronts send from 127.0.0.1 or their own address, so the attempt's
// client notes the front as well.
func (f *fleet) nodeAt(remote string) string {
	host, _, _ := net.SplitHostPort(remote)
	return host
}

// runVersion shows that a front machine which has just been added sends requests to weights that were replaced for longer than versionMs.
func runVersion(root, dir string, trouble bool) (bool, error) {
	f, err := newFleet(root, dir, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	all := &engines{f: f}
	for i, zone := range zones {
		e := newEngine(all, fmt.Sprintf("i-model%d", i+1))
		if i == 0 && trouble {
			e.late = 12 * time.Second
		}
		address, err := f.listen(e.handler())
		if err != nil {
			return false, err
		}
		f.cloud.add(map[string]any{
			"service": "llm", "address": address, "zone": zone, "version": "v1", "slots": 96, "state": "ready", "coldRemainingMs": 0,
			"stage": "unified", "id": e.id, "born": e.born,
		}, func(entry map[string]any) {
			e.mu.Lock()
			defer e.mu.Unlock()
			entry["models"] = e.models()
		})
	}
	// The third front machine is added later.
	fronts := f.byClass("front")
	added := fronts[2]
	for _, n := range f.nodes {
		if n == added {
			continue
		}
		if err := f.start(n); err != nil {
			return false, err
		}
	}
	f.bootstrap = false
	if _, err := f.order("/Config.Replace", modelState(2, true), 20*time.Second); err != nil {
		return false, err
	}
	for _, n := range fronts[:2] {
		if err := f.awaitReady(n, 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	confirmed := map[uint64]time.Time{1: f.began}
	name := func(version uint64) error {
		at, err := f.order("/version-put", map[string]any{"model": "model", "version": version}, 4*time.Second)
		if err == nil {
			confirmed[version] = at
			f.note("operator: version %d is confirmed", version)
		}
		return err
	}
	if err := name(2); err != nil {
		return false, err
	}
	began := confirmed[2]
	var wait sync.WaitGroup
	// sentBy has the front of each attempt.
	var sentBy sync.Map
	var number, served, failed atomic.Int64
	load := func(n *node, until time.Time) {
		for range 12 {
			wait.Go(func() {
				for time.Now().Before(until) {
					attempt := fmt.Sprintf("%s-%d", n.name, number.Add(1))
					sentBy.Store(attempt, n)
					if status, err := f.stream(n, attempt); status == http.StatusOK && err == nil {
						served.Add(1)
					} else {
						failed.Add(1)
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	end := began.Add(13 * time.Second)
	for _, n := range fronts[:2] {
		load(n, end)
	}
	// From four seconds on new weights are named in quick succession.
	wait.Go(func() {
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		for version := uint64(3); time.Now().Before(began.Add(11 * time.Second)); version++ {
			if err := name(version); err != nil {
				f.note("operator: version %d is not confirmed: %v", version, err)
			}
			time.Sleep(120 * time.Millisecond)
		}
	})
	time.Sleep(time.Until(began.Add(7 * time.Second)))
	if err := f.start(added); err != nil {
		return false, err
	}
	if err := f.awaitReady(added, 3*time.Second); err != nil {
		return false, err
	}
	load(added, end)
	wait.Wait()
	all.mu.Lock()
	defer all.mu.Unlock()
	broken := 0
	for _, r := range all.runs {
		value, ok := sentBy.Load(r.attempt)
		if !ok {
			return false, errors.New("a replica ran an attempt that no client sent: " + r.attempt)
		}
		n := value.(*node)
		if r.at.Before(n.startedAt.Add(contactTime)) {
			continue
		}
		// newer is the first confirmation of a newer version.
		var newer time.Time
		for version, at := range confirmed {
			if version > r.version && (newer.IsZero() || at.Before(newer)) {
				newer = at
			}
		}
		if !newer.IsZero() && r.at.After(newer.Add(versionTime)) {
			broken++
			f.note("BROKEN: attempt %s of %s began at %s on version %d, %.3f s after a newer one was confirmed", r.attempt, n.name, r.replica, r.version, r.at.Sub(newer).Seconds())
		}
	}
	f.note("%d streams served, %d not; %d began on weights that were replaced for longer than versionMs, sent by machines in touch", served.Load(), failed.Load(), broken)
	return broken > 0, nil
}

// stream sends a request for a stream with a prompt of its own on a new channel and reads the answer.
func (f *fleet) stream(n *node, attempt string) (int, error) {
	prefix := fmt.Sprintf("5c1e07a2:200,%08x:400", time.Now().UnixNano()&0xffffffff)
	return f.send(n, attempt, "prompt of "+attempt, map[string]string{"Chicoryrelay-Prompt-Prefix": prefix})
}

// read sends a request on a new channel and reads the answer to its end.
func read(r *http.Request) (int, error) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
