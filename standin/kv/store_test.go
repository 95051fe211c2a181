package kv_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
	"github.com/chicoryrelay/chicoryrelay/standin/kv"
)

const bundle = `{"salt":"a","model":"m","weights":"1","block":16,"chain":[5,7],"incarnation":1}`

func call(store *kv.Store, method, path, body string) int {
	w := httptest.NewRecorder()
	store.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code
}

var _ = Describe("KV store", func() {
	DescribeTable("finds a saved entry", func(path string, status int) {
		store := kv.New(10)
		Expect(call(store, http.MethodPut, "/kv/7?salt=a&model=m&weights=1", bundle)).To(Equal(http.StatusNoContent))
		Expect(call(store, http.MethodGet, path, "")).To(Equal(status))
	},
		Entry("with the same key", "/kv/7?salt=a&model=m&weights=1", http.StatusOK),
		Entry("not with the salt of another account", "/kv/7?salt=b&model=m&weights=1", http.StatusNotFound),
		Entry("not with other weights", "/kv/7?salt=a&model=m&weights=2", http.StatusNotFound),
		Entry("not with another adapter", "/kv/7?salt=a&model=m&adapter=x&weights=1", http.StatusNotFound),
		Entry("not with another prefix", "/kv/5?salt=a&model=m&weights=1", http.StatusNotFound),
	)

	It("rejects a bundle under a key that is not its own", func() {
		Expect(call(kv.New(10), http.MethodPut, "/kv/7?salt=b&model=m&weights=1", bundle)).To(Equal(http.StatusConflict))
	})

	It("evicts the oldest entry at its limit", func() {
		store := kv.New(2)
		for i := range 3 {
			Expect(store.Put(engine.Bundle{Salt: fmt.Sprint(i), Chain: []uint64{1}})).To(BeTrue())
		}
		_, found := store.Get(kv.Key{Salt: "0", Hash: 1})
		Expect(found).To(BeFalse())
		_, found = store.Get(kv.Key{Salt: "2", Hash: 1})
		Expect(found).To(BeTrue())
	})
})
