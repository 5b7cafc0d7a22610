package bench

import (
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/quota"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// owner is the router that owns the shard.
	owner = 0
	// progressFrames is the number of frames between two progress reports, as package gate has it.
	progressFrames = 64
	// reportEvery is the interval of load reports.
	reportEvery = sim.Second
	// listLag is the lag of the instance list.
	listLag = sim.Second
)

// event is something that happens in an experiment.
//
//sumtype:decl
type event interface{ isEvent() }

// arrived means that a request reaches its router.
type arrived struct{ r *request }

// told is a dispatcher's message at the request's router.
type told struct {
	r    *request
	body value.DispatcherMessageBody
}

// heard is a gateway's message at the shard's owner.
type heard struct{ body value.GatewayMessageBody }

// begun means that an attempt reaches its server.
type begun struct {
	r *request
	a *attempt
}

// ended means that the cancellation of an attempt reaches its server.
type ended struct{ a *attempt }

// stepped means that a server's next tokens are due.
type stepped struct{ server int }

// slowed changes the speed of a server.
type slowed struct{ server, factor int }

// measured means that a server takes its load.
type measured struct{ server int }

// reported is a load report at the shard's owner.
type reported struct {
	server int
	load   value.Load
}

// timed is a timer of a request.
type timed struct {
	r     *request
	timer call.Timer
}

// tick is the wake-up of the shard's owner.
type tick struct{}

// listed means that the instance list has changed.
type listed struct{}

func (arrived) isEvent()  {}
func (told) isEvent()     {}
func (heard) isEvent()    {}
func (begun) isEvent()    {}
func (ended) isEvent()    {}
func (stepped) isEvent()  {}
func (slowed) isEvent()   {}
func (measured) isEvent() {}
func (reported) isEvent() {}
func (timed) isEvent()    {}
func (tick) isEvent()     {}
func (listed) isEvent()   {}

// attempt is one attempt on a server.
type attempt struct {
	id      value.Attempt
	server  int
	resume  int32
	frames  int32
	shown   int32
	started sim.Micros
	first   sim.Micros
	marked  sim.Micros
	over    bool
	prio    int32
}

// name returns the identity of the attempt inside the engine.
func (a *attempt) name() string {
	return strconv.FormatUint(a.id.Request(), 10) + "-" + strconv.FormatUint(uint64(a.id.Number()), 10)
}

// server is one model server.
type server struct {
	batch    llmsrv.Batch
	next     hoist.Millis
	attempts map[string]*attempt
}

// world is the state of one experiment under one scheme.
type world struct {
	// retries holds the retry state of each router.
	retries map[int]retry.State
	// meters hold the part of the limits that each router may use without a lease.
	meters   []*quota.Limiter
	scene    Scenario
	scheme   scheme
	loop     sim.EventQueue[event]
	requests []*request
	servers  []*server
	names    map[string]int
	tally    tally
}

// run plays a scenario under the named scheme.
func run(s Scenario, name string) *world {
	w := &world{scene: s, scheme: newScheme(name, s), tally: newTally(s), names: map[string]int{}}
	for i := range s.Site.Servers {
		w.names[sim.ServerName(i)] = i
		w.servers = append(w.servers, &server{batch: llmsrv.NewBatch(slots, speed), attempts: map[string]*attempt{}})
	}
	for range s.Site.Routers {
		m := quota.NewLimiter()
		m.Configure(s.view(), s.Site.Routers, 0)
		w.meters = append(w.meters, m)
	}
	w.decide(w.configured(false))
	for i, a := range s.arrivals() {
		r := newRequest(uint64(i+1), a)
		w.requests = append(w.requests, r)
		w.loop.After(a.at+s.Site.ClientLatency, arrived{r})
	}
	for _, x := range s.Slows {
		for _, i := range x.Servers {
			w.loop.After(x.From, slowed{i, x.Factor})
			w.loop.After(x.To, slowed{i, 1})
		}
	}
	for i := range w.servers {
		w.loop.After(reportEvery, measured{i})
	}
	if s.StoppedServer >= 0 {
		w.loop.After(s.StopAt+listLag, listed{})
	}
	for {
		e, ok := w.loop.Next(s.Length)
		if !ok {
			return w
		}
		w.handle(e)
	}
}

