package control

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// uptime returns the time since the machine started, with the time for which it was suspended, to the hundredth of a second below.
func uptime() time.Duration {
	GinkgoHelper()
	text, err := os.ReadFile("/proc/uptime")
	Expect(err).NotTo(HaveOccurred())
	seconds, _, _ := strings.Cut(string(text), " ")
	d, err := time.ParseDuration(seconds + "s")
	Expect(err).NotTo(HaveOccurred())
	return d
}

var _ = Describe("the clock of the control state", func() {
	// Guards against leases that outlast the time for which a machine was suspended, which Go's monotonic clock misses.
	It("is the kernel's clock that counts the time for which the machine was suspended", func() {
		before := uptime()
		now := NewHost(New("vm", 1)).clock()
		Expect(now).To(And(BeNumerically(">=", before), BeNumerically("<=", uptime()+10*time.Millisecond)))
	})
})
