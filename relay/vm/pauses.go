package vm

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
)

// newPool returns the pool of all connections to upstreams. What an upstream says of itself in the header of any answer, that it leaves
// or wants nothing for a while, takes effect here, whatever the answer belongs to; each request is checked before it is sent.
func newPool(st *state, pauses *pause.Registry, logger log.Interface) *connection.Pool {
	return connection.NewPool(connection.WithPermit(pauses.Permit), connection.WithObserver(func(upstream string, status int, header http.Header) {
		metadata := st.adapter.Dialect.ReadAnswer(status, header)
		if status == statusMisdirected {
			// Another upstream answers at the address.
			return
		}
		if metadata.Leaving {
			st.addDeparture(upstream)
		} else {
			st.endDeparture(upstream)
		}
		if metadata.RetryAfter > 0 {
			logger.WithFields(log.Fields{"upstream": upstream, "pause": metadata.RetryAfter}).Info("upstream paused")
			pauses.Pause(upstream, metadata.RetryAfter)
		}
	}))
}

func newPauses() *pause.Registry { return pause.New() }

// earliestEnd returns the time until the first of the upstreams accepts requests again, if all that don't leave are paused.
func earliestEnd(upstreams []*directory.Upstream, pauses *pause.Registry) time.Duration {
	var first time.Time
	for _, u := range upstreams {
		if u.Leaving {
			continue
		}
		until := pauses.Until(u.ID)
		if until.IsZero() {
			return 0
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return 0
	}
	return max(0, time.Until(first))
}
