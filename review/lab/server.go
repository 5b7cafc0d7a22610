//go:build review

package lab

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of the protocol.
const (
	HeaderID       = "Chicoryhoist-Request-Id"
	HeaderSeal     = "Chicoryhoist-Response-Seal"
	HeaderKey      = "Chicoryhoist-Key"
	HeaderDeadline = "Chicoryhoist-Deadline-Ms"
	HeaderParts    = "Chicoryhoist-Prompt-Prefix"
	HeaderUsage    = "Chicoryhoist-Token-Usage"
	HeaderModel    = "Chicoryhoist-Model"
	headerExpect   = "Chicoryhoist-Expect-Instance"
	headerInstance = "Chicoryhoist-Instance-Id"
	headerNotRun   = "Chicoryhoist-Not-Executed"
	headerLeaving  = "Server-Leaving"
	// HeaderLastEvent resumes a stream.
	HeaderLastEvent = "Last-Event-Id"
)

// Server is a stand-in for a backend server on one loopback address.
type Server struct {
	ID, Service string
	lab         *Lab
	slots       int
	zone        int
	run         func(s *Server, w http.ResponseWriter, r *http.Request)
	mu          sync.Mutex
	address     string
	server      *http.Server
	born        time.Time
	leaving     bool
}

// AddServer starts a server that runs requests with the function, and writes its entry to the store.
func (l *Lab) AddServer(service, id string, zone, slots int, run func(*Server, http.ResponseWriter, *http.Request)) (*Server, error) {
	s := &Server{ID: id, Service: service, lab: l, zone: zone, slots: slots, run: run, address: "127.0.0.1:0"}
	if err := s.start(); err != nil {
		return nil, err
	}
	l.closers = append(l.closers, s)
	s.putEntry("ready")
	return s, nil
}

// start listens on the address of the server.
func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.address, s.born = x.Addr().String(), time.Now()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func(h *http.Server) { _ = h.Serve(x) }(s.server) // Ends with Close.
	return nil
}

// putEntry writes the entry of the server.
func (s *Server) putEntry(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lab.Store.Put("servers/"+s.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"zone-%d","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"sequence":1,"born":%d}`,
		s.Service, s.address, s.zone, s.slots, state, s.born.UnixMilli()))
}

// Drain reports in the store that the server is draining; all its responses say so, too. It returns the time of the
// acknowledgement.
func (s *Server) Drain() time.Time {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.putEntry("draining")
	s.lab.Logf("store acknowledged that %s is draining", s.ID)
	return time.Now()
}

// Unlist removes the entry of the server, which goes on serving, and returns the time of the acknowledgement.
func (s *Server) Unlist() time.Time {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.lab.Store.Remove("servers/" + s.ID)
	s.lab.Logf("store acknowledged that the entry of %s is removed", s.ID)
	return time.Now()
}

// Close ends the server and its connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	h := s.server
	s.server = nil
	return h.Close()
}

// Crash ends the server and its connections, and starts it again after the time. It returns false if it is down already.
func (s *Server) Crash(down time.Duration) bool {
	s.mu.Lock()
	running := s.server != nil
	s.mu.Unlock()
	if !running {
		return false
	}
	_ = s.Close() // Nothing is left to close after an error.
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.lab.Logf("%s could not start again: %v", s.ID, err)
			return
		}
		s.putEntry("ready")
	})
	return true
}

// serve checks that the request is for this server and runs it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A body that cannot be read ends with the connection.
	h := w.Header()
	h.Set(HeaderID, r.Header.Get(HeaderID))
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		h.Set(headerLeaving, "1")
	}
	if e := r.Header.Get(headerExpect); e != "" && e != s.ID {
		h.Set(headerInstance, s.ID)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set(HeaderSeal, fmt.Sprintf("%s.%08x", s.ID, crc32.ChecksumIEEE([]byte(r.Header.Get(HeaderID)))))
	s.run(s, w, r)
}
