// Package cfgsrv is a stand-in for the platform, which consists of a configuration service and an instance list.
package cfgsrv

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// maxCallsPerSecond is the rate that the real service allows to all readers together.
	maxCallsPerSecond = 2000
	// maxValueBytes is the size limit of a published value, in bytes.
	maxValueBytes = 1 << 20
	// maxLongPoll bounds a long poll.
	maxLongPoll = 30 * hoist.Second
)

// publishedValue is one published value.
type publishedValue struct {
	version uint64
	content []byte
}

// state is the immutable content of the platform; changed is closed when a new state replaces it.
type state struct {
	values    map[string]publishedValue
	instances value.InstanceList
	changed   chan struct{}
}

// faults is the immutable set of active faults; staleState is the content that readers see until staleEnd.
type faults struct {
	downEnd    hoist.Millis
	slowEnd    hoist.Millis
	slowMs     hoist.Millis
	staleEnd   hoist.Millis
	staleState *state
}

// Platform serves published values and the instance list.
type Platform struct {
	clock        hoist.Clock
	lag          hoist.Millis
	mu           sync.Mutex
	state        atomic.Pointer[state]
	faults       atomic.Pointer[faults]
	windowSecond atomic.Int64
	windowCalls  atomic.Int64
}

// New returns an empty platform that publishes changes of its instance list after the lag.
func New(lag hoist.Millis, clock hoist.Clock) *Platform {
	p := &Platform{clock: clock, lag: lag}
	p.state.Store(&state{values: map[string]publishedValue{}, changed: make(chan struct{})})
	p.faults.Store(&faults{})
	return p
}

// Handler returns the HTTP interface for routers and operators.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /values/{key}", p.withLimitAndFaults(p.readValue))
	m.HandleFunc("GET /instances", p.withLimitAndFaults(p.listInstances))
	m.HandleFunc("PUT /publish/{key}", p.publishValue)
	m.HandleFunc("PUT /instances", p.replaceInstances)
	m.HandleFunc("POST /fault", p.injectFault)
	return m
}

// withLimitAndFaults wraps a handler of the routers' interface with the rate limit and the active faults.
func (p *Platform) withLimitAndFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now, f := p.clock.Now(), p.faults.Load()
		if now < f.downEnd {
			panic(http.ErrAbortHandler)
		}
		if !p.admit(now) {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		if now < f.slowEnd {
			select {
			case <-p.clock.After(f.slowMs):
			case <-r.Context().Done():
				return
			}
		}
		next(w, r)
	}
}

// admit counts a call and reports whether it is within the limit of the current second.
func (p *Platform) admit(now hoist.Millis) bool {
	s := int64(now / hoist.Second)
	if old := p.windowSecond.Load(); old != s && p.windowSecond.CompareAndSwap(old, s) {
		p.windowCalls.Store(0)
	}
	return p.windowCalls.Add(1) <= maxCallsPerSecond
}

// visibleState returns the state that readers see: the current one, or the earlier one while the platform is stale.
func (p *Platform) visibleState() *state {
	if f := p.faults.Load(); p.clock.Now() < f.staleEnd {
		return f.staleState
	}
	return p.state.Load()
}

// awaitVersion returns the state as soon as its version exceeds the one in the query, or false when the wait ends first.
func (p *Platform) awaitVersion(r *http.Request, version func(*state) uint64) (*state, bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), min(hoist.Millis(waitMs), maxLongPoll).Duration())
	defer cancel()
	for {
		s := p.visibleState()
		if version(s) > after {
			return s, true
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return nil, false
		}
		if p.visibleState() == s {
			<-ctx.Done()
			return nil, false
		}
	}
}

// readValue sends a published value, after a long poll if the request asks for a later version.
func (p *Platform) readValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if _, ok := p.visibleState().values[key]; !ok && r.URL.Query().Get("after") == "" {
		http.Error(w, "unknown key", http.StatusNotFound)
		return
	}
	s, ok := p.awaitVersion(r, func(s *state) uint64 { return s.values[key].version })
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.values[key].version, 10)))
	_, _ = w.Write(s.values[key].content)
}

// listInstances sends the instance list, after a long poll if the request asks for a later version.
func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	s, ok := p.awaitVersion(r, func(s *state) uint64 { return s.instances.Version() })
	if !ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	pbjson.Write(w, instanceListMessage(s.instances))
}

// instanceListMessage returns the list in the form of the platform's protocol, which has a state instead of a leaving flag.
func instanceListMessage(l value.InstanceList) *wire.InstanceList {
	m := wire.InstanceListWire(l)
	for _, i := range m.GetInstances() {
		i.SetState("live")
		if i.GetLeaving() {
			i.SetState("leaving")
			i.SetLeaving(false)
		}
	}
	return m
}

// publishValue replaces a value; it is part of the operators' interface.
func (p *Platform) publishValue(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(b) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.update(func(s state) state {
		values := make(map[string]publishedValue, len(s.values)+1)
		for k, v := range s.values {
			values[k] = v
		}
		key := r.PathValue("key")
		values[key] = publishedValue{values[key].version + 1, b}
		s.values = values
		return s
	})
	w.WriteHeader(http.StatusNoContent)
}

// replaceInstances replaces the instance list after the lag; it is part of the operators' interface.
func (p *Platform) replaceInstances(w http.ResponseWriter, r *http.Request) {
	m := &wire.InstanceList{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	list := wire.InstanceListValue(m)
	go func() {
		<-p.clock.After(p.lag)
		p.update(func(s state) state {
			s.instances = list.WithVersion(s.instances.Version() + 1)
			return s
		})
	}()
	w.WriteHeader(http.StatusAccepted)
}

// update replaces the state and wakes the waiting readers.
func (p *Platform) update(f func(state) state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.state.Load()
	s := f(*old)
	s.changed = make(chan struct{})
	p.state.Store(&s)
	close(old.changed)
}

// injectFault activates the fault in the request body.
func (p *Platform) injectFault(w http.ResponseWriter, r *http.Request) {
	m := &message.Fault{}
	if err := pbjson.Read(r, m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f, now := *p.faults.Load(), p.clock.Now()
	switch m.WhichBody() {
	case message.Fault_Clear_case:
		f = faults{}
	case message.Fault_Down_case:
		f.downEnd = now + hoist.Millis(m.GetDown().GetMs())
	case message.Fault_Slow_case:
		f.slowEnd, f.slowMs = now+hoist.Millis(m.GetSlow().GetMs()), hoist.Millis(m.GetSlow().GetFactor())
	case message.Fault_Stale_case:
		f.staleEnd, f.staleState = now+hoist.Millis(m.GetStale().GetMs()), p.state.Load()
	default:
	}
	p.faults.Store(&f)
	w.WriteHeader(http.StatusNoContent)
}
