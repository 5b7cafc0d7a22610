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
	// lowestPort and portRange lie below the range from which Linux takes the ports of outgoing connections,
	// so that a router which starts again finds its port free.
	lowestPort = 20000
	portRange  = 12000
	// portTries bounds the search for a free port.
	portTries = 200
)

// given holds the ports that freeAddress has returned, because their owners may not listen yet.
var given sync.Map

// freeAddress returns a loopback address that nothing listens on, a different one each time.
func freeAddress() (string, error) {
	for range portTries {
		port := lowestPort + rand.N(portRange)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String(), nil
	}
	return "", eris.Errorf("no free port after %d tries", portTries)
}

// server is one stand-in that runs inside this program.
type server struct {
	*host.Host
	name    string
	address string
	// late adds frames of other attempts and repeated frames to every answer.
	late   atomic.Bool
	mutex  sync.Mutex
	starts []hoist.Millis
}

// serve runs a stand-in on a free address until ctx ends; build returns its handler.
func (f *fleet) serve(ctx context.Context, name string, build func(*host.Host) http.Handler) (*server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &server{name: name, address: address, Host: host.New(address, f.clock)}
	handler := build(s.Host)
	f.standins.Go(func() {
		if err := s.Run(ctx, s.watched(handler, f.clock)); err != nil {
			f.report("stand-in %s: %v", name, err)
		}
	})
	return s, nil
}

// engine starts a model engine.
func (f *fleet) engine(ctx context.Context, name string, slots int, speed llmsrv.Speed) (*server, error) {
	return f.serve(ctx, name, func(h *host.Host) http.Handler {
		e := llmsrv.New(llmsrv.Settings{
			Slots: slots, Queue: 64, Speed: speed, ReportLag: 2 * hoist.Second, Fenced: true, LoadMs: 5 * hoist.Second,
			Models: []string{model},
		}, f.clock, h)
		f.standins.Go(func() { e.Run(ctx) })
		return e.Handler()
	})
}

// watched notes the start of each request of a caller and disturbs its answer.
func (s *server) watched(next http.Handler, clock hoist.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/completions") {
			s.mutex.Lock()
			s.starts = append(s.starts, clock.Now())
			s.mutex.Unlock()
			if s.late.Load() {
				w = &lateWriter{ResponseWriter: w, attempt: r.Header.Get("X-Request-Id")}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// startsAfter returns the number of requests that have arrived after the time.
func (s *server) startsAfter(at hoist.Millis) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for _, t := range s.starts {
		if t > at {
			n++
		}
	}
	return n
}

// strayText is the content of frames that must never reach a caller.
const strayText = "STRAY"

// lateWriter adds a frame of another attempt of the same request before each frame.
type lateWriter struct {
	http.ResponseWriter
	attempt string
}

// Unwrap lets the response controller reach the flusher.
func (w *lateWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a frame behind a stray one.
func (w *lateWriter) Write(frame []byte) (int, error) {
	if !bytes.HasPrefix(frame, []byte("id: "+w.attempt+":")) {
		return w.ResponseWriter.Write(frame)
	}
	request, _, _ := cutLast(w.attempt)
	seq, _, _ := bytes.Cut(frame[len("id: "+w.attempt+":"):], []byte("\n"))
	_, err := fmt.Fprintf(w.ResponseWriter, "id: %s-63:%s\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
		request, seq, strayText)
	if err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(frame)
}

// cutLast splits an attempt identity before its attempt number.
func cutLast(attempt string) (before, after string, found bool) {
	i := strings.LastIndexByte(attempt, '-')
	if i < 0 {
		return attempt, "", false
	}
	return attempt[:i], attempt[i+1:], true
}
