package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

// Guards against requests that are taken for one that ends upstreams although they differ from it.
var _ = Describe("the fingerprint of a request", func() {
	It("is the same for the same request only", func() {
		first := quarantine.Fingerprint("coop", "POST", "h", "/read/?x=1", []byte("body"))
		Expect(quarantine.Fingerprint("coop", "POST", "h", "/read/?x=1", []byte("body"))).To(Equal(first))
		for _, other := range []uint64{
			quarantine.Fingerprint("baths", "POST", "h", "/read/?x=1", []byte("body")),
			quarantine.Fingerprint("coop", "PUT", "h", "/read/?x=1", []byte("body")),
			quarantine.Fingerprint("coop", "POST", "i", "/read/?x=1", []byte("body")),
			quarantine.Fingerprint("coop", "POST", "h", "/read/?x=2", []byte("body")),
			quarantine.Fingerprint("coop", "POST", "h", "/read/?x=1", []byte("bodies")),
			quarantine.Fingerprint("coop", "POST", "h", "/read/?x=1b", []byte("ody")),
			0,
		} {
			Expect(other).NotTo(Equal(first))
		}
	})
})
