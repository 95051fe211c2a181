package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/standin/answer"
)

// chunkBytes is the number of bytes that one reader gets before the next reader is served.
const chunkBytes = 64 << 10

// Limiter limits the total rate of all readers; unused time is not saved for a later burst. It is safe for concurrent use.
type Limiter struct {
	rate   float64
	mutex  sync.Mutex
	freeAt time.Duration
}

// NewLimiter returns a limiter with a rate in bytes per second.
func NewLimiter(rate float64) *Limiter { return &Limiter{rate: rate} }

// Reserve reserves the next slot for a number of bytes and returns the time at which their read is complete.
func (l *Limiter) Reserve(now time.Duration, bytes int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.freeAt = max(l.freeAt, now) + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	return l.freeAt
}

// Store serves weights, all zero bytes, for any model and version.
type Store struct {
	limiter *Limiter
	size    int
	started time.Time
}

// New returns a store whose weights have the given size in bytes and whose readers share a rate in bytes per second.
func New(size int, rate float64) *Store {
	return &Store{limiter: NewLimiter(rate), size: size, started: time.Now()}
}

// Handler serves GET /weights/{model}/{version} and GET /healthz.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/weights/{model}/{version}", s.read).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer.Write(w, http.StatusOK, map[string]any{})
	}).Methods(http.MethodGet)
	return router
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	buffer := make([]byte, chunkBytes)
	for remaining := s.size; remaining > 0; remaining -= chunkBytes {
		n := min(remaining, chunkBytes)
		done := s.limiter.Reserve(time.Since(s.started), n)
		timer := time.NewTimer(done - time.Since(s.started))
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return
		}
	}
}
