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
	// maxQueuedParts bounds the parts queued for a slow caller; when the queue is full, reading from the backend server stops.
	maxQueuedParts = 16
	// framesPerReport is the number of frames between progress reports.
	framesPerReport = 64
)

// queuedPart is a part of an attempt's response, or the attempt's end if part is nil.
type queuedPart struct {
	attempt value.Attempt
	part    engine.Item
	endKind value.EndKind
}

// session runs one request in the goroutine of its caller.
type session struct {
	*Gateway
	state       call.State
	work        engine.Call
	sink        Sink
	parts       chan queuedPart
	done        chan struct{}
	result      call.Result
	timers      map[call.Timer]hoist.Millis
	wake        <-chan hoist.Millis
	nextTimer   call.Timer
	dispatchers map[uint32]Dispatcher
	// formerDispatchers holds the earlier dispatchers of each attempt, by attempt number like dispatchers.
	formerDispatchers map[uint32][]Dispatcher
	streams           map[uint32]*stream
	startedAt         hoist.Millis
	record            value.RequestRecord
	checks            requestChecks

	// mutex guards events and ended; other goroutines append events without waiting for the session.
	mutex  sync.Mutex
	events []func()
	signal chan struct{}
	ended  bool
}

// stream is one attempt in progress on a server.
type stream struct {
	cancel          context.CancelFunc
	startedAt       hoist.Millis
	reportedAt      hoist.Millis
	frames          int32
	reportedFrames  int32
	firstFrameDelay hoist.Millis
}

// newSession returns the session of a request that has not started.
func newSession(g *Gateway, ask value.Ask, work engine.Call, sink Sink) *session {
	return &session{
		Gateway:           g,
		state:             call.New(ask),
		checks:            newRequestChecks(ask),
		work:              work,
		sink:              sink,
		parts:             make(chan queuedPart, maxQueuedParts),
		done:              make(chan struct{}),
		timers:            map[call.Timer]hoist.Millis{},
		dispatchers:       map[uint32]Dispatcher{},
		formerDispatchers: map[uint32][]Dispatcher{},
		streams:           map[uint32]*stream{},
		signal:            make(chan struct{}, 1),
	}
}

// enqueue queues a function for the session's goroutine; it reports false if the request has ended.
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

// post queues an event for the state machine.
func (s *session) post(e call.Event) bool {
	return s.enqueue(func() { s.apply(e) })
}

// reportHoldings sends the attempts in progress to a dispatcher that has acquired the shard.
//
// The local fallback queue gets no further messages of these attempts and must release their slots now.
// Otherwise it would count them forever and have no free slot in the next outage. A former owner keeps
// them, because it queries the attempts again before it grants.
func (s *session) reportHoldings(shard string, to Dispatcher) {
	s.enqueue(func() {
		if s.state.Ask().Shard() != shard {
			return
		}
		for _, h := range s.state.Holdings() {
			id := h.Ask().Attempt()
			if old := s.dispatchers[id.Number()]; old.Local && old != to {
				s.sender.Send(old, value.End{}.WithAttempt(id).WithKind(value.EndKindCancelled).
					WithTokens(h.Tokens()).WithShard(shard))
			}
			s.changeDispatcher(id.Number(), to)
			s.sender.Send(to, h)
		}
	})
}

// maxFormerDispatchers bounds the former dispatchers that are notified of an attempt's end.
const maxFormerDispatchers = 3

// changeDispatcher sends later messages of an attempt to another dispatcher. The former one is still notified of the
// attempt's end: a router that wrongly takes the owner for failed queries the attempts too, and without the end the
// owner would never release the slot.
func (s *session) changeDispatcher(n uint32, to Dispatcher) {
	old, known := s.dispatchers[n]
	if known && !old.Local && old != to {
		s.formerDispatchers[n] = append(s.formerDispatchers[n], old)
		if len(s.formerDispatchers[n]) > maxFormerDispatchers {
			s.formerDispatchers[n] = s.formerDispatchers[n][1:]
		}
	}
	s.dispatchers[n] = to
}

