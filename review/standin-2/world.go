package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// cloud is the platform's list of replicas.
type cloud struct {
	address string
	mu      sync.Mutex
	entries []map[string]any
	refresh []func(entry map[string]any)
}

func newCloud(f *fleet) (*cloud, error) {
	c := &cloud{}
	listener, err := net.Listen("tcp", f.address()+":0")
	if err != nil {
		return nil, err
	}
	c.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		for i, entry := range c.entries {
			if c.refresh[i] != nil {
				c.refresh[i](entry)
			}
		}
		body, _ := json.Marshal(map[string]any{"instances": c.entries, "next": nil})
		c.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
	go func() { _ = http.Serve(listener, mux) }()
	return c, nil
}

// add lists a replica; refresh, if there is one, brings its entry up to date before each reading.
func (c *cloud) add(entry map[string]any, refresh func(map[string]any)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries, c.refresh = append(c.entries, entry), append(c.refresh, refresh)
}

// listen serves a stand-in on a loopback address of its own and returns the address.
func (f *fleet) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", f.address()+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// order sends an operator's order to the control nodes in turn until one answers it clearly, and returns the time of the confirmation.
func (f *fleet) order(path string, body any, limit time.Duration) (time.Time, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return time.Time{}, err
	}
	control := f.byClass("core")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		answer, err := client.Post("http://"+control[i%len(control)].control+path, "application/json", bytes.NewReader(encoded))
		if err == nil {
			text, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
			if answer.StatusCode < 500 {
				return time.Time{}, fmt.Errorf("%s was refused with %d: %s", path, answer.StatusCode, text)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, errors.New(path + " was not confirmed in time")
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
