package main

import (
	"slices"
	"sync"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

// effectiveUpstreams configures the dispatcher with the weights and software version that each engine reports, instead of the configured ones.
type effectiveUpstreams struct {
	d *dispatch.Dispatcher

	mu        sync.Mutex
	current   *catalogue.Catalogue
	reports   map[string]order.Report
	published []catalogue.Upstream
}

func newEffectiveUpstreams(d *dispatch.Dispatcher) *effectiveUpstreams {
	return &effectiveUpstreams{d: d, reports: map[string]order.Report{}}
}

// configure replaces the configuration and publishes its upstreams.
func (e *effectiveUpstreams) configure(c *catalogue.Catalogue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current, e.published = c, nil
	e.publish()
}

// receiveReport publishes a load report. Reports can arrive out of order; one older than the last is dropped.
func (e *effectiveUpstreams) receiveReport(report order.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous, known := e.reports[report.Upstream]
	if known && previous.Address == report.Address && report.MadeAt < previous.MadeAt {
		return
	}
	e.reports[report.Upstream] = report
	e.publish()
}

// publish configures the dispatcher if the effective upstreams have changed. The caller must hold mu.
func (e *effectiveUpstreams) publish() {
	if e.current == nil {
		return
	}
	upstreams := order.Effective(e.current.Upstreams, e.reports)
	if e.published != nil && slices.Equal(upstreams, e.published) {
		return
	}
	c := *e.current
	c.Upstreams, e.published = upstreams, upstreams
	e.d.Configure(&c)
}
