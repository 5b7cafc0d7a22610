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
	// shardOwner is the number of the router that owns the shard.
	shardOwner = 0
	// progressIntervalFrames is the number of frames between two progress reports; it equals that of package gate.
	progressIntervalFrames = 64
	// loadReportInterval is the interval at which a server reports its load.
	loadReportInterval = sim.Second
	// instanceListLag is the delay until a change of an instance shows in the instance list.
	instanceListLag = sim.Second
)

// event is an event of the simulation.
//
//sumtype:decl
type event interface{ isEvent() }

// requestArrived occurs when a request reaches its router.
type requestArrived struct{ r *request }

// dispatcherMessage occurs when a message of the dispatcher reaches the request's router.
type dispatcherMessage struct {
	r    *request
	body value.DispatcherMessageBody
}

// gatewayMessage occurs when a message of a router's gateway reaches the shard owner.
type gatewayMessage struct{ body value.GatewayMessageBody }

// attemptArrived occurs when an attempt reaches its server.
type attemptArrived struct {
	r *request
	a *attempt
}

// cancelArrived occurs when the cancellation of an attempt reaches its server.
type cancelArrived struct{ a *attempt }

// stepDue occurs when a server may have produced its next tokens.
type stepDue struct{ server int }

// speedChanged sets the slowdown factor of a server.
type speedChanged struct{ server, factor int }

// loadMeasured occurs when a server measures its load.
type loadMeasured struct{ server int }

// loadReported occurs when a load report reaches the shard owner.
type loadReported struct {
	server int
	load   value.Load
}

// timerFired occurs when a timer of a request expires.
type timerFired struct {
	r     *request
	timer call.Timer
}

// ownerTick occurs at the time for which the shard owner requested to be woken.
type ownerTick struct{}

// instancesListed occurs when the shard owner receives the instance list in which the stopped server is leaving.
type instancesListed struct{}

func (requestArrived) isEvent()    {}
func (dispatcherMessage) isEvent() {}
func (gatewayMessage) isEvent()    {}
func (attemptArrived) isEvent()    {}
func (cancelArrived) isEvent()     {}
func (stepDue) isEvent()           {}
func (speedChanged) isEvent()      {}
func (loadMeasured) isEvent()      {}
func (loadReported) isEvent()      {}
func (timerFired) isEvent()        {}
func (ownerTick) isEvent()         {}
func (instancesListed) isEvent()   {}

// attempt is one sending of a request to one server.
type attempt struct {
	id               value.Attempt
	server           int
	resumedTokens    int32
	frames           int32
	reportedFrames   int32
	startedAt        sim.Micros
	timeToFirstToken sim.Micros
	reportedAt       sim.Micros
	ended            bool
	priority         int32
}

// jobID returns the identifier of the attempt in the server's batch.
func (a *attempt) jobID() string {
	return strconv.FormatUint(a.id.Request(), 10) + "-" + strconv.FormatUint(uint64(a.id.Number()), 10)
}

// server is one model server.
type server struct {
	batch    llmsrv.Batch
	nextStep hoist.Millis
	attempts map[string]*attempt
}

// world is the state of one experiment under one scheme.
type world struct {
	// retries holds the retry state of each router.
	retries map[int]retry.State
	// limiters hold for each router the part of the limits that it may use without a lease.
	limiters    []*quota.Limiter
	scenario    Scenario
	scheme      scheme
	queue       sim.EventQueue[event]
	requests    []*request
	servers     []*server
	serverIndex map[string]int
	tally       tally
}

// runScenario simulates a scenario under the named scheme.
func runScenario(s Scenario, name string) *world {
	w := &world{scenario: s, scheme: newScheme(name, s), tally: newTally(s), serverIndex: map[string]int{}}
	for i := range s.Site.Servers {
		w.serverIndex[sim.ServerName(i)] = i
		w.servers = append(w.servers, &server{batch: llmsrv.NewBatch(slotsPerServer, serverSpeed), attempts: map[string]*attempt{}})
	}
	for range s.Site.Routers {
		limiter := quota.NewLimiter()
		limiter.Configure(s.view(), s.Site.Routers, 0)
		w.limiters = append(w.limiters, limiter)
	}
	w.decide(w.configured(false))
	for i, a := range s.drawArrivals() {
		r := newRequest(uint64(i+1), a)
		w.requests = append(w.requests, r)
		w.queue.After(a.sentAt+s.Site.ClientLatency, requestArrived{r})
	}
	for _, slowdown := range s.Slowdowns {
		for _, i := range slowdown.Servers {
			w.queue.After(slowdown.From, speedChanged{i, slowdown.Factor})
			w.queue.After(slowdown.To, speedChanged{i, 1})
		}
	}
	for i := range w.servers {
		w.queue.After(loadReportInterval, loadMeasured{i})
	}
	if s.StoppedServer >= 0 {
		w.queue.After(s.StopAt+instanceListLag, instancesListed{})
	}
	for {
		e, ok := w.queue.Next(s.Duration)
		if !ok {
			return w
		}
		w.handle(e)
	}
}

