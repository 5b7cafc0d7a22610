package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/http1"
)

func TestUplink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "http1")
}

// behaviour is what the server does after it has read a request: the bytes it sends, and how the connection goes on.
type behaviour struct {
	reply string
	end   string
}

// parse splits a script into the behaviours of the server and the marks of the requests.
//
// A line "reply QUOTED [close|reset]" is one behaviour, a line "request MARK" one request.
func parse(script string) (list []behaviour, marks []string) {
	for line := range strings.Lines(script) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "reply":
			quoted, err := strconv.QuotedPrefix(rest)
			Expect(err).NotTo(HaveOccurred())
			reply, err := strconv.Unquote(quoted)
			Expect(err).NotTo(HaveOccurred())
			list = append(list, behaviour{reply, strings.TrimSpace(rest[len(quoted):])})
		case "request":
			marks = append(marks, rest)
		}
	}
	return list, marks
}

// serve answers the requests on one connection after the other with the behaviours in their order.
func serve(l net.Listener, list []behaviour) {
	for len(list) > 0 {
		c, err := l.Accept()
		if err != nil {
			return
		}
		list = answer(c.(*net.TCPConn), list)
		_ = c.Close()
	}
}

// answer serves one connection and returns the behaviours that are left.
func answer(c *net.TCPConn, list []behaviour) []behaviour {
	r := bufio.NewReader(c)
	for len(list) > 0 {
		q, err := http.ReadRequest(r)
		if err != nil {
			return list
		}
		_, _ = io.Copy(io.Discard, q.Body)
		b := list[0]
		list = list[1:]
		_, _ = io.WriteString(c, b.reply)
		switch b.end {
		case "close":
			return list
		case "reset":
			_ = c.SetLinger(0)
			return list
		}
	}
	return list
}

// exchange sends one request and renders what has come of it.
func exchange(c *http1.Client, address, mark string) string {
	a, err := c.Do(context.Background(), address, http1.Request{
		Method: http.MethodPost, Target: "/p/x?y=1", Host: "a.example", Header: http.Header{"X-Request-Id": {mark}}, Body: []byte("body"),
		IDHeader: "X-Request-Id", ID: mark,
	})
	switch {
	case errors.Is(err, http1.ErrUnsent):
		return "unsent"
	case err != nil:
		return "lost"
	}
	body, err := io.ReadAll(a)
	out := fmt.Sprintf("status=%d body=%q", a.Status, body)
	if err != nil {
		a.Discard()
		return out + " broken"
	}
	a.Release()
	return out + " whole"
}

// A changed line takes foreign bytes for an answer, a broken answer for a whole one, or a sent request for one that was not.
var _ = DescribeTable("exchanges", func(c golden.Case) {
	list, marks := parse(c.Input)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go serve(l, list)
	client := http1.NewClient(hoist.NewBootClock(), http1.Limits{Connect: hoist.Second, Idle: hoist.Minute})
	defer client.Close()
	var out strings.Builder
	for _, m := range marks {
		fmt.Fprintf(&out, "%s: %s\n", m, exchange(client, l.Addr().String(), m))
	}
	fmt.Fprintf(&out, "foreign=%d\n", client.Mismatched.Load())
	Expect(out.String()).To(golden.Match(c.Path))
}, func() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}())

var _ = Describe("a client", func() {
	// Guards against a refused connection that counts as a request which may have run.
	It("says that a request to a closed port was not sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		client := http1.NewClient(hoist.NewBootClock(), http1.Limits{Connect: hoist.Second, Idle: hoist.Minute})
		Expect(exchange(client, address, "1")).To(Equal("unsent"))
	})

	// Guards against a server that goes on with a request whose caller has left.
	It("closes the connection when the caller leaves", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				ended <- err
				return
			}
			cancel()
			_, err = r.ReadByte()
			ended <- err
		}()
		client := http1.NewClient(hoist.NewBootClock(), http1.Limits{Connect: hoist.Second, Idle: hoist.Minute})
		_, err = client.Do(ctx, l.Addr().String(), http1.Request{Method: http.MethodGet, Target: "/", Host: "a"})
		Expect(err).To(MatchError(http1.ErrResponseLost))
		Expect(<-ended).To(HaveOccurred())
	})
})

// Guards against an event that is passed on in parts, or a stream that ends inside an event and looks complete.
var _ = DescribeTable("events", func(in string, want string) {
	e := http1.NewEventReader(strings.NewReader(in))
	var out strings.Builder
	for {
		v, err := e.Next()
		if err != nil {
			out.WriteString(err.Error())
			break
		}
		fmt.Fprintf(&out, "%d/%v/%q ", v.ID, v.Numbered, v.Data)
	}
	Expect(out.String()).To(Equal(want))
},
	Entry("whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", `1/true/"id: 1\ndata: a\n\n" 2/true/"id: 2\ndata: b\n\n" EOF`),
	Entry("torn", "id: 1\ndata: a\n\nid: 2\nda", `1/true/"id: 1\ndata: a\n\n" stream ends inside an event`),
	Entry("without a number", "data: a\r\n\r\n", `0/false/"data: a\r\n\r\n" EOF`),
	Entry("empty", "", "EOF"),
)
