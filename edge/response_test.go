package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/relay"
)

// TestIncompleteResponses guards against a response that looks complete although the handler has left it without an end,
// because net/http completes what a handler leaves: also one that has not begun, as an empty success.
func TestIncompleteResponses(t *testing.T) {
	for name, x := range map[string]struct {
		respond  func(*responseWriter)
		complete bool
	}{
		"nothing":             {func(*responseWriter) {}, false},
		"header":              {func(c *responseWriter) { c.Start(200, nil, -1) }, false},
		"header with length":  {func(c *responseWriter) { c.Start(200, nil, 4) }, false},
		"empty with length":   {func(c *responseWriter) { c.Start(200, nil, 0) }, false},
		"chunk":               {func(c *responseWriter) { c.Start(200, nil, -1); _ = c.Write([]byte("body")) }, false},
		"length short of one": {func(c *responseWriter) { c.Start(200, nil, 5); _ = c.Write([]byte("body")); c.End() }, false},
		"ended":               {func(c *responseWriter) { c.Start(200, nil, -1); _ = c.Write([]byte("body")); c.End() }, true},
		"ended with length":   {func(c *responseWriter) { c.Start(200, nil, 4); _ = c.Write([]byte("body")); c.End() }, true},
		"refused":             {func(c *responseWriter) { c.Refuse(relay.NotReady{}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c := &responseWriter{writer: w, control: http.NewResponseController(w)}
				defer c.finish()
				x.respond(c)
			}))
			defer s.Close()
			complete := false
			if resp, err := http.Get(s.URL); err == nil {
				_, err = io.ReadAll(resp.Body)
				complete = err == nil
				g.Expect(resp.Body.Close()).To(gomega.Succeed())
			}
			g.Expect(complete).To(gomega.Equal(x.complete))
		})
	}
}

// TestLateEnd guards against a sound response that is cut because the server ends it later after its last part than the time for
// which a caller may leave a part unread.
func TestLateEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	const unread = 50 * hoist.Millis(1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := &responseWriter{writer: w, control: http.NewResponseController(w), unread: unread}
		defer c.finish()
		c.Start(200, nil, -1)
		_ = c.Write([]byte("body")) // The test reads it.
		time.Sleep((2 * unread).Duration())
		c.End()
	}))
	defer s.Close()
	resp, err := http.Get(s.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("body"))
}

// TestSlowReader guards against a sound response that is cut because a long part of it, which the caller reads steadily, takes
// longer than the time for which a caller may leave a part unread.
func TestSlowReader(t *testing.T) {
	g := gomega.NewWithT(t)
	const unread, length = 400 * hoist.Millis(1), 256 << 10
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := &responseWriter{writer: w, control: http.NewResponseController(w), unread: unread}
		defer c.finish()
		c.Start(200, nil, length)
		_ = c.Write(make([]byte, length)) // The test reads it.
		c.End()
	}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10) // With a larger buffer, the write would not wait for the reader.
		}
	}
	s.Start()
	defer s.Close()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}}
	resp, err := client.Get(s.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	read, b := 0, make([]byte, 4<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(b)
		read += n
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(err).To(gomega.MatchError(io.EOF))
	g.Expect(read).To(gomega.Equal(length))
}
