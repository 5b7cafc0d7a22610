//go:build review

package lab2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a backend server that behaves as the pages say: it checks the expected instance, echoes the id of the request,
// signs its answer, and records what it has run.
type Server struct {
	ID, Service string
	Slots       int
	// Work is the time of a plain request, and of each event of a stream.
	Work time.Duration
	// Events is the number of events of an answer; zero answers with a plain body.
	Events int
	// Deadly reports whether a request crashes the server that begins to run it.
	Deadly func(r *http.Request) bool
	// DeadlyAfter is the time for which the server reads the prompt of a deadly request before it begins its answer and crashes.
	DeadlyAfter time.Duration
	// Silent makes a crash silent: the server neither answers nor closes anything until it is back.
	Silent bool
	// Ran is called when the server begins to run a request, and Crashed when one has crashed it.
	Ran, Crashed func(s *Server, r *http.Request)

	lab     *Lab
	store   *Store
	mu      sync.Mutex
	address string
	l       net.Listener
	conns   map[net.Conn]bool
	// down is closed when a silent server is back; nil means that it runs.
	down chan struct{}
}

// backAfter is the time after which a crashed server is back; the pages say some seconds.
const backAfter = 2 * time.Second

// StartServer starts the server and writes its entry to the store.
func (l *Lab) StartServer(store *Store, s *Server) *Server {
	s.lab, s.store, s.address = l, store, "127.0.0.1:0"
	s.start()
	return s
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	for range 100 {
		if s.l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	Must(err)
	s.address, s.conns = s.l.Addr().String(), map[net.Conn]bool{}
	go s.accept(s.l)
	// A server that has started again under its id tells a new time of its start.
	s.store.PutServer(s.ID, s.Service, s.address, "ready", s.Slots, time.Now().UnixMilli())
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// crash ends all connections and refuses new ones until the server is back. A server that crashes sends nothing to the store.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.l == nil || s.down != nil {
		return
	}
	if s.Silent {
		s.down = make(chan struct{})
		time.AfterFunc(backAfter, func() {
			s.mu.Lock()
			close(s.down)
			s.down = nil
			s.end()
			s.mu.Unlock()
			s.start()
		})
		return
	}
	s.end()
	time.AfterFunc(backAfter, s.start)
}

// end resets all connections and refuses new ones.
func (s *Server) end() {
	_ = s.l.Close()
	s.l = nil
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// hold blocks while the server is silent, and reports whether it was.
func (s *Server) hold() bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down == nil {
		return false
	}
	<-down
	return true
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil || s.hold() {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Chicoryhoist-Request-Id")
		if e := r.Header.Get("Chicoryhoist-Expect-Instance"); e != "" && e != s.ID {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nChicoryhoist-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id); err != nil {
				return
			}
			continue
		}
		if s.Ran != nil {
			s.Ran(s, r)
		}
		if s.Deadly != nil && s.Deadly(r) {
			time.Sleep(s.DeadlyAfter)
			s.Crashed(s, r)
			s.crash()
			s.hold()
			return
		}
		if !s.answer(c, id) {
			return
		}
	}
}

// answer sends a complete answer.
func (s *Server) answer(c net.Conn, id string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nChicoryhoist-Request-Id: %s\r\nChicoryhoist-Response-Seal: seal-of-%s\r\nChicoryhoist-Server-Load: 1,0,%d\r\n", id, s.ID, s.Slots)
	if s.Events == 0 {
		time.Sleep(s.Work)
		if s.hold() {
			return false
		}
		body := Body(id)
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err == nil
	}
	if _, err := io.WriteString(c, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := range s.Events {
		if s.hold() {
			return false
		}
		e := Event(id, n+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		time.Sleep(s.Work)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// Body returns the body of the plain answer to a request.
func Body(id string) string { return "answer to " + id + "\n" }

// Event returns an event of the stream for a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }
