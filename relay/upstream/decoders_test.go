package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
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
	optional := []string{syntaxtest.Missing, syntaxtest.Null}
	for _, decoder := range []struct {
		name, sound, field, value string
		uses                      func(text string) bool
		// usable and untried are the cases that are used besides, and those that aren't tried.
		usable, untried []string
	}{
		{name: "a load report", sound: `{"incarnation":1,"slots":4,"running":0}`, field: "slots", value: "4", uses: readsLoad, usable: optional, untried: []string{syntaxtest.Large}},
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
})
