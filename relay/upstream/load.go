package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// maxReportBytes and maxListBytes limit the size of a load report and of the platform's list.
const (
	maxReportBytes = 64 << 10
	maxListBytes   = 1 << 20
)

// LeavingState is the state in the platform's list of a VM that will be shut down.
const LeavingState = "leaving"

// LoadReport is an upstream's load report; it lags behind the actual load.
type LoadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Adapter     string `json:"adapter"`
	Weights     string `json:"weights"`
	Software    string `json:"software"`
	Slots       int    `json:"slots"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// QueuedTokens is the number of prompt tokens whose prefill is outstanding.
	QueuedTokens int  `json:"queued"`
	Leaving      bool `json:"leaving"`
	// Loading is set while the engine loads a version and accepts no requests.
	Loading bool   `json:"loading"`
	Role    string `json:"role"`
	// Fencing is the highest fencing number that the engine has received.
	Fencing uint64 `json:"fencing"`
	// Age is the age of the reported values in milliseconds.
	Age int64 `json:"age_ms"`
}

// Member is an entry of the platform's list of VMs.
type Member struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"`
}

// Load fetches an upstream's load report and records whether the upstream is leaving.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (LoadReport, error) {
	var load LoadReport
	if err := c.permit(address); err != nil {
		return load, err
	}
	header, err := c.get(ctx, address, "/load", maxReportBytes, &load)
	if err == nil {
		load.Leaving = load.Leaving || header.Get(leavingHeader) == "1"
		c.setLeaving(address, load.Leaving)
	}
	return load, err
}

// List fetches the platform's list of live and leaving VMs and records which are leaving. An entry that names no VM is left out.
func (c *Client) List(ctx context.Context, address netip.AddrPort) ([]Member, error) {
	var entries *[]json.RawMessage
	if _, err := c.get(ctx, address, "/list", maxListBytes, &entries); err != nil {
		return nil, err
	}
	if entries == nil {
		return nil, oops.With("address", address).Errorf("read /list: null instead of a list")
	}
	members := decodeMembers(*entries)
	leaving := map[netip.AddrPort]bool{}
	for _, member := range members {
		leaving[member.Address] = member.State == LeavingState
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedLeaving = leaving
	return members, nil
}

// decodeMembers returns the VMs of the entries that name one.
func decodeMembers(entries []json.RawMessage) []Member {
	var members []Member
	for _, entry := range entries {
		var member Member
		if syntax.Unmarshal(entry, &member) == nil && member.Name != "" && member.Address.IsValid() && member.State != "" {
			members = append(members, member)
		}
	}
	return members
}

// get reads a JSON document of at most limit bytes and returns the header of its response.
func (c *Client) get(ctx context.Context, address netip.AddrPort, path string, limit int64, into any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.roundTrip(address, request)
	if err != nil {
		if ctx.Err() != nil {
			// If this connection timed out, the idle connections to the upstream may be broken too.
			c.CloseIdle(address)
		}
		return nil, oops.With("address", address).Wrapf(err, "read %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	c.observe(address, response)
	if response.StatusCode != http.StatusOK {
		return nil, oops.With("address", address).Errorf("read %s: status %d", path, response.StatusCode)
	}
	memory := c.memory.Reserve()
	defer memory.Release()
	body, err := memory.ReadAll(response.Body, limit)
	if err != nil {
		return nil, oops.With("address", address).Wrapf(err, "read %s", path)
	}
	return response.Header, syntax.Unmarshal(body, into)
}

// Poll calls read immediately and then at each interval until the context is done.
func Poll(ctx context.Context, interval time.Duration, read func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		read(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
