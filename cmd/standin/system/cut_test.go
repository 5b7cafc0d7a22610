package system_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// cutHeader is the request header with the number of bytes after which the server closes the connection.
const cutHeader = "X-Cut"

// framings are the ends of a response header with the body behind them.
var framings = map[string]string{
	"length":  "Content-Length: 21\r\n\r\nid: 1\ndata: whole\n\n\n\n",
	"chunks":  "Transfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: whole\n\n\n\n\r\n0\r\n\r\n",
	"neither": "Connection: close\r\n\r\nid: 1\ndata: whole\n\n\n\n",
}

// acceptAll serves each connection in a goroutine until the listener is closed, and closes the connection afterwards.
func acceptAll(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(c)
		}()
	}
}

// cutServer responds in the framing, and closes the connection after the number of bytes that the request asks for.
func cutServer(l net.Listener, interim, framing string) {
	acceptAll(l, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			text := cutResponse(q.Header.Get("Chicoryhoist-Request-Id"), interim, framing)
			n, err := strconv.Atoi(q.Header.Get(cutHeader))
			if err != nil {
				n = len(text)
			}
			if _, err := io.WriteString(c, text[:n]); err != nil || n < len(text) || strings.Contains(text, "Connection: close") {
				return
			}
		}
	})
}

// cutResponse returns a whole response to the request with the ID.
func cutResponse(id, interim, framing string) string {
	return interim + "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: " + id + "\r\nChicoryhoist-Response-Seal: s\r\n" + framing
}

var _ = Describe("a forwarding router before a server that closes its connection in a response header", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// Guards against a success with an empty or short body, framed as whole, when a server stops in the middle of the header of
	// its response, at any byte, on a new connection or on one that was used before.
	DescribeTable("forwards no success", func(interim, framing string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		go cutServer(l, interim, framings[framing])
		f.replaceServers(l.Addr())
		paths := []string{"/stream/x", "/once/x", "/read/x"}
		for _, path := range paths {
			Eventually(func() string { return f.send("POST", "a.example", path, "w", "k1").body }).
				WithTimeout(changeTime).Should(Equal("id: 1\ndata: whole\n\n\n\n"))
		}
		n, sent := len(cutResponse("0000", interim, framings[framing])), 0
		body := len(framings[framing]) - strings.Index(framings[framing], "\r\n\r\n") - len("\r\n\r\n")
		for at := range n - body {
			for _, path := range paths {
				for _, used := range []bool{true, false} {
					if used {
						Expect(f.send("POST", "a.example", path, fmt.Sprintf("%04d", sent), "k1").interrupted).To(BeFalse())
					}
					sent++
					id := fmt.Sprintf("%04d", sent)
					r := f.send("POST", "a.example", path, id, "k1", cutHeader, strconv.Itoa(at))
					Expect(r.interrupted || r.status/100 != 2).To(BeTrue(), "%s cut at byte %d: %+v", path, at, r)
				}
			}
		}
	},
		Entry("of a response with a length", "", "length"),
		Entry("of a response in chunks", "", "chunks"),
		Entry("of a response that ends with its connection", "", "neither"),
		Entry("after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "length"),
	)
})

var _ = Describe("a forwarding router whose caller closes its sending side", func() {
	var f *environment
	BeforeEach(func() { f = startEnvironment() })
	AfterEach(func() { f.close() })

	// Guards against an empty or a short success, framed as whole, for a caller that has closed its sending side and reads on.
	DescribeTable("ends the connection without a complete response", func(path string, status string) {
		for id, s := range f.servers {
			if id[:3] == "app" {
				s.Fail(origin.Hang, 1)
			}
			s.Behave(origin.Behaviour{Crash: origin.Crash{AfterHeader: true, AfterEvents: 3, Stop: func() {}, Deadly: func(r *http.Request) bool {
				<-r.Context().Done()
				return true
			}}})
		}
		c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		Expect(c.SetDeadline(time.Now().Add(changeTime))).To(Succeed())
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nChicoryhoist-Request-Id: h\r\nChicoryhoist-Key: k1\r\n"+
			"Chicoryhoist-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(f.log.Runs("h")) }).Should(Equal(1))
		r := bufio.NewReader(c)
		if status != "" {
			line, err := r.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(ContainSubstring(status))
		}
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		rest, err := io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).NotTo(ContainSubstring("200 OK"))
		Expect(string(rest)).NotTo(HaveSuffix("0\r\n\r\n"))
	},
		Entry("before the response", "/once/x", ""),
		Entry("in the middle of a stream", "/stream/x", "200 OK"),
	)
})
