package main

import (
	"slices"
	"sync"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

// effective tells the dispatcher which version each engine serves: the reported one, whatever the configuration says.
type effective struct {
	d *dispatch.Dispatcher

	mu      sync.Mutex
	current *catalogue.Catalogue
	reports map[string]order.Report
	told    []catalogue.Upstream
}

func newEffective(d *dispatch.Dispatcher) *effective {
	return &effective{d: d, reports: map[string]order.Report{}}
}

// configure takes a newly installed configuration.
func (e *effective) configure(c *catalogue.Catalogue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current, e.told = c, nil
	e.tell()
}

// hear takes a load report; reports can cross on the way, and the one that was made later counts.
func (e *effective) hear(report order.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.reports[report.Upstream]
	if known && last.Address == report.Address && report.MadeAt < last.MadeAt {
		return
	}
	e.reports[report.Upstream] = report
	e.tell()
}

// tell hands the set on if it differs from the last one.
func (e *effective) tell() {
	if e.current == nil {
		return
	}
	upstreams := order.Effective(e.current.Upstreams, e.reports)
	if e.told != nil && slices.Equal(upstreams, e.told) {
		return
	}
	c := *e.current
	c.Upstreams, e.told = upstreams, upstreams
	e.d.Configure(&c)
}
