package origin

import (
	"io"
	"net/http"
)

// Behaviour is how a server differs from a sound one, apart from the faults of single requests.
type Behaviour struct {
	// Crash describes the requests that crash the server.
	Crash Crash
	// Resume is the response to requests that resume a stream.
	Resume ResumeResponse
	// Unframed is set if responses have neither a length nor chunks and end with their connection.
	Unframed bool
	// IDStep is the step from the ID of one event of a stream to the next; zero stands for 1.
	IDStep int
	// Leaving is set if all responses say that the server is leaving.
	Leaving bool
	// RetryAfter is the Retry-After header of the refusal of every request; if it is empty, requests are served.
	RetryAfter string
}

// Crash describes the requests that crash a server, and how.
type Crash struct {
	// Deadly reports whether the request crashes the server that runs it; nil means that none does.
	Deadly func(*http.Request) bool
	// AfterHeader is set if the server sends the response header before it crashes.
	AfterHeader bool
	// AfterEvents is the number of events of a stream that the server sends before it crashes.
	AfterEvents int
	// Stop ends the process of the server.
	Stop func()
}

// ResumeResponse is the response to requests that resume a stream; a status of zero resumes them.
type ResumeResponse struct {
	Status int
	Body   string
}

// Behave replaces the behaviour of the server.
func (s *Server) Behave(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Arrivals returns the number of requests that have reached the server.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// arrive counts a request and returns the behaviour towards it.
func (s *Server) arrive() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	return s.behaviour
}

// crashIfDeadly crashes the server if the request is deadly and the events have been sent; it does not return then.
func (c Crash) crashIfDeadly(w http.ResponseWriter, r *http.Request, events int) {
	if c.Deadly == nil || events != c.AfterEvents || !c.Deadly(r) {
		return
	}
	if c.AfterHeader {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // A caller that has disconnected needs no response.
	}
	c.Stop()
	panic(http.ErrAbortHandler)
}

// respond sends the response if the request resumes a stream; it returns false if the server is to serve the request.
func (x ResumeResponse) respond(w http.ResponseWriter, r *http.Request) bool {
	if x.Status == 0 || r.Header.Get(lastEventHeader) == "" {
		return false
	}
	w.WriteHeader(x.Status)
	_, _ = io.WriteString(w, x.Body) // A caller that has disconnected needs no response.
	return true
}
