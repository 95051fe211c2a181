package kv

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/standin/answer"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Key identifies an entry; the salt identifies the client account.
type Key struct {
	Salt string
	engine.Version
	// Hash is the hash of the longest prefix in the entry.
	Hash uint64
}

// KeyOf returns the key of a bundle, and false if the bundle has no blocks.
func KeyOf(bundle engine.Bundle) (Key, bool) {
	if len(bundle.Chain) == 0 {
		return Key{}, false
	}
	return Key{Salt: bundle.Salt, Version: bundle.Version, Hash: bundle.Chain[len(bundle.Chain)-1]}, true
}

// Store keeps a limited number of entries and evicts the one first saved longest ago; it is safe for concurrent use.
type Store struct {
	limit   int
	mutex   sync.Mutex
	entries map[Key]engine.Bundle
	order   []Key
}

// New returns a store of at most limit entries.
func New(limit int) *Store { return &Store{limit: limit, entries: map[Key]engine.Bundle{}} }

// Put stores a bundle under its own key and reports whether it has one.
func (s *Store) Put(bundle engine.Bundle) bool {
	key, ok := KeyOf(bundle)
	if !ok {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.entries[key]; !known {
		s.order = append(s.order, key)
	}
	s.entries[key] = bundle
	for len(s.order) > s.limit {
		delete(s.entries, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// Get returns the entry with exactly this key.
func (s *Store) Get(key Key) (engine.Bundle, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bundle, ok := s.entries[key]
	return bundle, ok
}

// maxBody limits a bundle in bytes.
const maxBody = 16 << 20

// Handler serves PUT and GET /kv/{hash} and GET /healthz; the query has the rest of the key: salt, model, adapter and weights.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/kv/{hash:[0-9]+}", s.put).Methods(http.MethodPut)
	router.HandleFunc("/kv/{hash:[0-9]+}", s.get).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer.Write(w, http.StatusOK, map[string]any{})
	}).Methods(http.MethodGet)
	return router
}

// requestKey returns the key in a request's path and query.
func requestKey(r *http.Request, query url.Values) (Key, error) {
	hash, err := strconv.ParseUint(mux.Vars(r)["hash"], 10, 64)
	version := engine.Version{Model: query.Get("model"), Adapter: query.Get("adapter"), Weights: query.Get("weights")}
	return Key{Salt: query.Get("salt"), Version: version, Hash: hash}, err
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var bundle engine.Bundle
	err := answer.Read(w, r, maxBody, &bundle)
	requested, keyErr := requestKey(r, r.URL.Query())
	if err != nil || keyErr != nil {
		answer.Refuse(w, http.StatusBadRequest, "body", "send a bundle as an engine exports it, under the hash of its longest prefix")
		return
	}
	if own, ok := KeyOf(bundle); !ok || own != requested {
		answer.Refuse(w, http.StatusConflict, "key", "the bundle belongs to another key; save it under its own salt, model, adapter, weights and hash")
		return
	}
	s.Put(bundle)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key, err := requestKey(r, r.URL.Query())
	bundle, ok := s.Get(key)
	if err != nil || !ok {
		answer.Refuse(w, http.StatusNotFound, "not_found", "no entry is saved under this key; compute the prefix instead")
		return
	}
	answer.Write(w, http.StatusOK, bundle)
}
