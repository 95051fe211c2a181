package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
)

// Times are quantiles of a time; JSON has them in nanoseconds.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	Max   time.Duration `json:"max"`
}

// Point is one point of a cumulative distribution; the quantile is in percent.
type Point struct {
	Quantile float64       `json:"quantile"`
	Time     time.Duration `json:"time"`
}

// Report holds the measurements of one run.
type Report struct {
	Name   string        `json:"name"`
	Trace  string        `json:"trace,omitempty"`
	Length time.Duration `json:"length"`

	Requests int `json:"requests"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	// Errors counts requests that failed before their first token, Truncated those that failed after it.
	Errors     int `json:"errors"`
	Truncated  int `json:"truncated"`
	Duplicates int `json:"duplicates"`
	Crossed    int `json:"crossed"`
	Gaps       int `json:"gaps"`
	// Wrong counts answers with a text other than the expected one, such as that of another request or version.
	Wrong    int            `json:"wrong"`
	Refusals map[string]int `json:"refusals"`
	// BookingRuns counts the runs of bookings, DoubleBookings those beyond the first of an idempotency key.
	BookingRuns    int `json:"booking_runs"`
	DoubleBookings int `json:"double_bookings"`

	PromptTokens    int `json:"prompt_tokens"`
	AnswerTokens    int `json:"answer_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	UnlimitedTokens int `json:"unlimited_tokens"`
	// WastedTokens are prompt tokens that were computed although one unlimited cache would hold them, and those of cancelled
	// copies.
	WastedTokens int `json:"wasted_tokens"`
	// Within counts served requests whose first token met the deadline, PeakRequests short requests at load peaks, and
	// PeakWithin the served ones of these that met the deadline.
	Within       int `json:"within"`
	PeakRequests int `json:"peak_requests"`
	PeakWithin   int `json:"peak_within"`

	// HitRate is cached tokens per prompt token, HitShare cached tokens per token that one unlimited cache would hold.
	HitRate  float64 `json:"hit_rate"`
	HitShare float64 `json:"hit_share"`
	// WasteRate is wasted tokens per prompt token, PeakRate the share of peak requests served within their deadline.
	WasteRate float64 `json:"waste_rate"`
	PeakRate  float64 `json:"peak_rate"`

	// First and the following are the times to first token of all requests and by class; End are the times to the end.
	First        Times   `json:"first"`
	ShortFirst   Times   `json:"short_first"`
	LongFirst    Times   `json:"long_first"`
	PeakFirst    Times   `json:"peak_first"`
	SlowedFirst  Times   `json:"slowed_first"`
	End          Times   `json:"end"`
	Distribution []Point `json:"distribution,omitempty"`
	// PerSecond counts the first tokens in each second of the run.
	PerSecond []int `json:"per_second,omitempty"`
}

func (r Report) withRatios() Report {
	share := func(a, b int) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	r.HitRate = share(r.CachedTokens, r.PromptTokens)
	r.HitShare = share(r.CachedTokens, r.UnlimitedTokens)
	r.WasteRate = share(r.WastedTokens, r.PromptTokens)
	r.PeakRate = share(r.PeakWithin, r.PeakRequests)
	return r
}

// Load reads a report file.
func Load(file string) (Report, error) {
	var r Report
	raw, err := os.ReadFile(file)
	if err != nil {
		return r, oops.Code("report").Errorf("give a report file written by chicorybench replay: %w", err)
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, oops.Code("report").Errorf("%s: give a report file written by chicorybench replay: %w", file, err)
	}
	return r, nil
}

// Save writes a report file.
func (r Report) Save(file string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return oops.Code("report").Wrap(err)
	}
	return oops.Code("report").Wrap(os.WriteFile(file, append(raw, '\n'), 0o600))
}

type row struct {
	name   string
	value  func(Report) float64
	format func(float64) string
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

func count(v float64) string { return fmt.Sprintf("%.0f", v) }

func millis(v float64) string { return fmt.Sprintf("%.1f ms", v/float64(time.Millisecond)) }

var rows = []row{
	{"1 prefix hit rate", func(r Report) float64 { return r.HitRate }, percent},
	{"1 share of one unlimited cache", func(r Report) float64 { return r.HitShare }, percent},
	{"2 p50 time to first token", func(r Report) float64 { return float64(r.First.P50) }, millis},
	{"2 p99 time to first token", func(r Report) float64 { return float64(r.First.P99) }, millis},
	{"3 wasted tokens", func(r Report) float64 { return float64(r.WastedTokens) }, count},
	{"3 wasted per prompt token", func(r Report) float64 { return r.WasteRate }, percent},
	{"4 peak requests within deadline", func(r Report) float64 { return float64(r.PeakWithin) }, count},
	{"4 share of peak requests", func(r Report) float64 { return r.PeakRate }, percent},
	{"5 p99 first token of short work", func(r Report) float64 { return float64(r.ShortFirst.P99) }, millis},
	{"6 p99 first token while slowed", func(r Report) float64 { return float64(r.SlowedFirst.P99) }, millis},
	{"  p99 time to the end", func(r Report) float64 { return float64(r.End.P99) }, millis},
	{"  requests", func(r Report) float64 { return float64(r.Requests) }, count},
	{"  served", func(r Report) float64 { return float64(r.Served) }, count},
	{"  refused", func(r Report) float64 { return float64(r.Refused) }, count},
	{"  errors", func(r Report) float64 { return float64(r.Errors) }, count},
	{"  truncated", func(r Report) float64 { return float64(r.Truncated) }, count},
	{"  duplicate events", func(r Report) float64 { return float64(r.Duplicates) }, count},
	{"  crossed events", func(r Report) float64 { return float64(r.Crossed) }, count},
	{"  wrong texts", func(r Report) float64 { return float64(r.Wrong) }, count},
	{"  double bookings", func(r Report) float64 { return float64(r.DoubleBookings) }, count},
	{"  gaps", func(r Report) float64 { return float64(r.Gaps) }, count},
}

// Print writes the measurements of reports side by side and, for two reports, the ratio of the second to the first.
func Print(w io.Writer, reports ...Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight|tabwriter.Debug)
	line := func(cells ...string) { _, _ = fmt.Fprintln(table, strings.Join(cells, "\t")+"\t") }
	head := []string{"measure"}
	for _, r := range reports {
		head = append(head, r.Name)
	}
	if len(reports) == 2 {
		head = append(head, "ratio")
	}
	line(head...)
	for _, row := range rows {
		cells := []string{row.name}
		for _, r := range reports {
			cells = append(cells, row.format(row.value(r)))
		}
		if len(reports) == 2 {
			cells = append(cells, ratio(row.value(reports[0]), row.value(reports[1])))
		}
		line(cells...)
	}
	return oops.Code("report").Wrap(table.Flush())
}

func ratio(a, b float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b/a)
}
