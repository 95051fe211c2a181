package admission

import "time"

// estimateFactor scales the estimate before work is refused: estimates err, and an unneeded refusal costs the caller the answer.
const estimateFactor = 0.6

// Late reports whether an answer that is expected to take the given time would miss the deadline; a deadline of 0 means none.
func Late(now, deadline, expected time.Duration) bool {
	return deadline > 0 && now+time.Duration(estimateFactor*float64(expected)) > deadline
}
