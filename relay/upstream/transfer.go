package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

const (
	// maxBundleBytes limits the size of an exported KV cache, which must also fit into the memory of upstreams' answers.
	maxBundleBytes = 64 << 20
	exportPath     = "/kv/export"
	importPath     = "/kv/import"
)

type exportRequest struct {
	Salt    string          `json:"salt"`
	Request json.RawMessage `json:"request"`
}

// binding identifies the account, version and incarnation for which an exported KV cache is valid.
type binding struct {
	Salt        string `json:"salt"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter"`
	Weights     string `json:"weights"`
	Incarnation uint64 `json:"incarnation"`
}

// Transfer copies the KV cache of a request's prefix from one engine to another. incarnation is the exporter's as known when the
// transfer was decided. After an error the importing engine computes the prefix itself.
func (c *Client) Transfer(ctx context.Context, from, to catalogue.Upstream, incarnation uint64, salt string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.readTimeout)
	defer cancel()
	exportBody, err := json.Marshal(exportRequest{Salt: salt, Request: body})
	if err != nil {
		return err
	}
	memory := c.memory.Reserve()
	defer memory.Release()
	bundle, err := c.post(ctx, from.Address, exportPath, exportBody, memory, maxBundleBytes)
	if err != nil {
		return oops.With("from", from.Name).Wrapf(err, "export KV cache")
	}
	if err := checkBinding(bundle, from, to, incarnation, salt); err != nil {
		return err
	}
	_, err = c.post(ctx, to.Address, importPath, bundle, memory, maxErrorBytes)
	return oops.With("to", to.Name).Wrapf(err, "import KV cache")
}

// checkBinding rejects an exported KV cache of another account, version or exporter's incarnation before it is imported.
func checkBinding(bundle []byte, from, to catalogue.Upstream, incarnation uint64, salt string) error {
	var b binding
	if err := syntax.Unmarshal(bundle, &b); err != nil {
		return oops.With("from", from.Name).Wrapf(err, "decode the exported KV cache")
	}
	switch {
	case b.Salt != salt:
		return fmt.Errorf("KV cache exported by %s has the salt of another account or version", from.Name)
	case b.Model != to.Model || b.Adapter != to.Adapter || b.Weights != to.Weights:
		return fmt.Errorf("KV cache exported by %s was computed with model, adapter and weights %s %s %s, which %s does not serve", from.Name, b.Model, b.Adapter, b.Weights, to.Name)
	case b.Incarnation != incarnation:
		return fmt.Errorf("KV cache exported by %s has incarnation %d, want %d", from.Name, b.Incarnation, incarnation)
	}
	return nil
}

// post sends a body and returns the answer's, of at most limit bytes, or a RefusedError with the start of the answer.
func (c *Client) post(ctx context.Context, address netip.AddrPort, path string, body []byte, memory *buffer.Reservation, limit int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if err := c.permit(address); err != nil {
		return nil, err
	}
	response, err := c.roundTrip(address, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	c.observe(address, response)
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, &RefusedError{Status: response.StatusCode, Body: string(text)}
	}
	return memory.ReadAll(response.Body, limit)
}