// configured returns the configuration event; if leaving is set, the stopped server is marked as leaving.
func (w *world) configured(leaving bool) sched.Configured {
	view := w.scenario.view()
	pool, _ := view.Pool(poolName)
	instances := w.scenario.Site.Instances(poolName)
	if leaving {
		instances = instances.With(w.scenario.StoppedServer, instances.At(w.scenario.StoppedServer).WithLeaving(true))
	}
	return sched.Configured{View: view, Pool: pool, Instances: instances}
}

// handle processes one event.
func (w *world) handle(e event) {
	switch x := e.(type) {
	case requestArrived:
		w.arrive(x.r)
	case dispatcherMessage:
		w.deliver(x.r, x.body)
	case gatewayMessage:
		w.decide(sched.MessageReceived{Body: x.body})
	case attemptArrived:
		w.submit(x.r, x.a)
	case cancelArrived:
		s := w.servers[x.a.server]
		if _, ok := s.attempts[x.a.jobID()]; ok {
			delete(s.attempts, x.a.jobID())
			s.batch = s.batch.Cancel(x.a.jobID(), w.queue.Now().Millis())
			w.scheduleStep(x.a.server)
		}
	case stepDue:
		w.step(x.server)
	case speedChanged:
		w.servers[x.server].batch = w.servers[x.server].batch.WithSlowdown(x.factor)
	case loadMeasured:
		batch := w.servers[x.server].batch
		load := value.Load{}.WithRunning(int32(batch.Running().Len())).WithWaiting(int32(batch.Waiting().Len())).
			WithSlots(slotsPerServer).WithMeasuredMs(int64(w.queue.Now().Millis()))
		w.queue.After(w.scenario.ReportLag, loadReported{x.server, load})
		w.queue.After(loadReportInterval, loadMeasured{x.server})
	case loadReported:
		w.decide(sched.LoadReported{Server: sim.ServerName(x.server), Load: x.load})
	case timerFired:
		w.apply(x.r, call.TimerFired{Timer: x.timer})
	case ownerTick:
		w.decide(sched.Ticked{})
	case instancesListed:
		w.decide(w.configured(true))
	}
}

// arrive admits a request at its router; limits apply under the policy only.
func (w *world) arrive(r *request) {
	if _, ok := w.scheme.(*policy); !ok {
		w.place(r)
		return
	}
	now := w.queue.Now().Millis()
	if _, limited := w.limiters[r.router].Admit(r.class.Name, "north", int64(r.class.PromptTokens), now).(quota.Limited); limited {
		w.tally.requestFinished(w, r, call.Result{Outcome: value.OutcomeNotRun, Reason: value.RefusalReasonLimit})
		return
	}
	w.apply(r, call.Started{})
}

// deliver passes a dispatcher's message to the state machine of the request.
func (w *world) deliver(r *request, body value.DispatcherMessageBody) {
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

// apply passes an event to a request's state machine and executes the effects.
func (w *world) apply(r *request, e call.Event) {
	state, effects := r.state.Decide(e, w.queue.Now().Millis())
	r.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case call.Send:
			w.tally.messageSent(w, r, x.Body)
			w.queue.After(w.scenario.Site.OneWayLatency(r.router, shardOwner), gatewayMessage{x.Body})
		case call.Start:
			w.start(r, &attempt{
				id: x.Grant.Attempt(), server: w.serverIndex[x.Grant.Server()], resumedTokens: x.Resume, priority: x.Grant.Priority(),
			})
		case call.Stop:
			if a := r.attempt(x.Attempt); a != nil {
				w.stop(a)
			}
		case call.SetTimer:
			w.queue.After(sim.FromMillis(x.Delay), timerFired{r, x.Timer})
		case call.NotifyRetry:
			w.notifyRetry(r, x.Event)
		case call.Finish:
			w.limiters[r.router].Release(r.class.Name, "north", int64(x.Result.Emitted), w.queue.Now().Millis())
			w.tally.requestFinished(w, r, x.Result)
		}
	}
}

// notifyRetry passes an event to the retry state of the request's router and returns the verdict, if any, to the request.
func (w *world) notifyRetry(r *request, e retry.Event) {
	if w.retries == nil {
		w.retries = map[int]retry.State{}
	}
	s, ok := w.retries[r.router]
	if !ok {
		s = retry.New(retry.Limits{})
	}
	s, verdict := s.Decide(e, w.queue.Now().Millis())
	w.retries[r.router] = s
	if _, none := verdict.(retry.None); !none {
		w.apply(r, call.RetryDecided{Verdict: verdict})
	}
}

// assign starts a request on the server that a baseline scheme has chosen.
func (w *world) assign(r *request, server int, priority int32) {
	r.server = server
	w.start(r, &attempt{id: r.state.Ask().Attempt().WithNumber(1), server: server, priority: priority})
}