// configured returns the configuration event, with the leaving server marked.
func (w *world) configured(leaving bool) sched.Configured {
	v := w.scene.view()
	p, _ := v.Pool(pool)
	l := w.scene.Site.Instances(pool)
	if leaving {
		l = l.With(w.scene.StoppedServer, l.At(w.scene.StoppedServer).WithLeaving(true))
	}
	return sched.Configured{View: v, Pool: p, Instances: l}
}

// handle carries out one event.
func (w *world) handle(e event) {
	switch x := e.(type) {
	case arrived:
		w.arrive(x.r)
	case told:
		w.tell(x.r, x.body)
	case heard:
		w.decide(sched.MessageReceived{Body: x.body})
	case begun:
		w.begin(x.r, x.a)
	case ended:
		s := w.servers[x.a.server]
		if _, ok := s.attempts[x.a.name()]; ok {
			delete(s.attempts, x.a.name())
			s.batch = s.batch.Cancel(x.a.name(), w.loop.Now().Millis())
			w.plan(x.a.server)
		}
	case stepped:
		w.step(x.server)
	case slowed:
		w.servers[x.server].batch = w.servers[x.server].batch.WithSlowdown(x.factor)
	case measured:
		b := w.servers[x.server].batch
		load := value.Load{}.WithRunning(int32(b.Running().Len())).WithWaiting(int32(b.Waiting().Len())).
			WithSlots(slots).WithMeasuredMs(int64(w.loop.Now().Millis()))
		w.loop.After(w.scene.ReportLag, reported{x.server, load})
		w.loop.After(reportEvery, measured{x.server})
	case reported:
		w.decide(sched.LoadReported{Server: sim.ServerName(x.server), Load: x.load})
	case timed:
		w.apply(x.r, call.TimerFired{Timer: x.timer})
	case tick:
		w.decide(sched.Ticked{})
	case listed:
		w.decide(w.configured(true))
	}
}

// arrive takes a request in at its router.
func (w *world) arrive(r *request) {
	if _, ok := w.scheme.(*policy); !ok {
		w.ask(r)
		return
	}
	now := w.loop.Now().Millis()
	if _, limited := w.meters[r.router].Admit(r.class.Name, "north", int64(r.class.Prompt), now).(quota.Limited); limited {
		w.tally.finished(w, r, call.Result{Outcome: value.OutcomeNotRun, Reason: value.RefusalReasonLimit})
		return
	}
	w.apply(r, call.Started{})
}

// tell passes a dispatcher's message to the request.
func (w *world) tell(r *request, body value.DispatcherMessageBody) {
	switch b := body.(type) {
	case value.Grant:
		w.apply(r, call.Granted{Grant: b})
	case value.Refusal:
		w.apply(r, call.Refused{Refusal: b})
	case value.Preempt:
		w.apply(r, call.Preempted{Attempt: b.Attempt()})
	case value.Query:
	}
}

// apply passes an event to a request's state machine and carries out the effects.
func (w *world) apply(r *request, e call.Event) {
	state, effects := r.state.Decide(e, w.loop.Now().Millis())
	r.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case call.Send:
			w.tally.sent(w, r, x.Body)
			w.loop.After(w.scene.Site.Between(r.router, owner), heard{x.Body})
		case call.Start:
			w.start(r, &attempt{id: x.Grant.Attempt(), server: w.names[x.Grant.Server()], resume: x.Resume, prio: x.Grant.Priority()})
		case call.Stop:
			if a := r.attempt(x.Attempt); a != nil {
				w.stop(a)
			}
		case call.SetTimer:
			w.loop.After(sim.FromMillis(x.Delay), timed{r, x.Timer})
		case call.NotifyRetry:
			w.consult(r, x.Event)
		case call.Finish:
			w.meters[r.router].Release(r.class.Name, "north", int64(x.Result.Emitted), w.loop.Now().Millis())
			w.tally.finished(w, r, x.Result)
		}
	}
}

// consult passes an event to the retry state of the request's router and the answer back.
func (w *world) consult(r *request, e retry.Event) {
	if w.retries == nil {
		w.retries = map[int]retry.State{}
	}
	s, ok := w.retries[r.router]
	if !ok {
		s = retry.New(retry.Limits{})
	}
	s, verdict := s.Decide(e, w.loop.Now().Millis())
	w.retries[r.router] = s
	if _, none := verdict.(retry.None); !none {
		w.apply(r, call.RetryDecided{Verdict: verdict})
	}
}

