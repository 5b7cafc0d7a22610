package system_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// uploadBytes is the length of a request body that does not fit into the buffers of two sockets.
const uploadBytes = 8 << 20

// resetServer sends the beginning of a response without a length before it has read the body of the request, and resets the
// connection. It responds as a whole to requests without a body.
func resetServer(l net.Listener, beginning string) {
	acceptAll(l, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nChicoryhoist-Response-Seal: s\r\nChicoryhoist-Request-Id: " + q.Header.Get("Chicoryhoist-Request-Id") + "\r\n"
		if q.ContentLength == 0 {
			fmt.Fprintf(c, "%sContent-Length: 5\r\n\r\nwhole", head)
			return
		}
		fmt.Fprintf(c, "%s\r\n%s", head, beginning)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

var _ = Describe("a forwarding router before a server that resets the connection of a long request", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// Guards against a part of a response that the caller gets as a complete success, because the write of the request has
	// received the reset of the connection.
	DescribeTable("forwards no success", func(path, beginning string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		go resetServer(l, beginning)
		f.replaceServers(l.Addr())
		f.version++
		long := strings.Replace(routesFormat, `"max_body_bytes":1000`, fmt.Sprintf(`"max_body_bytes":%d`, uploadBytes), 1)
		f.store.Put("op/config", fmt.Appendf(nil, long, f.version, `"k3"`))
		Eventually(func() string { return f.send("GET", "a.example", "/read/x", "w", "k1").body }).
			WithTimeout(changeTime).WithPolling(20 * time.Millisecond).Should(Equal("whole"))
		for n := range 10 {
			r := f.sendBody(http.MethodPost, "a.example", path, fmt.Sprint("u", n), "k1", bytes.NewReader(make([]byte, uploadBytes)))
			Expect(r.interrupted || r.status/100 != 2).To(BeTrue(), "%+v", r)
		}
	},
		Entry("for a body", "/once/x", "part"),
		Entry("for a body, of a request that may be repeated", "/read/x", "part"),
		Entry("for a body with nothing behind its header", "/read/x", ""),
		Entry("for a stream that ends after an event", "/stream/x", "id: 1\ndata: part\n\n"),
	)
})
