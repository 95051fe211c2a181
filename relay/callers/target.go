package callers

import (
	"net/http"
	"strings"
)

// Target returns the path and query of a request as its client wrote them, also from a target with scheme and host. Those of the
// request's URL are parsed, and may be escaped in another way.
func Target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, rest, ok := strings.Cut(r.RequestURI, ":")
	if !ok || !strings.HasPrefix(rest, "/") {
		return r.URL.RequestURI()
	}
	host, ok := strings.CutPrefix(rest, "//")
	if !ok {
		return rest
	}
	target := strings.TrimLeftFunc(host, func(c rune) bool { return c != '/' && c != '?' })
	if !strings.HasPrefix(target, "/") {
		return "/" + target
	}
	return target
}
