// Package origin is a stand-in for a backend server of the users' platform. It responds to any request with bytes that
// are a function of the request's id, records every run, and injects faults that tests ask for.
package origin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of the protocol headers.
const (
	requestIDHeader        = "Chicoryhoist-Request-Id"
	sealHeader             = "Chicoryhoist-Response-Seal"
	notRunHeader           = "Chicoryhoist-Not-Executed"
	lastEventHeader        = "Last-Event-Id"
	expectedInstanceHeader = "Chicoryhoist-Expect-Instance"
)

// StreamPrefix is the prefix of the paths that get a stream as their response.
const StreamPrefix = "/stream/"

// EventsPerStream is the number of events in a stream.
const EventsPerStream = 12

// Fault is the fault of one request.
type Fault int

// Faults of a server.
const (
	// None serves the request.
	None Fault = iota
	// Refuse responds that the request was not run.
	Refuse
	// Reset runs the request and closes the connection without a response.
	Reset
	// Truncate closes the connection of a stream in the middle of an event.
	Truncate
	// Hang runs the request and never responds.
	Hang
	// Unsealed responds without the seal header.
	Unsealed
	// Error runs the request and responds with status 500.
	Error
	// TruncateUnnumbered closes the connection of a stream after one event without an ID.
	TruncateUnnumbered
)

// UnnumberedEvent is the event of a stream with the fault TruncateUnnumbered.
const UnnumberedEvent = "data: x\n\n"

// Run describes one run of a request by a server.
type Run struct {
	ID, Key, Workspace, Deadline, LastEventID string
}

// Log records the runs of all servers.
type Log struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns the runs of the request with the id, or all runs if the id is empty.
func (l *Log) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Run
	for _, r := range l.runs {
		if id == "" || r.ID == id {
			found = append(found, r)
		}
	}
	return found
}

// Server is one backend server.
type Server struct {
	id             string
	log            *Log
	delay          time.Duration
	mu             sync.Mutex
	fault          Fault
	faultyRequests int
	behaviour      Behaviour
	arrivals       int
}

// New returns a server that waits for the delay before each response body and after each event of a stream.
func New(id string, l *Log, delay time.Duration) *Server {
	return &Server{id: id, log: l, delay: delay}
}

// Fail applies the fault to the next n requests.
func (s *Server) Fail(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultyRequests = f, n
}

// nextFault returns the fault of the next request.
func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultyRequests == 0 {
		return None
	}
	s.faultyRequests--
	return s.fault
}

// ResponseBody returns the body of the response to the request with the id.
func ResponseBody(id string) string {
	return fmt.Sprintf("answer to %s %016x\n", id, xxhash.Sum64String(id))
}

// StreamEvent returns event n, counted from 1, of the stream for the request with the id.
func StreamEvent(id string, n int) string { return streamEvent(id, n, n) }

// streamEvent returns event n of the stream with the event ID.
func streamEvent(id string, n, eventID int) string {
	return fmt.Sprintf("id: %d\ndata: %016x\n\n", eventID, xxhash.Sum64String(id+"/"+strconv.Itoa(n)))
}

// ServeHTTP serves one request, subject to the next fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A body that can't be read ends with the connection.
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	if e := r.Header.Get(expectedInstanceHeader); e != "" && e != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f, b := s.nextFault(), s.arrive()
	if b.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if b.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if b.RetryAfter != "" {
		w.Header().Set("Retry-After", b.RetryAfter)
		f = Refuse
	}
	if f == Refuse {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.log.mu.Lock()
	s.log.runs = append(s.log.runs, Run{
		id, r.Header.Get("Chicoryhoist-Key"), r.Header.Get("Chicoryhoist-Tenant"), r.Header.Get("Chicoryhoist-Deadline-Ms"), r.Header.Get(lastEventHeader),
	})
	s.log.mu.Unlock()
	if f != Unsealed {
		w.Header().Set(sealHeader, s.id)
	}
	b.Crash.crashIfDeadly(w, r, 0)
	if b.Resume.respond(w, r) {
		return
	}
	s.serve(w, r, id, f, b)
}

// serve runs the request, subject to the fault.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string, f Fault, b Behaviour) {
	switch f {
	case Reset:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
	case Error:
		w.WriteHeader(http.StatusInternalServerError)
	case TruncateUnnumbered:
		_, _ = io.WriteString(w, UnnumberedEvent) // A caller that has disconnected needs no response.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		if strings.HasPrefix(r.URL.Path, StreamPrefix) {
			s.stream(w, r, id, f, b)
			return
		}
		time.Sleep(s.delay)
		_, _ = io.WriteString(w, ResponseBody(id)) // A caller that has disconnected needs no response.
	}
}

// stream sends the events that follow the last one that the caller has received.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, f Fault, b Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	step := max(b.IDStep, 1)
	last, err := strconv.Atoi(r.Header.Get(lastEventHeader))
	if err != nil {
		last = 0
	}
	last /= step
	control := http.NewResponseController(w)
	for n := last + 1; n <= EventsPerStream; n++ {
		e := streamEvent(id, n, n*step)
		if f == Truncate && n > last+EventsPerStream/3 {
			_, _ = io.WriteString(w, e[:len(e)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, e); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		time.Sleep(s.delay)
		b.Crash.crashIfDeadly(w, r, n-last)
	}
}
