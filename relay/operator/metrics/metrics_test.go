package metrics_test

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/metrics"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

var _ = Describe("metrics", func() {
	var (
		now time.Time
		set *metrics.Set
	)

	BeforeEach(func() {
		now = time.Unix(1e9, 0)
		set = metrics.New(metrics.WithNow(func() time.Time { return now }), metrics.WithWindow(time.Minute))
	})

	read := func() map[string]any {
		GinkgoHelper()
		w := httptest.NewRecorder()
		set.ServeHTTP(w, nil)
		var values map[string]any
		Expect(json.Unmarshal(w.Body.Bytes(), &values)).To(Succeed())
		return values
	}

	It("count each event in its own metric and in no other", func() {
		set.Prompt(100, 25)
		set.Wasted(7)
		set.Deadline(true)
		set.Deadline(true)
		set.Deadline(true)
		set.Deadline(false)
		set.ForeignEvent()
		set.DuplicateEvent()
		set.StreamResumed()
		set.AddStreams(3)
		set.AddStreams(-1)
		set.AddConnections(4)
		set.SilentConnection()
		set.SetLeaseValid(true)
		set.SetLeasesGranted(9)
		set.SetVersions(12, 11)
		set.Refused("new_kind")
		want := map[string]float64{
			"prefix_tokens": 100, "prefix_cached_tokens": 25, "prefix_hit_rate": 0.25, "wasted_tokens": 7, "deadline_met": 3, "deadline_missed": 1,
			"deadline_met_rate": 0.75, "stream_crossed": 1, "stream_duplicates": 1, "stream_resumes": 1, "streams_open": 2, "connections_open": 4,
			"connections_silent": 1, "lease_valid": 1, "leases_granted": 9, "version_installed": 12, "version_in_force": 11, "refused_other": 1,
		}
		values := read()
		for _, name := range set.Names() {
			if number, ok := values[name].(float64); ok {
				Expect(number).To(Equal(want[name]), name)
			}
		}
		Expect(values).To(HaveKey("memstats"))
		set.SetLeaseValid(false)
		Expect(read()["lease_valid"]).To(BeZero())
	})

	It("count each kind of refusal separately", func() {
		for _, kind := range outcome.Kinds() {
			set.Refused(kind)
			Expect(read()["refused_"+string(kind)]).To(Equal(1.0), string(kind))
		}
		Expect(read()["refused_other"]).To(BeZero())
	})

	summary := func(name string) metrics.Summary {
		GinkgoHelper()
		text, err := json.Marshal(read()[name])
		Expect(err).NotTo(HaveOccurred())
		var s metrics.Summary
		Expect(json.Unmarshal(text, &s)).To(Succeed())
		return s
	}

	It("report quantiles that are never too low and at most 20 % too high, so that a slow tail is visible", func() {
		for i := 1; i <= 1000; i++ {
			set.FirstToken(time.Duration(i)*time.Millisecond, i > 990)
			set.ShortWait(time.Duration(i) * time.Microsecond)
		}
		s := summary("ttft_seconds")
		Expect(s.Count).To(Equal(uint64(1000)))
		for _, pair := range [][2]float64{{s.P50, 0.5}, {s.P95, 0.95}, {s.P99, 0.99}} {
			Expect(pair[0]).To(And(BeNumerically(">=", pair[1]), BeNumerically("<=", pair[1]*1.2)))
		}
		Expect(summary("slowed_ttft_seconds").Count).To(Equal(uint64(10)))
		Expect(summary("short_wait_seconds").P99).To(Equal(0.001))
	})

	It("drop observations after two windows, so that an old peak does not hide the current tail", func() {
		set.FirstToken(time.Hour, false)
		now = now.Add(time.Minute)
		set.FirstToken(time.Millisecond, false)
		Expect(summary("ttft_seconds").Count).To(Equal(uint64(2)))
		now = now.Add(time.Minute)
		Expect(summary("ttft_seconds")).To(Equal(metrics.Summary{Count: 1, P50: 0.001, P95: 0.001, P99: 0.001}))
		set.FirstToken(time.Second, false)
		now = now.Add(time.Hour)
		Expect(summary("ttft_seconds")).To(Equal(metrics.Summary{}))
	})

	It("are all listed by name in the manual", func() {
		page, err := os.ReadFile("../../../docs/operate/watch.md")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range set.Names() {
			Expect(string(page)).To(ContainSubstring("| `" + name + "` |"))
		}
	})
})
