package replay_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/replay"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
	"github.com/chicoryrelay/chicoryrelay/standin/replica"
	"github.com/chicoryrelay/chicoryrelay/standin/service"
)

// startEngine runs an engine and returns its address.
func startEngine() netip.AddrPort {
	server := replica.New(engine.New(engine.WithBatch(64, 1e7, 5000)), replica.WithReset(true), replica.WithLogger(&log.Logger{Handler: discard.New()}))
	httpServer := httptest.NewUnstartedServer(nil)
	httpServer.Config = server.HTTP()
	httpServer.Start()
	DeferCleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
		server.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(httpServer.URL, "http://"))
}

func entries() []trace.Entry {
	GinkgoHelper()
	settings := trace.DefaultCoop()
	settings.Duration, settings.Bookings = time.Second, 0
	entries, err := trace.Generate(settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(entries)).To(BeNumerically(">", 5))
	return entries
}

func run(ctx SpecContext, address netip.AddrPort, version engine.Version) report.Report {
	GinkgoHelper()
	result, err := replay.Run(ctx, entries(), replay.Settings{
		Name: "run", Addresses: []netip.AddrPort{address}, Direct: true, Speed: 1, Timeout: time.Minute, Block: 16, Verify: &version,
	})
	Expect(err).NotTo(HaveOccurred())
	return result
}

func injectFault(address netip.AddrPort, fault string) {
	GinkgoHelper()
	answer, err := http.Post("http://"+address.String()+"/fault", "application/json", strings.NewReader(fault))
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Body.Close()).To(Succeed())
	Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
}

var _ = Describe("replay", func() {
	version := engine.Default().Version

	It("receives the complete and correct text of every entry", func(ctx SpecContext) {
		result := run(ctx, startEngine(), version)
		Expect(result.Served).To(Equal(result.Requests))
		Expect(result.Wrong).To(BeZero())
		Expect(result.CachedTokens).To(BeNumerically("<=", result.UnlimitedTokens))
	})

	It("counts texts of another version as wrong", func(ctx SpecContext) {
		result := run(ctx, startEngine(), engine.Version{Model: "base", Weights: "other"})
		Expect(result.Wrong).To(Equal(result.Served))
	})

	It("counts a repeated and a crossed event and still reads the complete text", func(ctx SpecContext) {
		address := startEngine()
		injectFault(address, `{"duplicate":1,"cross":2}`)
		result := run(ctx, address, version)
		Expect([]int{result.Duplicates, result.Crossed, result.Wrong}).To(Equal([]int{1, 1, 0}))
	})

	It("counts an answer whose connection breaks as truncated", func(ctx SpecContext) {
		address := startEngine()
		injectFault(address, `{"break":2}`)
		result := run(ctx, address, version)
		Expect(result.Truncated).To(Equal(1))
		Expect(result.Served).To(Equal(result.Requests - 1))
	})

	DescribeTable("counts the double runs of bookings that ran", func(ctx SpecContext, runs int) {
		settings := trace.DefaultBaths()
		settings.Duration, settings.Bookings, settings.Long = time.Second, 1, 0
		bookings, err := trace.Generate(settings)
		Expect(err).NotTo(HaveOccurred())
		address := startBookingService(runs)
		result, err := replay.Run(ctx, bookings, replay.Settings{
			Addresses: []netip.AddrPort{address}, Speed: 1, Timeout: time.Minute, Block: 16, Runs: []netip.AddrPort{address},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Served).To(Equal(len(bookings)))
		Expect(result.DoubleBookings).To(Equal((runs - 1) * len(bookings)))
	}, Entry("once", 1), Entry("twice", 2))
})

// startBookingService runs a booking service that executes each call the given number of times.
func startBookingService(runs int) netip.AddrPort {
	bookings := service.New().Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range runs - 1 {
			bookings.ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
		}
		bookings.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}
