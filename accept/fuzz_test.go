package accept_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/intake"
)

// pipeListener accepts the connections that it is given.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests guards against bytes of a caller that end the process, that hold memory or a connection after the caller has
// gone, or that are charged less than a body that was read. The bytes arrive in steps.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n", "\r\n\r\n", "\n\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhelloPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", "GET / HTTP/1.1\r\nHost: a\r\nX:\r\nX:\r\n y\r\n\r\n",
	} {
		f.Add([]byte(text), uint8(1), uint16(0))
		f.Add([]byte(text), uint8(200), uint16(300))
	}
	clock := hoist.NewBootClock()
	account := intake.NewAccount(clock, 64<<10, 48<<10)
	pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l := accept.Listen(pipes, accept.Options{
		Clock: clock, Connections: 4, Account: account, Header: func() accept.HeaderLimits { return accept.HeaderLimits{Bytes: 16 << 10} },
	})
	var undercharged atomic.Bool
	h := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := accept.Open(account, w, r)
		defer t.Release()
		blocks, err := accept.ReadBody(w, r, t, bodyLimit, lenient)
		var read int64
		for _, b := range blocks {
			read += int64(len(b))
		}
		if held := account.State().Used(); err == nil && held < read {
			undercharged.Store(true) // The server would contain a panic.
		}
	})}
	accept.Attach(h)
	go func() { _ = h.Serve(l) }()
	f.Cleanup(func() { _ = h.Close() })
	f.Fuzz(func(t *testing.T, content []byte, step uint8, fields uint16) {
		caller, server := net.Pipe()
		pipes.conns <- server
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		if fields > 0 {
			content = append([]byte("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("X:\r\n", int(fields)%512)+"\r\n"), content...)
		}
		for n := int(step) + 1; len(content) > 0; content = content[min(n, len(content)):] {
			if _, err := caller.Write(content[:min(n, len(content))]); err != nil {
				break // The server has ended the connection.
			}
		}
		_ = caller.Close()
		for end := time.Now().Add(eventual); l.Count() > 0 || account.State().Holdings() > 0; time.Sleep(20 * time.Microsecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections and %d holdings are left", l.Count(), account.State().Holdings())
			}
		}
		if undercharged.Load() {
			t.Fatal("a body was charged less than it held")
		}
		if used := account.State().Used(); used != 0 {
			t.Fatalf("%d bytes are held", used)
		}
	})
}
