package soak

import (
	"fmt"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/value"
)

const (
	// reportEvery and reportLag are the interval and the usual age of load reports.
	reportEvery = sim.Second
	reportLag   = sim.Second
	// stallTime is the time after which a router gives up a silent connection.
	stallTime = 2 * sim.Second
	// connectTime is the time after which a router gives up an attempt to connect.
	connectTime = sim.Second
	// crashTime is the time that a server is away after content has crashed it.
	crashTime = 5 * sim.Second
	// restartTime is the time until a server that was stopped as planned is replaced.
	restartTime = 5 * sim.Second
)

// attempt is one attempt on its way to a server or there.
type attempt struct {
	id     value.Attempt
	job    *job
	router int
	server int
	prio   int32
	resume int32
	// over is set when the router has given up the attempt.
	over bool
	// first is the time of the first token, frames and shown count tokens for progress reports.
	sent, first, marked sim.Micros
	frames, shown       int32
}

// name returns the identity of the attempt inside a server.
func (a *attempt) name() string {
	return fmt.Sprintf("%x-%x-%d", a.id.Incarnation(), a.id.Request(), a.id.Number())
}

// server is one backend server: a model engine, or a plain service whose answers are a single frame.
type server struct {
	index     int
	instance  value.Instance
	epoch     int
	up        bool
	leaving   bool
	leavingAt sim.Micros
	strays    int
	batch     llmsrv.Batch
	next      hoist.Millis
	attempts  map[string]*attempt
}

// slow multiplies the service times.
func (s *server) slow(factor int) { s.batch = s.batch.WithSlowdown(factor) }

// empty returns a new batch for the kind of server.
func (s *server) empty() llmsrv.Batch {
	if s.instance.Pool() == servicePool {
		return llmsrv.NewBatch(serviceSlots, llmsrv.Speed{TokenMs: 40, PromptTokensPerMs: 8})
	}
	return llmsrv.NewBatch(engineSlots, llmsrv.Speed{TokenMs: 20, PromptTokensPerMs: 8})
}

