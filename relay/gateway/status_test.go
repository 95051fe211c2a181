package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Guards against a status that is none and reaches a caller, or what follows it as the answer.
var _ = DescribeTable("a call whose service answers with a status that is none fails", func(status string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 1<<16))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			}()
		}
	}()
	c, err := catalogue.New(1, []catalogue.Object{{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, catalogue.HashKey("secret")))}})
	Expect(err).NotTo(HaveOccurred())
	c.Rules = []catalogue.Rule{{Service: "booking", Method: http.MethodPut, Path: "/", Idempotent: true}}
	c.Upstreams = []catalogue.Upstream{{
		Name: "booking1", Address: netip.MustParseAddrPort(listener.Addr().String()), Kind: catalogue.Service, Service: "booking", State: catalogue.Active,
	}}
	server := httptest.NewServer(gateway.New(
		gateway.WithConfiguration(func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }),
		gateway.WithClient(upstream.New(upstream.WithReadTimeout(2*time.Second))), gateway.WithIDs(func() string { return "1" }),
		gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	).Handler())
	DeferCleanup(server.Close)
	r, err := http.NewRequest(http.MethodPut, server.URL+"/services/booking", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer secret")
	answer, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
},
	Entry(nil, "000"), Entry(nil, "001"), Entry(nil, "099"), Entry(nil, "+20"), Entry(nil, "101"), Entry(nil, "600"), Entry(nil, "999"),
)
