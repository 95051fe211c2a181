package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/service"
)

func postBooking(url, key string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, url+"/slots/3", strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Idempotency-Key", key)
	return http.DefaultClient.Do(r)
}

func expectRuns(url, text string) {
	GinkgoHelper()
	response, err := http.Get(url + "/runs")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(raw)).To(MatchJSON(text))
}

func start(fault service.Fault) string {
	server := httptest.NewServer(service.New(service.WithFault(fault)).Handler())
	DeferCleanup(server.Close)
	return server.URL
}

var _ = Describe("plain service", func() {
	It("counts the runs of each key, so that a double booking is detected", func() {
		url := start(service.Fault{})
		for _, key := range []string{"a", "b", "a"} {
			response, err := postBooking(url, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		expectRuns(url, `{"total":3,"runs":{"a":2,"b":1}}`)
	})

	It("counts a run whose response was lost with the connection", func() {
		url := start(service.Fault{Close: 1})
		_, err := postBooking(url, "a")
		Expect(err).To(HaveOccurred())
		expectRuns(url, `{"total":1,"runs":{"a":1}}`)
	})

	It("does not count a call that it rejected", func() {
		url := start(service.Fault{Refuse: 1})
		response, err := postBooking(url, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		expectRuns(url, `{"total":0,"runs":{}}`)
	})

	It("counts a run that it failed afterwards, with any status", func() {
		url := start(service.Fault{Fail: 1, Status: http.StatusTooManyRequests})
		for _, status := range []int{http.StatusTooManyRequests, http.StatusOK} {
			response, err := postBooking(url, "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(status))
		}
		expectRuns(url, `{"total":2,"runs":{"a":2}}`)
	})

	// Guards against a crash under other calls, and against a crash of which the call's run is not counted.
	It("exits as soon as it begins to run a call with the given text, and under no other call", func() {
		text, exits := "torn", atomic.Int32{}
		server := httptest.NewServer(service.New(service.WithFault(service.Fault{CrashOn: &text}), service.WithExit(func() { exits.Add(1) })).Handler())
		DeferCleanup(server.Close)
		post := func(body string) error {
			response, err := http.Post(server.URL+"/slots/3", "text/plain", strings.NewReader(body))
			if err == nil {
				err = response.Body.Close()
			}
			return err
		}
		Expect(post("a whole page")).To(Succeed())
		Expect(exits.Load()).To(BeZero())
		Expect(post("a torn page")).NotTo(Succeed())
		Expect(exits.Load()).To(BeEquivalentTo(1))
		expectRuns(server.URL, `{"total":2,"runs":{}}`)
	})
})
