package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
)

const (
	// lowestPort and portCount give a range below the ephemeral ports of Linux, so that a router that starts again finds its
	// port free.
	lowestPort = 20000
	portCount  = 12000
	// maxPortTries bounds the search for a free port.
	maxPortTries = 200
)

// assignedPorts holds the ports that freeAddress has returned: their users may not listen on them yet.
var assignedPorts sync.Map

// freeAddress returns a loopback address on which nothing listens, a different one on each call.
func freeAddress() (string, error) {
	for range maxPortTries {
		port := lowestPort + rand.N(portCount)
		if _, assigned := assignedPorts.LoadOrStore(port, true); assigned {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String(), nil
	}
	return "", eris.Errorf("found no free port after %d tries", maxPortTries)
}

// standin is a stand-in that runs inside this program.
type standin struct {
	*host.Host
	name    string
	address string
	// addMismatched adds a frame of another attempt before each frame of every response.
	addMismatched atomic.Bool
	mutex         sync.Mutex
	requestTimes  []hoist.Millis
}

// startStandin runs a stand-in on a free address until ctx ends; build returns its handler.
func (f *fleet) startStandin(ctx context.Context, name string, build func(*host.Host) http.Handler) (*standin, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &standin{name: name, address: address, Host: host.New(address, f.clock)}
	handler := build(s.Host)
	f.standins.Go(func() {
		if err := s.Run(ctx, s.observed(handler, f.clock)); err != nil {
			f.reportFault("stand-in %s: %v", name, err)
		}
	})
	return s, nil
}

// startEngine starts a model engine.
func (f *fleet) startEngine(ctx context.Context, name string, slots int, speed llmsrv.Speed) (*standin, error) {
	return f.startStandin(ctx, name, func(h *host.Host) http.Handler {
		e := llmsrv.New(llmsrv.Settings{
			Slots: slots, Queue: 64, Speed: speed, ReportLag: 2 * hoist.Second, Fenced: true, LoadMs: 5 * hoist.Second,
			Models: []string{model},
		}, f.clock, h)
		f.standins.Go(func() { e.Run(ctx) })
		return e.Handler()
	})
}

// observed records the start of each completion request and adds mismatched frames to its response if that is enabled.
func (s *standin) observed(next http.Handler, clock hoist.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/completions") {
			s.mutex.Lock()
			s.requestTimes = append(s.requestTimes, clock.Now())
			s.mutex.Unlock()
			if s.addMismatched.Load() {
				w = &mismatchedWriter{ResponseWriter: w, attemptID: r.Header.Get("X-Request-Id")}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// requestsAfter returns the number of completion requests that arrived after start.
func (s *standin) requestsAfter(start hoist.Millis) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for _, t := range s.requestTimes {
		if t > start {
			n++
		}
	}
	return n
}

// mismatchedText is the content of the mismatched frames, which must never reach a caller.
const mismatchedText = "STRAY"

// mismatchedWriter writes a frame of another attempt of the same request before each frame.
type mismatchedWriter struct {
	http.ResponseWriter
	attemptID string
}

// Unwrap gives the response controller access to the flusher.
func (w *mismatchedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a frame after a mismatched one.
func (w *mismatchedWriter) Write(frame []byte) (int, error) {
	if !bytes.HasPrefix(frame, []byte("id: "+w.attemptID+":")) {
		return w.ResponseWriter.Write(frame)
	}
	request, _, _ := splitAttemptID(w.attemptID)
	seq, _, _ := bytes.Cut(frame[len("id: "+w.attemptID+":"):], []byte("\n"))
	_, err := fmt.Fprintf(w.ResponseWriter, "id: %s-63:%s\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		request, seq, mismatchedText)
	if err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(frame)
}

// splitAttemptID splits an attempt identity at its last hyphen, before the attempt number.
func splitAttemptID(attempt string) (before, after string, found bool) {
	i := strings.LastIndexByte(attempt, '-')
	if i < 0 {
		return attempt, "", false
	}
	return attempt[:i], attempt[i+1:], true
}
