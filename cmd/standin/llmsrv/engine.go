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

// Settings are the parameters of one engine.
type Settings struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Queue is the number of requests that may wait inside the engine.
	Queue int
	// Speed holds the service times.
	Speed Speed
	// ReportLag is the age of load reports and cache events.
	ReportLag hoist.Millis
	// Fenced makes the engine refuse orders with old fencing numbers.
	Fenced bool
	// LoadMs is the time that loading weights takes.
	LoadMs hoist.Millis
	// Models are the models that are loaded at the start.
	Models []string
}

// State is the immutable state of an engine, published after every change.
type State struct {
	Batch  Batch
	Cache  Cache
	Orders Orders
	Faults Faults
	// At is the time at which the state was published.
	At hoist.Millis
}

// Engine serves completions from a batch. One goroutine updates the state, and handlers read the published copy.
type Engine struct {
	settings Settings
	clock    hoist.Clock
	host     *host.Host
	commands chan command
	state    atomic.Pointer[State]
	lagging  atomic.Pointer[State]
}

// command is a change that the updating goroutine applies to the state.
//
//sumtype:decl
type command interface{ isCommand() }

// submit adds a job. The positions of its tokens are sent to the channel, which is closed when the job ends or is
// cancelled.
type submit struct {
	job       Job
	prefixes  []uint64
	positions chan<- int
}

// cancel removes a job.
type cancel struct{ id string }

// applyOrder applies an order and reports the result on the channel.
type applyOrder struct {
	order  value.Order
	result chan<- error
}

// applyFault activates a fault.
type applyFault struct{ fault *message.Fault }

// takeFaults consumes the faults that apply to a new response and returns them on the channel.
type takeFaults struct{ result chan<- responseFaults }

// responseFaults are the faults of one response: the number of tokens before it is truncated, or -1, and whether it
// contains a frame of another request.
type responseFaults struct {
	truncateAfter   int
	mismatchedFrame bool
}

// importPrefixes adds an imported KV cache.
type importPrefixes struct{ prefixes []uint64 }

func (submit) isCommand()         {}
func (cancel) isCommand()         {}
func (applyOrder) isCommand()     {}
func (applyFault) isCommand()     {}
func (takeFaults) isCommand()     {}
func (importPrefixes) isCommand() {}

// New returns an engine. Run must be started before requests arrive.
func New(s Settings, clock hoist.Clock, h *host.Host) *Engine {
	e := &Engine{settings: s, clock: clock, host: h, commands: make(chan command)}
	initial := &State{Batch: NewBatch(s.Slots, s.Speed), Orders: NewOrders(s.Models, s.Fenced, s.LoadMs), At: clock.Now()}
	e.state.Store(initial)
	e.lagging.Store(initial)
	return e
}

// Run updates the state until the context ends.
func (e *Engine) Run(ctx context.Context) {
	outputs := map[string]chan<- int{}
	for {
		s := *e.state.Load()
		select {
		case <-ctx.Done():
			return
		case c := <-e.commands:
			e.apply(s, c, outputs)
		case <-e.nextTokenTimer(s):
			e.step(s, outputs)
		}
	}
}

// nextTokenTimer returns a channel that fires when the next token is due; it never fires when no job runs.
func (e *Engine) nextTokenTimer(s State) <-chan hoist.Millis {
	next, ok := s.Batch.NextTokenAt()
	if !ok {
		return nil
	}
	now := e.clock.Now()
	if end, stalled := s.Faults.Stalled(now); stalled {
		next = max(next, end)
	}
	return e.clock.After(max(0, next-now))
}

// step produces the tokens that are due.
func (e *Engine) step(s State, outputs map[string]chan<- int) {
	now := e.clock.Now()
	if _, stalled := s.Faults.Stalled(now); stalled {
		return
	}
	b, advanced := s.Batch.WithSlowdown(s.Faults.Slowdown(now)).Step(now)
	for _, j := range advanced {
		outputs[j.ID()] <- j.NextPosition()
		if j.NextPosition()+1 >= j.outputTokens {
			close(outputs[j.ID()])
			delete(outputs, j.ID())
		}
	}
	s.Batch = b
	e.publish(s, now)
}

// apply applies one command and publishes the new state.
func (e *Engine) apply(s State, c command, outputs map[string]chan<- int) {
	now := e.clock.Now()
	switch x := c.(type) {
	case submit:
		cachedTokens := s.Cache.HitBlocks(x.prefixes) * blockBytes / bytesPerToken
		x.job.promptTokens = max(0, x.job.promptTokens-cachedTokens)
		s.Cache = s.Cache.Store(x.prefixes)
		if out, ok := outputs[x.job.ID()]; ok {
			close(out)
			s.Batch = s.Batch.Cancel(x.job.ID(), now)
		}
		s.Batch = s.Batch.Submit(x.job, now)
		outputs[x.job.ID()] = x.positions
	case cancel:
		if out, ok := outputs[x.id]; ok {
			close(out)
			delete(outputs, x.id)
		}
		s.Batch = s.Batch.Cancel(x.id, now)
	case applyOrder:
		orders, err := s.Orders.Accept(x.order, now)
		s.Orders = orders
		x.result <- err
	case applyFault:
		s.Faults = s.Faults.With(x.fault, now)
	case takeFaults:
		var faults responseFaults
		s.Faults, faults.truncateAfter = s.Faults.TakeTruncation()
		s.Faults, faults.mismatchedFrame = s.Faults.TakeMismatchedFrame()
		x.result <- faults
	case importPrefixes:
		s.Cache = s.Cache.Store(x.prefixes)
	}
	e.publish(s, now)
}

// publish replaces the state, and the lagging state when that is older than twice the report lag.
func (e *Engine) publish(s State, now hoist.Millis) {
	s.At = now
	if now-e.lagging.Load().At > 2*e.settings.ReportLag {
		e.lagging.Store(e.state.Load())
	}
	e.state.Store(&s)
}

// reported returns the delayed state that load reports and cache events show.
func (e *Engine) reported() State {
	now := e.clock.Now()
	s := *e.state.Load()
	if now-s.At >= e.settings.ReportLag {
		s.At = now - e.settings.ReportLag
		return s
	}
	return *e.lagging.Load()
}

// send passes a command to the updating goroutine; it returns false when the context ends first.
func (e *Engine) send(ctx context.Context, c command) bool {
	select {
	case e.commands <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// full reports whether the engine refuses new requests because all slots and queue places are taken.
func (s State) full(queue int) bool {
	return s.Batch.Waiting().Len() >= queue && s.Batch.Running().Len() >= s.Batch.Slots()
}

// clampInt32 returns the number as an int32, the type of the protocol's counters, limited to its maximum.
func clampInt32(n int) int32 { return int32(min(n, math.MaxInt32)) }
