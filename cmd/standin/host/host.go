// Package host serves a stand-in over HTTP and simulates crashes with a restart on the same address.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
)

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 10 * time.Second

// Host runs the HTTP server of one stand-in.
type Host struct {
	address       string
	clock         hoist.Clock
	crashRequests chan hoist.Millis
	crashCount    atomic.Int64
}

// New returns a host for the address, as IP:port.
func New(address string, clock hoist.Clock) *Host {
	return &Host{address: address, clock: clock, crashRequests: make(chan hoist.Millis, 1)}
}

// Crash closes every connection and refuses new ones for the given time. A crash that is requested while the server is
// down happens right after the restart; at most one request is queued, and further ones have no effect.
func (h *Host) Crash(down hoist.Millis) {
	select {
	case h.crashRequests <- down:
	default:
	}
}

// Crashes returns the number of crashes so far.
func (h *Host) Crashes() int64 { return h.crashCount.Load() }

// Run serves until the context ends, and restarts the server after each crash.
func (h *Host) Run(ctx context.Context, handler http.Handler) error {
	for {
		down, crashed, err := h.serve(ctx, handler)
		if err != nil || !crashed {
			return err
		}
		h.crashCount.Add(1)
		logrus.WithField("address", h.address).Info("simulated crash closed the server")
		select {
		case <-h.clock.After(down):
		case <-ctx.Done():
			return nil
		}
	}
}

// serve runs one HTTP server until a crash or the end of the context; down is the time until the restart.
func (h *Host) serve(ctx context.Context, handler http.Handler) (down hoist.Millis, crashed bool, err error) {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return 0, false, eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case down = <-h.crashRequests:
		crashed = true
	case <-ctx.Done():
	case err = <-served:
		return 0, false, eris.Wrap(err, "serve")
	}
	err = s.Close()
	if e := <-served; !errors.Is(e, http.ErrServerClosed) {
		return down, crashed, eris.Wrap(e, "serve")
	}
	return down, crashed, eris.Wrap(err, "close")
}
