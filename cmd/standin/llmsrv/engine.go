package llmsrv

import (
	"context"
	"math"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/value"
)

// Settings of one engine.
type Settings struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that may wait inside the engine.
	Queue int
	// Speed holds the service times.
	Speed Speed
	// ReportLag is the age of load reports and cache events.
	ReportLag hoist.Millis
	// Fenced engines refuse orders with old fencing numbers.
	Fenced bool
	// LoadMs is the time to load weights.
	LoadMs hoist.Millis
	// Models that the engine carries at the start.
	Models []string
}

// State is the immutable state of an engine, published after every change.
type State struct {
	Batch  Batch
	Cache  Cache
	Orders Orders
	Faults Faults
	// At is the time of the state.
	At hoist.Millis
}

// Engine runs a batch; one goroutine updates the state, and handlers read the published one.
type Engine struct {
	settings Settings
	clock    hoist.Clock
	host     *host.Host
	commands chan command
	state    atomic.Pointer[State]
	lagging  atomic.Pointer[State]
}

// command is a change that the updater goroutine applies.
//
//sumtype:decl
type command interface{ isCommand() }

// submit adds a job; its tokens go to the channel, which is closed when the job is cancelled.
type submit struct {
	job      Job
	prefixes []uint64
	out      chan<- int
}

// cancel removes a job.
type cancel struct{ id string }

// instruct carries an order and the channel for its result.
type instruct struct {
	order  value.Order
	result chan<- error
}

// disturb carries a fault.
type disturb struct{ fault *message.Fault }

// take asks for the faults that a new answer suffers; both are used up by it.
type take struct{ result chan<- taken }

// taken holds the tokens before a cut, or -1, and whether a foreign frame is sent.
type taken struct {
	cut   int
	stray bool
}

// store adds an imported KV cache.
type store struct{ prefixes []uint64 }

func (submit) isCommand()   {}
func (cancel) isCommand()   {}
func (instruct) isCommand() {}
func (disturb) isCommand()  {}
func (take) isCommand()     {}
func (store) isCommand()    {}

// New returns an engine; Run must be started before requests arrive.
func New(s Settings, clock hoist.Clock, h *host.Host) *Engine {
	e := &Engine{settings: s, clock: clock, host: h, commands: make(chan command)}
	first := &State{Batch: NewBatch(s.Slots, s.Speed), Orders: NewOrders(s.Models, s.Fenced, s.LoadMs), At: clock.Now()}
	e.state.Store(first)
	e.lagging.Store(first)
	return e
}

// Run updates the state until the context ends.
func (e *Engine) Run(ctx context.Context) {
	outs := map[string]chan<- int{}
	for {
		s := *e.state.Load()
		select {
		case <-ctx.Done():
			return
		case c := <-e.commands:
			e.apply(s, c, outs)
		case <-e.wake(s):
			e.step(s, outs)
		}
	}
}

// wake returns a channel that fires at the next token; it never fires when nothing runs.
func (e *Engine) wake(s State) <-chan hoist.Millis {
	at, ok := s.Batch.NextTokenAt()
	if !ok {
		return nil
	}
	now := e.clock.Now()
	if end, stalled := s.Faults.Stalled(now); stalled {
		at = max(at, end)
	}
	return e.clock.After(max(0, at-now))
}

// step produces the tokens that are due.
func (e *Engine) step(s State, outs map[string]chan<- int) {
	now := e.clock.Now()
	if _, stalled := s.Faults.Stalled(now); stalled {
		return
	}
	b, due := s.Batch.WithSlowdown(s.Faults.Slowdown(now)).Step(now)
	for _, j := range due {
		outs[j.ID()] <- j.NextPosition()
		if j.NextPosition()+1 >= j.length {
			close(outs[j.ID()])
			delete(outs, j.ID())
		}
	}
	s.Batch = b
	e.publish(s, now)
}

// apply carries out one command.
func (e *Engine) apply(s State, c command, outs map[string]chan<- int) {
	now := e.clock.Now()
	switch x := c.(type) {
	case submit:
		hit := s.Cache.HitBlocks(x.prefixes) * blockBytes / bytesPerToken
		x.job.prompt = max(0, x.job.prompt-hit)
		s.Cache = s.Cache.Store(x.prefixes)
		if out, ok := outs[x.job.ID()]; ok {
			close(out)
			s.Batch = s.Batch.Cancel(x.job.ID(), now)
		}
		s.Batch = s.Batch.Submit(x.job, now)
		outs[x.job.ID()] = x.out
	case cancel:
		if out, ok := outs[x.id]; ok {
			close(out)
			delete(outs, x.id)
		}
		s.Batch = s.Batch.Cancel(x.id, now)
	case instruct:
		orders, err := s.Orders.Accept(x.order, now)
		s.Orders = orders
		x.result <- err
	case disturb:
		s.Faults = s.Faults.With(x.fault, now)
	case take:
		var t taken
		s.Faults, t.cut = s.Faults.TakeTruncation()
		s.Faults, t.stray = s.Faults.TakeMismatchedFrame()
		x.result <- t
	case store:
		s.Cache = s.Cache.Store(x.prefixes)
	}
	e.publish(s, now)
}

// publish replaces the state, and the lagging one when that has become too old.
func (e *Engine) publish(s State, now hoist.Millis) {
	s.At = now
	if now-e.lagging.Load().At > 2*e.settings.ReportLag {
		e.lagging.Store(e.state.Load())
	}
	e.state.Store(&s)
}

// reported returns the state that load reports and cache events show.
func (e *Engine) reported() State {
	now := e.clock.Now()
	s := *e.state.Load()
	if now-s.At >= e.settings.ReportLag {
		s.At = now - e.settings.ReportLag
		return s
	}
	return *e.lagging.Load()
}

// send passes a command to the updater, or returns false when the context ends first.
func (e *Engine) send(ctx context.Context, c command) bool {
	select {
	case e.commands <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// full reports whether the engine refuses new requests for lack of room.
func (s State) full(queue int) bool {
	return s.Batch.Waiting().Len() >= queue && s.Batch.Running().Len() >= s.Batch.Slots()
}

// clamp returns the length as the type of the protocol's counters.
func clamp(n int) int32 { return int32(min(n, math.MaxInt32)) }
