package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// ask sends one client attempt to an entry machine and returns the status, the number of events, and whether the answer was complete.
func (s *site) ask(front int, id, host, path, key, prompt string, tokens string) (status, events int, whole bool) {
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", s.front(front), frontPort, path), strings.NewReader("prompt of "+id))
	request.Host = host
	request.Header.Set("Chicoryrelay-Attempt-Id", id)
	request.Header.Set("Chicoryrelay-Key", key)
	request.Header.Set("Chicoryrelay-Model", "m0")
	request.Header.Set("Chicoryrelay-Token-Count", tokens)
	request.Header.Set("Chicoryrelay-Prompt-Prefix", prompt)
	request.Header.Set("Chicoryrelay-Deadline-Ms", "15000")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		s.record.add("client: %s has no answer: %v", id, err)
		return 0, 0, false
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id:") {
			events++
		}
	}
	s.record.add("client: %s is answered %d with %d events, error %v", id, response.StatusCode, events, scanner.Err())
	return response.StatusCode, events, scanner.Err() == nil
}

// state is a desired state with one streaming route.
func state(version int, resumable bool, attempts int, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-note", "host": "notes.example", "pathPrefix": "/note/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 0,
			"service": "llm", "maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gapAimMs": 250,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConnections": 480, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 96, "kvCapacity": 93888, "tokenKvBytes": 262144, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 4, "maxConcurrency": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}

// engineOf returns the engine part of the first service of a desired state.
func engineOf(state map[string]any) map[string]any {
	return state["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
}
