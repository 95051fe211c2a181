package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// fetchRetryInterval is the wait before a failed read of the weight store is retried.
const fetchRetryInterval = time.Second

// fetch reads the weights of a version from the store and marks them as available in the engine; it retries until it succeeds or
// the server is closed.
func (s *Server) fetch(version engine.Version) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		size, err := s.readWeights(ctx, version)
		if err == nil {
			s.logger.WithField("weights", version.Weights).WithField("bytes", size).Info("weights fetched")
			s.runner.withEngine(func(now time.Duration, e *engine.Engine) { e.Fetch(now, version) })
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.logger.WithError(err).Warn("weights not fetched")
		s.runner.clock.Sleep(fetchRetryInterval, ctx.Done())
	}
}

func (s *Server) readWeights(ctx context.Context, version engine.Version) (int64, error) {
	weightsURL := fmt.Sprintf("http://%s/weights/%s/%s", s.store, url.PathEscape(version.Model), url.PathEscape(version.Weights))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, weightsURL, nil)
	if err != nil {
		return 0, oops.Code("fetch").Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, oops.Code("fetch").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, oops.Code("fetch").Errorf("the weight store responded %s; set --store to a weight store that has %s %s", response.Status, version.Model, version.Weights)
	}
	size, err := io.Copy(io.Discard, response.Body)
	return size, oops.Code("fetch").Wrap(err)
}