// dispatcherLost applies OwnerLost to every attempt of the dispatcher.
func (s *session) dispatcherLost(lost Dispatcher) {
	s.enqueue(func() {
		for n, d := range s.dispatchers {
			if d == lost {
				s.apply(call.OwnerLost{Attempt: s.state.Ask().Attempt().WithNumber(n)})
			}
		}
	})
}

// run processes events, response parts and timers until the request has finished.
func (s *session) run(ctx context.Context) call.Result {
	defer s.finish()
	s.startRecord()
	s.apply(call.Started{})
	disconnected := ctx.Done()
	for !s.state.Done() {
		select {
		case <-disconnected:
			disconnected = nil
			s.apply(call.CallerDisconnected{})
		case <-s.signal:
			s.runEvents()
		case p := <-s.parts:
			s.handlePart(p)
		case <-s.wake:
			timer := s.nextTimer
			delete(s.timers, timer)
			s.armTimer()
			s.apply(call.TimerFired{Timer: timer})
		}
	}
	return s.result
}

// finish rejects further events, applies the queued ones to the finished state machine and cancels every attempt.
func (s *session) finish() {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	s.runEvents()
	close(s.done)
	for _, st := range s.streams {
		st.cancel()
	}
}

// runEvents runs the queued functions.
func (s *session) runEvents() {
	s.mutex.Lock()
	events := s.events
	s.events = nil
	s.mutex.Unlock()
	for _, f := range events {
		f()
	}
}

// armTimer sets wake to fire when the next timer expires; without a timer, wake blocks forever.
func (s *session) armTimer() {
	s.wake, s.nextTimer = nil, nil
	for t, at := range s.timers {
		if s.nextTimer == nil || at < s.timers[s.nextTimer] {
			s.nextTimer = t
		}
	}
	if s.nextTimer != nil {
		s.wake = s.clock.After(max(s.timers[s.nextTimer]-s.clock.Now(), 0))
	}
}

// clearTimers removes every timer; those set so far are obsolete after the first frame.
func (s *session) clearTimers() {
	clear(s.timers)
	s.wake, s.nextTimer = nil, nil
}

// apply applies an event to the state machine and performs the effects.
func (s *session) apply(e call.Event) {
	s.recordEvent(e)
	state, effects := s.state.Decide(e, s.clock.Now())
	s.state = state
	for _, x := range effects {
		s.recordEffect(x)
		s.perform(x)
	}
}

// perform performs one effect.
func (s *session) perform(x call.Effect) {
	switch x := x.(type) {
	case call.Send:
		s.send(x.Body)
	case call.Start:
		s.checks.checkStart(x.Grant.Attempt())
		s.startAttempt(x)
	case call.Stop:
		s.stopAttempt(x.Attempt)
	case call.NotifyRetry:
		s.applyVerdict(s.updateRetry(x.Event))
	case call.SetTimer:
		s.timers[x.Timer] = s.clock.Now() + x.Delay
		s.armTimer()
	case call.Finish:
		s.checks.checkFinish(x.Result)
		s.result = x.Result
	}
}

// applyVerdict applies the verdict of the retry state unless it is None.
func (s *session) applyVerdict(v retry.Verdict) {
	if _, none := v.(retry.None); !none {
		s.apply(call.RetryDecided{Verdict: v})
	}
}

// send sends a message to the dispatcher of its attempt; an End also goes to the former dispatchers.
func (s *session) send(body value.GatewayMessageBody) {
	switch b := body.(type) {
	case value.Ask:
		d, err := s.sender.Ask(context.Background(), b)
		if err != nil {
			s.post(call.OwnerLost{Attempt: b.Attempt()})
			return
		}
		s.dispatchers[b.Attempt().Number()] = d
	case value.End:
		n := b.Attempt().Number()
		for _, d := range append(s.formerDispatchers[n], s.dispatchers[n]) {
			s.sender.Send(d, b)
		}
		delete(s.dispatchers, n)
		delete(s.formerDispatchers, n)
	case value.Withdraw:
		s.sender.Send(s.dispatchers[b.Attempt().Number()], b)
	case value.Progress:
		s.sender.Send(s.dispatchers[b.Attempt().Number()], b)
	case value.Holding:
		s.sender.Send(s.dispatchers[b.Ask().Attempt().Number()], b)
	}
}
