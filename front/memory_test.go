package front_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against bodies that hold the memory of the process for as long as their callers keep the connections open, and
// against a refusal of such a body that does not say that the request has not run.
var _ = ginkgo.Describe("bodies that never end", func() {
	ginkgo.It("give way to others", func() {
		s := httptest.NewServer(&backend{})
		defer s.Close()
		h := newFakeRouter(s.Listener.Addr().String())
		address, stop := h.serve(60000)
		defer stop()
		answers := make(chan string, 8)
		for range cap(answers) {
			c, err := net.Dial("tcp", address)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer c.Close()
			fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: 1900\r\n\r\n"+
				strings.Repeat("x", 1800))
			go func() { answers <- readResponse(c, "POST") }()
		}
		var answer string
		for range cap(answers) - 3 { // Three bodies of 1,900 bytes fit into the share of the address.
			gomega.Eventually(answers, "10s").Should(gomega.Receive(&answer))
			gomega.Expect(answer).To(gomega.HavePrefix("503"))
			gomega.Expect(answer).To(gomega.ContainSubstring("X-Outcome: not-run"))
			gomega.Expect(answer).To(gomega.ContainSubstring("memory_exhausted"))
		}
		c := sendRequest(address)
		defer c.Close()
		gomega.Expect(readResponse(c, "POST")).To(gomega.HavePrefix("200"))
	})
})
