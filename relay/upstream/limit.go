package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

const (
	// maxHeadBytes limits the headers of a response, with those of the interim responses before it, so that an upstream in trouble can't
	// occupy this VM's memory with a header that never ends. A short line takes twenty times its length in memory.
	maxHeadBytes = 16 << 10
	// maxInterimResponses limits the interim (1xx) responses that are skipped before a response.
	maxInterimResponses = 8
)

// ErrResponseTooLarge means that a response exceeds the limits of its header and body.
var ErrResponseTooLarge = errors.New("upstream sent more bytes than a response may have; check what answers at its address")

// limitedReader reads at most left bytes and returns ErrResponseTooLarge afterwards. Unlike io.LimitReader it does not return io.EOF
// there, which would make a response without a length look complete.
type limitedReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := r.from.Read(into[:min(int64(len(into)), r.left)])
	r.left -= int64(n)
	return n, err
}

// readLimitedResponse reads the header of a response from a connection, and skips interim responses before it. The body may have limit
// bytes with its framing.
func readLimitedResponse(from io.Reader, limit int64, request *http.Request) (*http.Response, error) {
	limited := &limitedReader{from, maxHeadBytes}
	reader := bufio.NewReader(limited)
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(reader, request)
		if err != nil && limited.left <= 0 {
			// The parser reports a malformed line instead if the limit cuts one.
			return nil, ErrResponseTooLarge
		}
		if err != nil {
			return nil, err
		}
		if err := connection.CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			limited.left = limit
			return response, nil
		}
	}
	return nil, fmt.Errorf("upstream sent more than %d interim responses; check what answers at its address", maxInterimResponses)
}