// names returns the attempts in progress, in a fixed order.
func (s *server) names() []string {
	names := make([]string, 0, len(s.attempts))
	for n := range s.attempts {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// serve handles an event at a server.
func (w *world) serve(s *server, x work) {
	switch x := x.(type) {
	case opened:
		w.open(s, x.a)
	case dropped:
		if _, ok := s.attempts[x.a.name()]; ok {
			delete(s.attempts, x.a.name())
			s.batch = s.batch.Cancel(x.a.name(), w.loop.Now().Millis())
			w.plan(s)
			w.emptied(s)
		}
	case stepped:
		w.step(s)
	case measures:
		w.loop.After(reportEvery, toServer{s.index, s.epoch, measures{}})
		w.reportLoad(s)
	}
}

// reportLoad sends a load report to every router.
func (w *world) reportLoad(s *server) {
	if w.muted {
		return
	}
	load := value.Load{}.WithRunning(int32(s.batch.Running().Len())).WithWaiting(int32(s.batch.Waiting().Len())).
		WithSlots(int32(s.batch.Slots())).WithMeasuredMs(int64(w.loop.Now().Millis()))
	for _, p := range w.processes {
		if w.passes(s.index, p.index) {
			w.post(p, w.reportLag, reported{s.instance.Name(), load})
		}
	}
}

// open takes an attempt in, or refuses it.
func (w *world) open(s *server, a *attempt) {
	p := w.processes[a.router]
	if a.over || w.blocked[w.dc(a.router)][w.dc(s.index)] > 0 {
		w.postTo(p, a.id.Incarnation(), stallTime, closed{a.id, value.EndKindFailed})
		return
	}
	back := w.site.Between(a.router, s.index)
	if s.leaving {
		w.checkDeparture(s)
		w.postTo(p, a.id.Incarnation(), back, closed{a.id, value.EndKindLeaving})
		return
	}
	a.job.runs++
	w.checkRun(a.job)
	s.attempts[a.name()] = a
	s.batch = s.batch.Submit(llmsrv.NewJob(a.name(), a.prio, 100+int(a.resume), int(a.resume), a.job.tokens), w.loop.Now().Millis())
	w.plan(s)
}

// plan schedules the next step.
func (w *world) plan(s *server) {
	now := w.loop.Now()
	if at, ok := s.batch.NextTokenAt(); ok && (s.next <= now.Millis() || at < s.next) {
		s.next = at
		w.loop.After(sim.FromMillis(at)-now, toServer{s.index, s.epoch, stepped{}})
	}
}

// step sends the tokens that are due.
func (w *world) step(s *server) {
	now := w.loop.Now().Millis()
	if at, ok := s.batch.NextTokenAt(); !ok || at > now {
		w.plan(s)
		return
	}
	b, due := s.batch.Step(now)
	s.batch = b
	for _, j := range due {
		a := s.attempts[j.ID()]
		if a.job.group > 0 {
			w.poisonings[a.job.group].crashes++
			w.crash(s, crashTime)
			return
		}
		last := j.NextPosition()+1 >= a.job.tokens
		w.send(s, a, int32(j.NextPosition()), last)
		if last {
			delete(s.attempts, j.ID())
		}
	}
	s.next = 0
	w.plan(s)
	w.emptied(s)
}

// send sends a frame, with a frame of another request before it where that fault is in force.
func (w *world) send(s *server, a *attempt, seq int32, last bool) {
	p := w.processes[a.router]
	delay := w.site.Between(s.index, a.router)
	if w.blocked[w.dc(s.index)][w.dc(a.router)] > 0 {
		if !a.over {
			a.over = true
			w.postTo(p, a.id.Incarnation(), stallTime, closed{a.id, value.EndKindFailed})
			w.loop.After(stallTime, toServer{s.index, s.epoch, dropped{a}})
		}
		return
	}
	if s.strays > 0 {
		w.stray(s, a, seq, delay)
	}
	w.postTo(p, a.id.Incarnation(), delay, framed{a.id, a.id, seq, a.job})
	if last {
		w.postTo(p, a.id.Incarnation(), delay, closed{a.id, value.EndKindFinished})
	}
}

// stray sends frames on the connection of an attempt that belong elsewhere: one names another
// request, one names an attempt of the same request that doesn't run.
func (w *world) stray(s *server, a *attempt, seq int32, delay sim.Micros) {
	p := w.processes[a.router]
	for _, n := range s.names() {
		if other := s.attempts[n]; other != a {
			s.strays--
			w.postTo(p, a.id.Incarnation(), delay, framed{a.id, other.id, seq, other.job})
			w.postTo(p, a.id.Incarnation(), delay, framed{a.id, a.id.WithNumber(a.id.Number() + 1), seq, other.job})
			return
		}
	}
}

// crash ends a server; its attempts break and it comes back empty.
func (w *world) crash(s *server, length sim.Micros) {
	if !s.up {
		return
	}
	for _, n := range s.names() {
		a := s.attempts[n]
		w.postTo(w.processes[a.router], a.id.Incarnation(), w.site.Between(s.index, a.router), closed{a.id, value.EndKindCrashed})
	}
	w.restart(s, length)
	w.disturb(length, func(*world) {})
}

// restart takes a server away and brings it back empty.
func (w *world) restart(s *server, length sim.Micros) {
	s.epoch++
	s.up = false
	s.attempts = map[string]*attempt{}
	s.batch = s.empty()
	s.next = 0
	w.loop.After(length, heals{func(w *world) {
		s.up, s.leaving = true, false
		w.relist()
		w.loop.After(0, toServer{s.index, s.epoch, measures{}})
	}})
}

// leave begins the planned stop of a server.
func (w *world) leave(s *server) {
	if !s.up || s.leaving {
		return
	}
	s.leaving, s.leavingAt = true, w.loop.Now()
	w.relist()
	w.emptied(s)
}

// emptied replaces a leaving server once its last request has ended and its departure can be known.
func (w *world) emptied(s *server) {
	if !s.leaving || !s.up || len(s.attempts) > 0 {
		return
	}
	epoch := s.epoch
	w.loop.After(2*departureLimit, heals{func(w *world) {
		if s.epoch == epoch && s.up && len(s.attempts) == 0 {
			w.restart(s, restartTime)
		}
	}})
}
