package system_test

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// crashTime is the time for which a crashed host refuses connections.
const crashTime = 800 * time.Millisecond

// host serves a handler on one address and can crash: its connections end, and it refuses new ones for crashTime.
type host struct {
	address string
	handler http.Handler
	mu      sync.Mutex
	server  *http.Server
	crashes int
	closed  bool
}

// start listens on the address and serves the handler.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.address, h.server = l.Addr().String(), &http.Server{Handler: h.handler}
	go func(s *http.Server) { _ = s.Serve(l) }(h.server)
	return nil
}

// crash ends all connections and serves again after crashTime.
func (h *host) crash() {
	h.mu.Lock()
	h.crashes++
	_ = h.server.Close() // Nothing is left to close after an error.
	h.mu.Unlock()
	time.AfterFunc(crashTime, func() {
		// The port may be in use for a moment by a connection of another process.
		for h.start() != nil {
			time.Sleep(crashTime)
		}
	})
}

// running reports whether the host accepts connections.
func (h *host) running() bool {
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// crashCount returns the number of crashes.
func (h *host) crashCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// close stops the host for good.
func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	_ = h.server.Close() // Nothing is left to close after an error.
}
