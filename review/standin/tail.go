package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// tail: an operator sends a document that can't be read in full, since the end of an older one follows it. It must be refused.
func tail(s *site) bool {
	s.boot(1)
	tenants := []map[string]any{{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a-0001"}, "isolated": false}}
	s.operate("/Config.Replace", state(3, true, 2, tenants))
	s.awaitReady()
	body, _ := json.Marshal(state(5, true, 2, tenants))
	if trouble() {
		body = append(body, `}]}`...)
	}
	if json.Valid(body) == trouble() {
		s.fail("the document isn't what the case needs")
	}
	broken := false
	for i := range 3 {
		response, err := s.client.Post(fmt.Sprintf("http://%s:%d/Config.Replace", s.control(i), controlPort), "application/json", bytes.NewReader(body))
		if err != nil {
			s.fail(err.Error())
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.record.add("operator: %s is answered %d %s", body, response.StatusCode, text)
		if trouble() && response.StatusCode == http.StatusOK {
			broken = true
			s.record.add("CONFIG: a document that can't be read in full is acknowledged")
		}
		if !trouble() && response.StatusCode != http.StatusOK {
			s.fail("a valid desired state was refused")
		}
	}
	time.Sleep(4 * time.Second)
	for i := range 3 {
		response, err := s.client.Get(fmt.Sprintf("http://%s:%d/Config.Read", s.control(i), controlPort))
		if err != nil {
			s.fail(err.Error())
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.record.add("operator: the desired state is read back, %d, valid JSON: %v: %s", response.StatusCode, json.Valid(text), text)
		if response.StatusCode == http.StatusOK && !json.Valid(text) {
			broken = true
			s.record.add("CONFIG: an invalid document is in force")
		}
	}
	return broken
}
