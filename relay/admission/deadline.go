package admission

import "time"

// estimateFactor scales the estimate before work is refused: estimates err, and an unneeded refusal costs the caller the answer.
const estimateFactor = 0.6

// MissesDeadline reports whether an answer that is expected to take the given time would come after the deadline; 0 means no
// deadline.
func MissesDeadline(now, deadline, expected time.Duration) bool {
	return deadline > 0 && now+time.Duration(estimateFactor*float64(expected)) > deadline
}
