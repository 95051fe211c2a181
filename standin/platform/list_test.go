package platform_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/platform"
)

var _ = Describe("list of VMs", func() {
	var now time.Time
	var list *platform.List
	vm := platform.VM{Name: "engine1", Address: netip.MustParseAddrPort("127.0.0.1:8000"), State: platform.Live}

	BeforeEach(func() {
		now = time.Unix(0, 0)
		list = platform.New(platform.WithLag(time.Second), platform.WithNow(func() time.Time { return now }), platform.WithVMs(vm))
	})

	It("shows changes only after the lag and in their order", func() {
		leaving, gone := vm, vm
		leaving.State, gone.State = platform.Leaving, platform.Gone
		list.Set(leaving)
		Expect(list.VMs()).To(ConsistOf(vm))
		now = now.Add(time.Second)
		Expect(list.VMs()).To(ConsistOf(leaving))
		list.Set(gone)
		now = now.Add(time.Second)
		Expect(list.VMs()).To(BeEmpty())
	})

	DescribeTable("responds to POST /set", func(body string, status int) {
		w := httptest.NewRecorder()
		list.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/set", strings.NewReader(body)))
		Expect(w.Code).To(Equal(status))
	},
		Entry("with 204 if the entry is complete", `{"name":"a","address":"127.0.0.1:1","state":"leaving"}`, http.StatusNoContent),
		Entry("with 400 if the state does not exist, since a VM with the state leaving misspelt would stay in use", `{"name":"a","state":"leavin"}`, http.StatusBadRequest),
	)
})
