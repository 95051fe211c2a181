package outcome

import "net/http"

// PromisesNotRun reports whether a status tells a caller that its request has not run and never will, so that it may be sent again
// even if it must not run twice.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
