package gate

import (
	"context"
	"sync"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

const (
	// itemQueue bounds the frames that wait for a slow caller before the backend server is held back.
	itemQueue = 16
	// progressFrames is the number of frames between two progress reports.
	progressFrames = 64
)

// item is a part of an attempt's answer on its way to the caller, or the attempt's end when part is nil.
type item struct {
	attempt value.Attempt
	part    engine.Item
	kind    value.EndKind
}

// session runs one request in the goroutine of its caller.
type session struct {
	*Gateway
	state  call.State
	work   engine.Call
	sink   Sink
	items  chan item
	done   chan struct{}
	result call.Result
	timers map[call.Timer]hoist.Millis
	wake   <-chan hoist.Millis
	due    call.Timer
	routes map[uint32]Dispatcher
	// former holds the dispatchers that an attempt was reported to before its present route.
	former map[uint32][]Dispatcher
	live   map[uint32]*stream
	began  hoist.Millis
	record value.RequestRecord
	ledger ledger

	// mutex guards events, which other goroutines append to without blocking.
	mutex  sync.Mutex
	events []func()
	signal chan struct{}
	ended  bool
}

// stream is one attempt in progress on a server.
type stream struct {
	cancel  context.CancelFunc
	started hoist.Millis
	marked  hoist.Millis
	frames  int32
	shown   int32
	first   hoist.Millis
}

// newSession returns the session of a request that has not started.
func newSession(g *Gateway, ask value.Ask, work engine.Call, sink Sink) *session {
	return &session{
		Gateway: g,
		state:   call.New(ask),
		ledger:  newLedger(ask),
		work:    work,
		sink:    sink,
		items:   make(chan item, itemQueue),
		done:    make(chan struct{}),
		timers:  map[call.Timer]hoist.Millis{},
		routes:  map[uint32]Dispatcher{},
		former:  map[uint32][]Dispatcher{},
		live:    map[uint32]*stream{},
		signal:  make(chan struct{}, 1),
	}
}

// enqueue passes work to the session's goroutine; it reports false when the request has ended.
func (s *session) enqueue(f func()) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return false
	}
	s.events = append(s.events, f)
	select {
	case s.signal <- struct{}{}:
	default:
	}
	return true
}

// post passes an event to the state machine.
func (s *session) post(e call.Event) bool {
	return s.enqueue(func() { s.apply(e) })
}

// query answers a dispatcher that has taken over the shard with the attempts in progress.
//
// The own fallback queue gets no further messages of these attempts, so it must free their
// slots now: it would otherwise count them until it has none left for the next outage. A
// former owner keeps them, because it asks again before it grants.
func (s *session) query(shard string, to Dispatcher) {
	s.enqueue(func() {
		if s.state.Ask().Shard() != shard {
			return
		}
		for _, h := range s.state.Holdings() {
			id := h.Ask().Attempt()
			if old := s.routes[id.Number()]; old.Local && old != to {
				s.sender.Send(old, value.End{}.WithAttempt(id).WithKind(value.EndKindCancelled).
					WithTokens(h.Tokens()).WithShard(shard))
			}
			s.reroute(id.Number(), to)
			s.sender.Send(to, h)
		}
	})
}

// maxFormer bounds the former dispatchers that hear of an attempt's end.
const maxFormer = 3

// reroute moves the messages of an attempt to another dispatcher. The former one still hears of the
// end: a router that wrongly counts the owner as failed also asks, and the owner would keep the slot.
func (s *session) reroute(n uint32, to Dispatcher) {
	old, known := s.routes[n]
	if known && !old.Local && old != to {
		s.former[n] = append(s.former[n], old)
		if len(s.former[n]) > maxFormer {
			s.former[n] = s.former[n][1:]
		}
	}
	s.routes[n] = to
}

// lose reports the loss of a dispatcher for every attempt that it received.
func (s *session) lose(lost Dispatcher) {
	s.enqueue(func() {
		for n, r := range s.routes {
			if r == lost {
				s.apply(call.OwnerLost{Attempt: s.state.Ask().Attempt().WithNumber(n)})
			}
		}
	})
}

// run processes events, frames and timers until the request has finished.
func (s *session) run(ctx context.Context) call.Result {
	defer s.end()
	s.begin()
	s.apply(call.Started{})
	gone := ctx.Done()
	for !s.state.Done() {
		select {
		case <-gone:
			gone = nil
			s.apply(call.CallerDisconnected{})
		case <-s.signal:
			s.drain()
		case i := <-s.items:
			s.receive(i)
		case <-s.wake:
			timer := s.due
			delete(s.timers, timer)
			s.arm()
			s.apply(call.TimerFired{Timer: timer})
		}
	}
	return s.result
}

// end refuses further events, hands the late ones to the finished state machine and cancels every attempt.
func (s *session) end() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.drain()
	close(s.done)
	for _, l := range s.live {
		l.cancel()
	}
}

// drain runs the queued events.
func (s *session) drain() {
	s.mutex.Lock()
	events := s.events
	s.events = nil
	s.mutex.Unlock()
	for _, f := range events {
		f()
	}
}

// arm makes wake fire when the first timer runs out; wake blocks forever when there is none.
func (s *session) arm() {
	s.wake, s.due = nil, nil
	for t, at := range s.timers {
		if s.due == nil || at < s.timers[s.due] {
			s.due = t
		}
	}
	if s.due != nil {
		s.wake = s.clock.After(max(s.timers[s.due]-s.clock.Now(), 0))
	}
}

// disarm drops every timer; they only matter before the first frame.
func (s *session) disarm() {
	clear(s.timers)
	s.wake, s.due = nil, nil
}

// apply passes an event to the state machine and performs the effects.
func (s *session) apply(e call.Event) {
	s.noteEvent(e)
	state, effects := s.state.Decide(e, s.clock.Now())
	s.state = state
	for _, x := range effects {
		s.noteEffect(x)
		s.perform(x)
	}
}

// perform carries out one effect.
func (s *session) perform(x call.Effect) {
	switch x := x.(type) {
	case call.Send:
		s.send(x.Body)
	case call.Start:
		s.ledger.checkStart(x.Grant.Attempt())
		s.start(x)
	case call.Stop:
		s.stop(x.Attempt)
	case call.NotifyRetry:
		s.advise(s.consult(x.Event))
	case call.SetTimer:
		s.timers[x.Timer] = s.clock.Now() + x.Delay
		s.arm()
	case call.Finish:
		s.ledger.checkFinish(x.Result)
		s.result = x.Result
	}
}

// advise passes the answer to a question on; other events have none.
func (s *session) advise(v retry.Verdict) {
	if _, none := v.(retry.None); !none {
		s.apply(call.RetryDecided{Verdict: v})
	}
}

// send passes a message to the dispatcher of its attempt.
func (s *session) send(body value.GatewayMessageBody) {
	switch b := body.(type) {
	case value.Ask:
		r, err := s.sender.Ask(context.Background(), b)
		if err != nil {
			s.post(call.OwnerLost{Attempt: b.Attempt()})
			return
		}
		s.routes[b.Attempt().Number()] = r
	case value.End:
		n := b.Attempt().Number()
		for _, r := range append(s.former[n], s.routes[n]) {
			s.sender.Send(r, b)
		}
		delete(s.routes, n)
		delete(s.former, n)
	case value.Withdraw:
		s.sender.Send(s.routes[b.Attempt().Number()], b)
	case value.Progress:
		s.sender.Send(s.routes[b.Attempt().Number()], b)
	case value.Holding:
		s.sender.Send(s.routes[b.Ask().Attempt().Number()], b)
	}
}
