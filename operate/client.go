package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// responseTimeout exceeds the 30 s after which the relay reports a change's outcome as unknown, so that the report arrives.
const responseTimeout = 45 * time.Second

// maxResponseBytes is far above the size of any response; it limits the memory that a server at a wrong address can take.
const maxResponseBytes = 256 << 20

// commandIDHeader is the request header with a change's command ID.
const commandIDHeader = "Chicoryrelay-Command"

// statementResponse is the relay's JSON response to a statement: a query sets Columns and Rows, a change or an error the others.
type statementResponse struct {
	Columns  []string       `json:"columns"`
	Rows     [][]any        `json:"rows"`
	Outcome  string         `json:"outcome"`
	Version  uint64         `json:"version"`
	Expected uint64         `json:"expected"`
	Command  string         `json:"command"`
	Winner   *winningChange `json:"winner"`
	Message  string         `json:"message"`

	// raw is the response body as received.
	raw []byte
}

// winningChange is the change that took the expected version before the one sent here.
type winningChange struct {
	Command string `json:"command"`
	Actor   string `json:"actor"`
	Version uint64 `json:"version"`
}

var client = &http.Client{
	// No proxy and no redirects, since the operator's key must be sent to the VM only.
	Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: 3 * time.Second}).DialContext},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (p *program) sendRequest(ctx context.Context, method, path, body, command string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.address.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, exitErrorf(exitUsage, "%w", err)
	}
	r.Header.Set("Authorization", "Bearer "+p.key)
	if command != "" {
		r.Header.Set(commandIDHeader, command)
	}
	response, err := client.Do(r)
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		return nil, exitErrorf(exitRefused, "cannot connect to %s, nothing was sent: %w; give the address of another VM with --address", p.address, err)
	}
	return response, err
}

// sendStatement sends one statement; command is the command ID of a change, empty for a query.
func (p *program) sendStatement(ctx context.Context, statement, command string) (statementResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	response, err := p.sendRequest(ctx, http.MethodPost, "/statement", statement, command)
	if err != nil {
		return statementResponse{}, requestError(err, command)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return statementResponse{}, requestError(err, command)
	}
	result := statementResponse{raw: body}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber() // A float64 cannot represent every 64-bit incarnation or boot number.
	if err := decoder.Decode(&result); err != nil {
		return result, requestError(err, command)
	}
	if result.Outcome == "" && response.StatusCode >= http.StatusBadRequest {
		return result, exitErrorf(exitRefused, "refused: %s", result.Message)
	}
	return result, nil
}

// copyResponse writes the body of the VM's response to a GET of path to the output.
func (p *program) copyResponse(ctx context.Context, path string) error {
	response, err := p.sendRequest(ctx, http.MethodGet, path, "", "")
	if err != nil {
		return requestError(err, "")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16)) // A truncated error text is printed as far as it was received.
		return exitErrorf(exitRefused, "refused: %s: %s", response.Status, text)
	}
	if _, err := io.Copy(p.out, response.Body); err != nil {
		return exitErrorf(exitUnknown, "response truncated: %w; run the command again", err)
	}
	return nil
}

// requestError explains a missing or invalid response: a query can be sent again, a change may have been made. An error that
// already has an exit code is returned unchanged.
func requestError(err error, command string) error {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return err
	}
	if command == "" {
		return exitErrorf(exitUnknown, "no valid response: %w; run the command again", err)
	}
	return exitErrorf(exitUnknown, "no valid response: %w; the change may have been made: send the same statement again with --command %s", err, command)
}

// isQuery reports whether the statement only reads, so that it needs no command ID.
func isQuery(statement string) bool {
	words := strings.Fields(statement)
	return len(words) > 0 && words[0] == "show"
}

// commandID returns the command ID from the flag, else the one at the end of the statement, else a new one.
func commandID(statement, flag string) (string, error) {
	if flag != "" {
		id, err := uuid.Parse(flag)
		if err != nil {
			return "", exitErrorf(exitUsage, "--command %s is not a command ID: give the UUID that an earlier run printed", flag)
		}
		return id.String(), nil
	}
	words := strings.Fields(strings.TrimRight(statement, "; \n"))
	if n := len(words); n > 1 && words[n-2] == "command" {
		if id, err := uuid.Parse(words[n-1]); err == nil {
			return id.String(), nil
		}
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", exitErrorf(exitUsage, "cannot generate a command ID: %w; end the statement with the word command and a UUID", err)
	}
	return id.String(), nil
}