// assign starts a request of a baseline on a server.
func (w *world) assign(r *request, server int, prio int32) {
	r.server = server
	w.start(r, &attempt{id: r.state.Ask().Attempt().WithNumber(1), server: server, prio: prio})
}

// start sends an attempt to its server.
func (w *world) start(r *request, a *attempt) {
	r.attempts = append(r.attempts, a)
	a.started = w.loop.Now()
	w.tally.started(w, a)
	w.loop.After(w.scene.Site.Between(r.router, a.server), begun{r, a})
}

// stop cancels an attempt.
func (w *world) stop(a *attempt) {
	a.over = true
	w.loop.After(w.scene.Site.Between(w.requests[a.id.Request()-1].router, a.server), ended{a})
}

// begin submits an attempt to its server's batch.
func (w *world) begin(r *request, a *attempt) {
	if a.over {
		return
	}
	s := w.servers[a.server]
	s.attempts[a.name()] = a
	job := llmsrv.NewJob(a.name(), a.prio, r.class.Prompt+int(a.resume), int(a.resume), r.tokens)
	s.batch = s.batch.Submit(job, w.loop.Now().Millis())
	w.plan(a.server)
}

// plan schedules a server's next step.
func (w *world) plan(i int) {
	s := w.servers[i]
	if at, ok := s.batch.NextTokenAt(); ok && (s.next <= w.loop.Now().Millis() || at < s.next) {
		s.next = at
		w.loop.After(timeUntil(w.loop.Now(), at), stepped{i})
	}
}

// timeUntil returns the length of time until a point in whole milliseconds.
func timeUntil(now sim.Micros, at hoist.Millis) sim.Micros { return sim.FromMillis(at) - now }

// step delivers the tokens of a server that are due.
//
// A frame is offered to the request at once and stamped with its later arrival,
// because the order of frames on one connection doesn't change on the way.
func (w *world) step(i int) {
	s := w.servers[i]
	now := w.loop.Now().Millis()
	if at, ok := s.batch.NextTokenAt(); !ok || at > now {
		w.plan(i)
		return
	}
	b, due := s.batch.Step(now)
	s.batch = b
	for _, j := range due {
		a := s.attempts[j.ID()]
		r := w.requests[a.id.Request()-1]
		last := j.NextPosition()+1 >= r.tokens
		if last {
			delete(s.attempts, j.ID())
		}
		w.frame(r, a, int32(j.NextPosition()))
		if last && !a.over {
			w.close(r, a)
		}
	}
	s.next = 0
	w.plan(i)
}

// frame offers one frame to its request.
func (w *world) frame(r *request, a *attempt, seq int32) {
	w.tally.produced(w)
	if a.over {
		w.tally.lost(w, 1)
		return
	}
	a.frames++
	at := w.loop.Now() + w.scene.Site.Between(a.server, r.router)
	if _, ok := w.scheme.(*policy); !ok {
		w.tally.token(w, r, at)
		return
	}
	state, verdict := r.state.Accept(a.id, seq)
	if verdict == call.VerdictFirst {
		w.apply(r, call.FirstFrame{Attempt: a.id})
		state, verdict = r.state.Accept(a.id, seq)
	}
	if verdict != call.VerdictEmit {
		w.tally.lost(w, 1)
		return
	}
	r.state = state
	w.tally.token(w, r, at)
	w.progress(r, a, at)
}

// progress reports the frames of an attempt as package gate does.
func (w *world) progress(r *request, a *attempt, at sim.Micros) {
	if a.frames == 1 {
		a.first = at - a.started
	}
	if a.frames != 1 && a.frames-a.shown < progressFrames {
		return
	}
	p := value.Progress{}.WithAttempt(a.id).WithTokens(a.frames).WithShard("shard").
		WithFirstTokenMs(int64(a.first.Millis()))
	if a.shown > 0 {
		p = p.WithInterTokenMs(int64((at - a.marked).Millis()) / int64(a.frames-a.shown))
	}
	a.shown, a.marked = a.frames, at
	w.loop.After(at-w.loop.Now()+w.scene.Site.Between(r.router, owner), heard{p})
}

// close reports the whole answer of an attempt.
func (w *world) close(r *request, a *attempt) {
	a.over = true
	if _, ok := w.scheme.(*policy); ok {
		w.apply(r, call.AttemptEnded{Attempt: a.id, Kind: value.EndKindFinished})
		return
	}
	w.tally.finished(w, r, call.Result{Outcome: value.OutcomeRan})
	w.release(r)
}