// start sends an attempt to its server.
func (w *world) start(r *request, a *attempt) {
	r.attempts = append(r.attempts, a)
	a.startedAt = w.queue.Now()
	w.tally.attemptStarted(w, a)
	w.queue.After(w.scenario.Site.OneWayLatency(r.router, a.server), attemptArrived{r, a})
}

// stop cancels an attempt.
func (w *world) stop(a *attempt) {
	a.ended = true
	w.queue.After(w.scenario.Site.OneWayLatency(w.requests[a.id.Request()-1].router, a.server), cancelArrived{a})
}

// submit adds an attempt that has reached its server to the server's batch, unless it was cancelled on the way.
func (w *world) submit(r *request, a *attempt) {
	if a.ended {
		return
	}
	s := w.servers[a.server]
	s.attempts[a.jobID()] = a
	job := llmsrv.NewJob(a.jobID(), a.priority, r.class.PromptTokens+int(a.resumedTokens), int(a.resumedTokens), r.outputTokens)
	s.batch = s.batch.Submit(job, w.queue.Now().Millis())
	w.scheduleStep(a.server)
}

// scheduleStep schedules the next step of a server, unless an earlier one is scheduled already.
func (w *world) scheduleStep(i int) {
	s := w.servers[i]
	if wakeAt, ok := s.batch.NextTokenAt(); ok && (s.nextStep <= w.queue.Now().Millis() || wakeAt < s.nextStep) {
		s.nextStep = wakeAt
		w.queue.After(timeUntil(w.queue.Now(), wakeAt), stepDue{i})
	}
}

// timeUntil returns the duration from now until a point in whole milliseconds.
func timeUntil(now sim.Micros, until hoist.Millis) sim.Micros { return sim.FromMillis(until) - now }

// step produces the due tokens of a server and delivers them.
//
// A frame is delivered to the request at once but carries the later time of its arrival.
// This is valid because frames of one connection arrive in the order of sending.
func (w *world) step(i int) {
	s := w.servers[i]
	now := w.queue.Now().Millis()
	if wakeAt, ok := s.batch.NextTokenAt(); !ok || wakeAt > now {
		w.scheduleStep(i)
		return
	}
	batch, jobs := s.batch.Step(now)
	s.batch = batch
	for _, job := range jobs {
		a := s.attempts[job.ID()]
		r := w.requests[a.id.Request()-1]
		last := job.NextPosition()+1 >= r.outputTokens
		if last {
			delete(s.attempts, job.ID())
		}
		w.deliverFrame(r, a, int32(job.NextPosition()))
		if last && !a.ended {
			w.complete(r, a)
		}
	}
	s.nextStep = 0
	w.scheduleStep(i)
}

// deliverFrame delivers one frame to its request; the frames of an ended attempt count as lost.
func (w *world) deliverFrame(r *request, a *attempt, seq int32) {
	w.tally.tokenProduced(w)
	if a.ended {
		w.tally.tokensLost(w, 1)
		return
	}
	a.frames++
	receivedAt := w.queue.Now() + w.scenario.Site.OneWayLatency(a.server, r.router)
	if _, ok := w.scheme.(*policy); !ok {
		w.tally.tokenReceived(w, r, receivedAt)
		return
	}
	state, verdict := r.state.Accept(a.id, seq)
	if verdict == call.VerdictFirst {
		w.apply(r, call.FirstFrame{Attempt: a.id})
		state, verdict = r.state.Accept(a.id, seq)
	}
	if verdict != call.VerdictEmit {
		w.tally.tokensLost(w, 1)
		return
	}
	r.state = state
	w.tally.tokenReceived(w, r, receivedAt)
	w.reportProgress(r, a, receivedAt)
}

// reportProgress sends progress reports at the same frames as package gate: the first one and then every progressIntervalFrames.
func (w *world) reportProgress(r *request, a *attempt, receivedAt sim.Micros) {
	if a.frames == 1 {
		a.timeToFirstToken = receivedAt - a.startedAt
	}
	if a.frames != 1 && a.frames-a.reportedFrames < progressIntervalFrames {
		return
	}
	progress := value.Progress{}.WithAttempt(a.id).WithTokens(a.frames).WithShard("shard").
		WithFirstTokenMs(int64(a.timeToFirstToken.Millis()))
	if a.reportedFrames > 0 {
		progress = progress.WithInterTokenMs(int64((receivedAt - a.reportedAt).Millis()) / int64(a.frames-a.reportedFrames))
	}
	a.reportedFrames, a.reportedAt = a.frames, receivedAt
	w.queue.After(receivedAt-w.queue.Now()+w.scenario.Site.OneWayLatency(r.router, shardOwner), gatewayMessage{progress})
}

// complete ends the request with the complete response of an attempt.
func (w *world) complete(r *request, a *attempt) {
	a.ended = true
	if _, ok := w.scheme.(*policy); ok {
		w.apply(r, call.AttemptEnded{Attempt: a.id, Kind: value.EndKindFinished})
		return
	}
	w.tally.requestFinished(w, r, call.Result{Outcome: value.OutcomeRan})
	w.release(r)
}
