package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Progress is the state of one text request in progress.
type Progress struct {
	Request   string
	Account   string
	Assistant string
	// Upstream is the name of the upstream that answers; empty until the first event arrives.
	Upstream string
	Tokens   uint64
	Age      time.Duration
	Resumes  uint64
}

// progressList lists the text requests in progress; each session updates its own entry.
type progressList struct {
	mu      sync.Mutex
	entries map[string]Progress
	started map[string]time.Time
}

func newProgress() *progressList {
	return &progressList{entries: map[string]Progress{}, started: map[string]time.Time{}}
}

func (p *progressList) add(entry Progress, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[entry.Request], p.started[entry.Request] = entry, at
}

// setUpstream records the upstream of a new attempt.
func (p *progressList) setUpstream(request, upstream string, tokens, resumes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[request]
	entry.Upstream, entry.Tokens, entry.Resumes = upstream, tokens, resumes
	p.entries[request] = entry
}

func (p *progressList) remove(request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, request)
	delete(p.started, request)
}

// InProgress returns the text requests in progress, oldest first. Tokens counts those delivered before the present attempt.
func (g *Gateway) InProgress() []Progress {
	p := g.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Progress, 0, len(p.entries))
	for request, entry := range p.entries {
		entry.Age = g.now().Sub(p.started[request])
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b Progress) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Request, b.Request)) })
	return list
}
