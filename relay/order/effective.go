package order

import (
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Effective returns the upstreams as requests may use them: an engine receives requests for the model and software version that it reports, not for
// the configured ones, and none while it loads. Reports are keyed by upstream name; an engine without a report is used as configured.
func Effective(upstreams []catalogue.Upstream, reports map[string]Report) []catalogue.Upstream {
	effective := make([]catalogue.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		report, ok := reports[u.Name]
		if ok && u.Kind == catalogue.Engine && report.Address == u.Address {
			if report.Version.Model != "" && report.Version.Weights != "" {
				u.Model, u.Adapter, u.Weights = report.Version.Model, report.Version.Adapter, report.Version.Weights
			}
			if report.Software != "" && catalogue.ValidSoftware(report.Software) {
				u.Software = report.Software
			}
			if report.Loading {
				u.State = catalogue.Draining
			}
		}
		effective = append(effective, u)
	}
	return effective
}
