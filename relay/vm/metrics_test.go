package vm

import (
	"os"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// newTestCounters returns the counters of a VM without connections.
func newTestCounters() *counters {
	node := control.New("vm", 1)
	rates := newAccountRates(settings.Default(), newState(Adapter{}, log.Log), node, log.Log)
	return newCounters(connection.NewPool(), pause.New(), control.NewHost(node), &peerMesh{mesh: peer.New(), dispatch: dispatch.New(routing.New()), origins: newTestOrigins(1)}, rates, nil)
}

var _ = Describe("metrics", func() {
	It("are all documented in the manual, so that an on-call engineer can interpret them", func() {
		c := newTestCounters()
		c.observe(forward.RequestRecord{Route: "r", Status: 200, TimeToAnswer: time.Millisecond, Total: time.Second, Sends: 2, RefusalKind: outcome.Overloaded})
		page, err := os.ReadFile("../../docs/operate/watch.md")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(string(c.text())), "\n")
		Expect(len(lines)).To(BeNumerically(">", 15))
		for _, line := range lines {
			name := regexp.MustCompile(`^[a-z_]+`).FindString(line)
			Expect(string(page)).To(ContainSubstring("`"+name+"`"), line)
		}
	})

	It("count requests by route and status, and repeated sends", func() {
		c := newTestCounters()
		for range 3 {
			c.observe(forward.RequestRecord{Route: "r", Status: 200, TimeToAnswer: 20 * time.Millisecond, Total: time.Second, Sends: 2})
		}
		text := string(c.text())
		Expect(text).To(ContainSubstring("requests{route=\"r\",status=\"200\"} 3\n"))
		Expect(text).To(ContainSubstring("repeated_sends 3\n"))
		Expect(text).To(MatchRegexp(`first_ms\{route="r",quantile="0.5"\} (19|20)`))
	})
})
