package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax/syntaxtest"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// answering returns the address of a server that answers each request with a text.
func answering(text string) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func readsLoad(text string) bool {
	_, err := upstream.New().Load(context.Background(), answering(text))
	return err == nil
}

// lists reports whether an entry of the list is used; those around it are in any case.
func lists(text string) bool {
	GinkgoHelper()
	const sound = `{"name":"%s","address":"10.0.0.1:1","state":"live"}`
	members, err := upstream.New().List(context.Background(), answering(fmt.Sprintf("["+sound+",%s,"+sound+"]", "before", text, "behind")))
	Expect(err).NotTo(HaveOccurred())
	names := []string{}
	for _, m := range members {
		names = append(names, m.Name)
	}
	Expect(names[0]).To(Equal("before"))
	Expect(names[len(names)-1]).To(Equal("behind"))
	return len(names) > 2
}

// imports reports whether an exported KV cache of one engine is sent to another.
func imports(text string) bool {
	imported := false
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		imported = err == nil
	}))
	DeferCleanup(server.Close)
	to := catalogue.Upstream{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Model: "m", Weights: "w"}
	err := upstream.New(upstream.WithReadTimeout(20*time.Second), upstream.WithMemory(64<<20)).Transfer(context.Background(), catalogue.Upstream{Address: answering(text)}, to, 7, "s", []byte("{}"))
	Expect(err == nil).To(Equal(imported), "%v", err)
	return imported
}

// Guards against texts from outside of which a part is used, or something else than they say.
var _ = Describe("a text from outside", func() {
	// brackets are the cases that make the text around an entry no JSON.
	brackets := []string{syntaxtest.Trailing, syntaxtest.Closed, syntaxtest.Torn, syntaxtest.Deep, syntaxtest.DeepValue}
	optional := []string{syntaxtest.Missing, syntaxtest.Null}
	for _, decoder := range []struct {
		name, sound, field, value string
		uses                      func(text string) bool
		// usable and untried are the cases that are used besides, and those that aren't tried.
		usable, untried []string
	}{
		{name: "a load report", sound: `{"incarnation":1,"slots":4,"running":0}`, field: "slots", value: "4", uses: readsLoad, usable: optional, untried: []string{syntaxtest.Large}},
		{name: "an entry of the list", sound: `{"name":"a","address":"10.0.0.2:1","state":"live"}`, field: "address", value: `"10.0.0.2:1"`, uses: lists, untried: append(brackets, syntaxtest.Large)},
		{name: "an exported KV cache", sound: `{"salt":"s","model":"m","weights":"w","incarnation":7,"blocks":[]}`, field: "incarnation", value: "7", uses: imports},
	} {
		for _, odd := range syntaxtest.Cases(decoder.sound, decoder.field, decoder.value) {
			used := slices.Contains(append([]string{syntaxtest.Sound, syntaxtest.Unknown, syntaxtest.Large}, decoder.usable...), odd.Name)
			outcome := "is not used"
			if used {
				outcome = "is used"
			}
			if slices.Contains(decoder.untried, odd.Name) {
				continue
			}
			It(outcome+" as "+decoder.name+" if it has "+odd.Name, func() { Expect(decoder.uses(odd.Text)).To(Equal(used)) })
		}
	}

	It("is not used as the list if it has another text behind it, closing brackets, or is nested 20,000 deep", func() {
		for _, text := range []string{`[]{}`, `[]]`, `[]}`, strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `{}`, `null`} {
			_, err := upstream.New().List(context.Background(), answering(text))
			Expect(err).To(HaveOccurred(), text[:min(len(text), 20)])
		}
	})
})
