package callers_test

import (
	"bufio"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

// Guards against paths and queries that are escaped in another way than their client's when they are passed on.
var _ = DescribeTable("the target of a request is the client's", func(sent, target string) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + sent + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	Expect(err).NotTo(HaveOccurred())
	Expect(callers.Target(r)).To(Equal(target))
},
	Entry("path alone", "/a%2Fb//c|d?", "/a%2Fb//c|d?"),
	Entry("two slashes", "//a/b?x=%zz", "//a/b?x=%zz"),
	Entry("scheme and host", "http://h/a|b\"%7e?", "/a|b\"%7e?"),
	Entry("scheme, user, host and port", "HTTP://u@h:80//é?q=://x", "//é?q=://x"),
	Entry("host without a path", "http://h", "/"),
	Entry("host with a query alone", "http://h?a=/b", "/?a=/b"),
	Entry("scheme alone", "http:/a?q=x://h/b", "/a?q=x://h/b"),
	Entry("scheme and an empty host", "http:///a?q=x://h/b", "/a?q=x://h/b"),
	Entry("neither host nor slash", "x:a?q=x://h/b", "a?q=x://h/b"),
	Entry("no path", "*", "*"),
)
