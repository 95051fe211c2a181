package quarantine

import "time"

const (
	// maxAnswers is the number of parts after which the older half of answers is dropped.
	maxAnswers = 4096
	// answersLifetime is the time after which they are dropped in any case: no sooner than a suspicion that one of them refutes.
	answersLifetime = requestLifetime
)

// answers has the times at which parts were last answered, in two generations, of which the older one is dropped as a whole: after
// answersLifetime, or sooner if there are many. The zero value is ready to use.
type answers struct {
	recent, older map[uint64]time.Duration
	since         time.Duration
}

func (a *answers) add(now time.Duration, part uint64) {
	if a.recent == nil || len(a.recent) >= maxAnswers/2 || now-a.since >= answersLifetime {
		a.recent, a.older, a.since = map[uint64]time.Duration{}, a.recent, now
	}
	a.recent[part] = now
}

// last returns when a part was last answered, as far as it is known.
func (a *answers) last(part uint64) (time.Duration, bool) {
	if at, ok := a.recent[part]; ok {
		return at, true
	}
	at, ok := a.older[part]
	return at, ok
}
