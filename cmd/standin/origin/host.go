package origin

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// crashTime is the time for which a crashed host refuses connections.
const crashTime = 800 * time.Millisecond

// Host serves a handler on one loopback address and can crash: its connections end, and it refuses new ones for crashTime.
type Host struct {
	handler http.Handler
	// OnStart is called when the host serves again after a crash; it must be set before the first crash.
	OnStart func() error
	mu      sync.Mutex
	address string
	server  *http.Server
	// startedAt is the time of the last start.
	startedAt time.Time
	crashes   int
	closed    bool
}

// StartHost serves the handler on a free loopback port.
func StartHost(handler http.Handler) (*Host, error) {
	h := &Host{handler: handler, address: "127.0.0.1:0"}
	return h, h.start()
}

// start listens on the address and serves the handler.
func (h *Host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	h.startedAt = time.Now()
	h.address, h.server = l.Addr().String(), &http.Server{Handler: h.handler, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(h.server) // Ends with Close.
	return nil
}

// Address returns the address of the host.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Crash ends all connections; the host serves again after crashTime. A crash of a host that has crashed already, by
// another request at the same moment, changes nothing.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil || h.closed {
		return
	}
	h.crashes++
	_ = h.server.Close() // Nothing is left to close after an error.
	h.server = nil
	time.AfterFunc(crashTime, func() {
		// The port may be in use for a moment by a connection of another process.
		for h.start() != nil || h.OnStart != nil && h.OnStart() != nil {
			time.Sleep(crashTime)
		}
	})
}

// StartedAt returns the time of the last start.
func (h *Host) StartedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startedAt
}

// Running reports whether the host accepts connections.
func (h *Host) Running() bool {
	c, err := net.Dial("tcp", h.Address())
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// Crashes returns the number of crashes.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Close stops the host for good.
func (h *Host) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.server == nil {
		return nil
	}
	return h.server.Close()
}
