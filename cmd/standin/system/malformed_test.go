package system_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// soundHeader is the request header that asks for a sound response.
const soundHeader = "X-Sound"

// malformedServer sends the text in response to each request that does not ask for a sound response, with the request ID for
// ID. If resumed is set, it does so only when a stream is resumed, and breaks a new stream off after its first event.
func malformedServer(l net.Listener, text string, resumed bool) {
	acceptAll(l, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Chicoryhoist-Request-Id")
		const head = "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: ID\r\nChicoryhoist-Response-Seal: s\r\n"
		response := text
		switch {
		case q.Header.Get(soundHeader) != "":
			response = head + "Content-Length: 5\r\n\r\nsound"
		case resumed && q.Header.Get("Last-Event-Id") == "":
			response = head + "Content-Length: 1000\r\n\r\n" + origin.StreamEvent(id, 1)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", id)) // A caller that has disconnected needs no response.
	})
}

var _ = Describe("a forwarding router before a server whose response header is malformed", func() {
	var f *environment
	var l net.Listener
	BeforeEach(func() {
		f = startEnvironment()
		var err error
		l, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
	})
	AfterEach(func() {
		_ = l.Close()
		f.close()
	})

	// useListener replaces the servers by the listener and waits until it is in force.
	useListener := func() {
		f.replaceServers(l.Addr())
		Eventually(func() string { return f.send("GET", "a.example", "/read/x", "w", "k1", soundHeader, "1").body }).
			WithTimeout(changeTime).WithPolling(20 * time.Millisecond).Should(Equal("sound"))
	}

	// Guards against a success whose body is not that of the server, or with a field that is no header field, and against a
	// connection that ends without a response because the status of the server cannot be sent.
	DescribeTable("forwards no success", func(status, fields, body string) {
		go malformedServer(l, status+"\r\nChicoryhoist-Request-Id: ID\r\nChicoryhoist-Response-Seal: s\r\n"+fields+"\r\n"+body, false)
		useListener()
		for n, path := range []string{"/once/x", "/read/x", "/stream/x"} {
			r := f.send("POST", "a.example", path, fmt.Sprint("m", n), "k1")
			Expect(r.interrupted).To(BeFalse())
			Expect(r.status).To(Equal(http.StatusBadGateway), "%+v", r)
			Expect(r.header.Get("Chicoryhoist-Response-Seal")).To(BeEmpty())
		}
	},
		Entry("with the status 000", "HTTP/1.1 000 Trouble", "Content-Length: 11\r\n", "data: x\n\n\n\n"),
		Entry("with a status of 99", "HTTP/1.1 099 Trouble", "Content-Length: 11\r\n", "data: x\n\n\n\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK", "X Trouble: 1\r\nContent-Length: 11\r\n", "data: x\n\n\n\n"),
		Entry("with a control byte in a name", "HTTP/1.1 200 OK", "X-\x01Trouble: 1\r\nContent-Length: 11\r\n", "data: x\n\n\n\n"),
		Entry("with a blank behind the name of the length", "HTTP/1.1 200 OK", "Content-Length : 9\r\n", "data: x\n\ndata: y\n\n"),
		Entry("with a blank behind the name of the encoding", "HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", "9\r\ndata: x\n\n\r\n0\r\n\r\n\n\n"),
		Entry("with a blank in a name of an informational response", "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 11\r\n", "data: x\n\n\n\n"),
	)

	// Guards against a stream that goes on with the body of a malformed response, or ends there as if it were complete.
	DescribeTable("does not resume a stream", func(text string) {
		go malformedServer(l, text, true)
		useListener()
		r := f.send("POST", "a.example", "/stream/x", "1", "k1")
		Expect(r.interrupted).To(BeTrue(), "%+v", r)
		Expect(r.body).To(Equal(origin.StreamEvent("1", 1)))
	},
		Entry("with the status 000", "HTTP/1.1 000 Trouble\r\nChicoryhoist-Request-Id: ID\r\nChicoryhoist-Response-Seal: s\r\n\r\nid: 2\ndata: x\n\n"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: ID\r\nChicoryhoist-Response-Seal: s\r\nX Trouble: 1\r\n\r\nid: 2\ndata: x\n\n"),
	)
})
