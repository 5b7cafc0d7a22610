// Package appsrv is a stand-in for a plain service; it counts how often each call was run.
package appsrv

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
)

// maxBodyBytes bounds a request body, in bytes.
const maxBodyBytes = 8 << 20

// Service responds to every call with a function of its method, path and number; the query parameter "call" carries the
// number.
type Service struct {
	clock  hoist.Clock
	host   *host.Host
	delay  hoist.Millis
	faults atomic.Pointer[faults]
	mu     sync.Mutex
	runs   map[string]int32
}

// faults is the immutable set of active faults.
type faults struct {
	slowdown    int
	slowEnd     hoist.Millis
	refuseEnd   hoist.Millis
	stallEnd    hoist.Millis
	crash       *message.Crash
	truncations int
	leaving     bool
}

// New returns a service whose calls take the delay.
func New(delay hoist.Millis, clock hoist.Clock, h *host.Host) *Service {
	s := &Service{clock: clock, host: h, delay: delay, runs: map[string]int32{}}
	s.faults.Store(&faults{})
	return s
}

// ResponseBody returns the body with which the service responds to the call.
func ResponseBody(method, path, callNumber string) string {
	return fmt.Sprintf("%s %s %s %016x\n", method, path, callNumber, xxhash.Sum64String(method+path+callNumber))
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /executions", s.listExecutions)
	m.HandleFunc("POST /fault", s.injectFault)
	m.HandleFunc("/", s.serveCall)
	return m
}

// serveCall records a run of one call and serves it, subject to the active faults.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f, now := s.faults.Load(), s.clock.Now()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case f.leaving:
		w.Header().Set("X-Leaving", "true")
		w.Header().Set("X-Not-Started", "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	case now < f.refuseEnd:
		w.Header().Set("X-Not-Started", "true")
		http.Error(w, "full", http.StatusTooManyRequests)
		return
	}
	number := r.URL.Query().Get("call")
	s.recordRun(number)
	if f.crash != nil && strings.Contains(string(body)+r.URL.RawQuery, f.crash.GetText()) {
		s.host.Crash(hoist.Millis(f.crash.GetMs()))
		<-r.Context().Done()
		return
	}
	if !s.awaitServiceTime(r, f, now) {
		return
	}
	if s.takeTruncation() {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, ResponseBody(r.Method, r.URL.Path, number))
}

// awaitServiceTime waits for the service time; it returns false when the caller disconnects first.
func (s *Service) awaitServiceTime(r *http.Request, f *faults, now hoist.Millis) bool {
	delay := s.delay
	if now < f.slowEnd {
		delay *= hoist.Millis(max(1, f.slowdown))
	}
	delay += max(0, f.stallEnd-now)
	select {
	case <-s.clock.After(delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// takeTruncation reports whether the response is truncated, and consumes one truncation.
func (s *Service) takeTruncation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := *s.faults.Load()
	if f.truncations == 0 {
		return false
	}
	f.truncations--
	s.faults.Store(&f)
	return true
}

// recordRun counts a run of the call.
func (s *Service) recordRun(number string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[number]++
}

// listExecutions sends the number of runs of each call.
func (s *Service) listExecutions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := maps.Clone(s.runs)
	s.mu.Unlock()
	items := make([]*message.Execution, 0, len(runs))
	for _, k := range slices.Sorted(maps.Keys(runs)) {
		x := &message.Execution{}
		x.SetCall(k)
		x.SetRuns(runs[k])
		items = append(items, x)
	}
	m := &message.Executions{}
	m.SetExecutions(items)
	pbjson.Write(w, m)
}

// injectFault activates the fault in the request body.
func (s *Service) injectFault(w http.ResponseWriter, r *http.Request) {
	m := &message.Fault{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults.Load().withFault(m, s.clock.Now())
	s.faults.Store(&f)
	w.WriteHeader(http.StatusNoContent)
}

// withFault returns the faults after a fault command.
func (f faults) withFault(m *message.Fault, now hoist.Millis) faults {
	switch m.WhichBody() {
	case message.Fault_Clear_case:
		return faults{}
	case message.Fault_Slow_case:
		f.slowdown, f.slowEnd = int(m.GetSlow().GetFactor()), now+hoist.Millis(m.GetSlow().GetMs())
	case message.Fault_Crash_case:
		f.crash = m.GetCrash()
	case message.Fault_Refuse_case:
		f.refuseEnd = now + hoist.Millis(m.GetRefuse().GetMs())
	case message.Fault_Stall_case:
		f.stallEnd = now + hoist.Millis(m.GetStall().GetMs())
	case message.Fault_Cut_case:
		f.truncations = int(m.GetCut().GetCount())
	case message.Fault_Leave_case:
		f.leaving = true
	default:
	}
	return f
}
