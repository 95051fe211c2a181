package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
)

// Slow is a period of the replay in which each batch step of some engines takes Factor times as long.
type Slow struct {
	Engines []netip.AddrPort
	Factor  float64
	From    time.Duration
	For     time.Duration
}

func (s Slow) during(at time.Duration) bool {
	return len(s.Engines) > 0 && at >= s.From && at < s.From+s.For
}

// slowEngines injects the slowdown into the engines at its start time.
func (p *replayer) slowEngines(ctx context.Context) {
	if len(p.Slow.Engines) == 0 || !p.waitUntil(ctx, p.Slow.From) {
		return
	}
	body := fmt.Sprintf(`{"slow":%g,"for":"%s"}`, p.Slow.Factor, p.Slow.For)
	for _, address := range p.Slow.Engines {
		answer, err := client.New(1).Send(ctx, client.Request{Address: address, Method: http.MethodPost, Path: "/fault", Body: []byte(body)})
		log.WithFields(log.Fields{"engine": address, "status": answer.Status}).WithError(err).Info("engine slowed")
	}
}

// countBookingRuns adds the runs of all bookings to the report, and those of a key beyond its first as double bookings.
func (p *replayer) countBookingRuns(ctx context.Context, result *report.Report) error {
	total := map[string]int{}
	for _, address := range p.Runs {
		answer, err := p.sender.Send(ctx, client.Request{Address: address, Method: http.MethodGet, Path: "/runs"})
		if err != nil {
			return err
		}
		var counts struct {
			Runs map[string]int `json:"runs"`
		}
		if err := json.Unmarshal(answer.Raw, &counts); err != nil {
			return oops.Code("replay").With("address", address).Errorf("give the address of a booking service: %w", err)
		}
		for key, n := range counts.Runs {
			total[key] += n
		}
	}
	for _, n := range total {
		result.BookingRuns += n
		result.DoubleBookings += max(0, n-1)
	}
	return nil
}
