package callers_test

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

// newOwnGuard returns a guard with a number of descriptors in a process with a limit of open files.
func newOwnGuard(descriptors int, limit uint64) *callers.Guard {
	return callers.New(
		callers.WithDescriptors(descriptors), callers.WithLog(&log.Logger{Handler: discard.Default}),
		callers.WithOpenFilesFunc(func() (uint64, error) { return limit, nil }),
	)
}

var _ = Describe("a guard with the process's limit of open files", func() {
	// Guards against a process without the setting whose callers use up its descriptors, and against limits that mean no bound, none of
	// the callers, or an overflow.
	DescribeTable("bounds connections by it", func(limit uint64, connections int) {
		guard := newOwnGuard(callers.OwnLimit, limit)
		Expect(guard.Counters().MaxConnections).To(Equal(connections))
		Expect(guard.Counters().Budget).To(BeZero(), "memory")
	},
		Entry("none", uint64(0), 1),
		Entry("one file", uint64(1), 1),
		Entry("64 files", uint64(64), 24),
		Entry("1,024 files", uint64(1024), 384),
		Entry("1,048,576 files", uint64(1<<20), 524_160),
		Entry("the kernel's largest number of files", uint64(math.MaxInt32), 8_388_480),
		Entry("no limit", uint64(math.MaxUint64), 8_388_480),
	)

	DescribeTable("goes by an explicit number of descriptors alone", func(descriptors, connections int) {
		Expect(newOwnGuard(descriptors, 64).Counters().MaxConnections).To(Equal(connections))
	},
		Entry("more than the limit", 1024, 384),
		Entry("less than the limit", 8, 3),
		Entry("no bound", 0, 0),
	)

	It("bounds nothing without a limit of memory or descriptors", func() {
		Expect(newOwnGuard(0, 64)).To(BeNil())
	})

	It("bounds no connections and says so if the limit can't be read", func() {
		lines := memory.New()
		guard := callers.New(
			callers.WithDescriptors(callers.OwnLimit), callers.WithLog(&log.Logger{Handler: lines}),
			callers.WithOpenFilesFunc(func() (uint64, error) { return 0, errors.New("not permitted") }),
		)
		Expect(guard).To(BeNil())
		Expect(lines.Entries).To(HaveLen(1))
		Expect(lines.Entries[0].Level).To(Equal(log.WarnLevel))
		Expect(lines.Entries[0].Fields).To(HaveKeyWithValue("cause", "not permitted"))
	})

	It("reads the limit of this process", func() {
		guard := callers.New(callers.WithDescriptors(callers.OwnLimit), callers.WithLog(&log.Logger{Handler: discard.Default}))
		Expect(guard.Counters().MaxConnections).To(BeNumerically(">", 0))
	})

	// Guards against a process with few descriptors that refuses all callers.
	It("serves callers in a process with 64 files, beside idle connections and running requests", func() {
		guard := newOwnGuard(callers.OwnLimit, 64)
		release := make(chan struct{})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			echo(w, r)
		}))
		guard.Protect(server.Config)
		server.Listener = guard.Listen(server.Listener)
		server.Start()
		DeferCleanup(server.Close)
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		address := server.Listener.Addr().String()
		for range 40 {
			dial(address)
		}
		bound := guard.Counters().MaxConnections
		for range bound - 1 {
			conn, _ := dial(address)
			_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">=", int64(bound-1)*(32<<10)))
		conn, reader := dial(address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectAnswer(reader, http.StatusOK, "0")
		_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">=", int64(bound)*(32<<10)))
		refused, refusedReader := dial(address)
		_, _ = io.WriteString(refused, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := refusedReader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(guard.Counters().Events["connection_refused"]).To(Equal(uint64(1)))
		finish()
		expectAnswer(reader, http.StatusOK, "0")
		Eventually(func() string {
			answer, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s/", address))
			if err != nil {
				return err.Error()
			}
			defer func() { _ = answer.Body.Close() }()
			return answer.Status
		}).Should(Equal("200 OK"))
	})
})
