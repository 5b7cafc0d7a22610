package soak

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// beatEvery and suspectAfter are the default timing of the settings.
	beatEvery    = 500 * sim.Millisecond
	suspectAfter = 2 * sim.Second
	// pollEvery is the interval at which a process reads the platform.
	pollEvery = sim.Second
	// progressFrames is the number of frames between two progress reports, as package gate has it.
	progressFrames = 64
)

// request is one request at its gateway.
type request struct {
	job      *job
	state    call.State
	routes   map[uint32]route
	attempts map[uint32]*attempt
	// former holds the dispatchers that were told of an attempt before its present route.
	former map[uint32][]route
	// idle is the time since which the request has had no server.
	idle sim.Micros
	// overdue is set once the request has been reported as waiting for too long.
	overdue bool
}

// running reports whether an attempt of the request is on a server.
func (r *request) running() bool { return len(r.attempts) > 0 }

// without removes an attempt.
func (r *request) without(number uint32, now sim.Micros) {
	delete(r.attempts, number)
	r.idle = now
}

// shard is the scheduling state of one shard at a process.
type shard struct {
	state sched.State
	owned bool
	wake  hoist.Millis
	// leaked is set while the table holds slots for attempts that no gateway runs.
	leaked bool
}

// peer is what a process knows about another one.
type peer struct {
	member value.Member
	heard  sim.Micros
}

// process is one router process.
type process struct {
	index       int
	name        string
	incarnation uint64
	up          bool
	leaving     bool
	started     sim.Micros
	pausedUntil sim.Micros
	version     config.Version
	config      *config.View
	instances   value.List[value.Instance]
	members     *member.View
	peers       map[int]peer
	departed    map[string]bool
	requests    map[uint64]*request
	last        uint64
	records     idem.State
	// retries bounds the extra attempts of the gateway, guard keeps crash-inducing content from the shards.
	retries retry.State
	guard   retry.Guard
	// items holds what heartbeats spread about content.
	items map[uint64]item
	// broken holds the incarnations of peers whose stream has ended, by router.
	broken map[int]uint64
	owned  map[string]*shard
	local  map[string]*shard
}

// order returns the numbers of the requests in progress, in order.
func (p *process) order() []uint64 { return slices.Sorted(maps.Keys(p.requests)) }

// drain begins the planned stop.
func (p *process) drain() {
	if p.up {
		p.leaving = true
	}
}

// self returns the route to the process's own shards.
func (p *process) self() route { return route{p.index, p.incarnation, false} }

// record returns the member record of the process.
func (p *process) record(s sim.Site) value.Member {
	return value.Member{}.WithName(p.name).WithIncarnation(p.incarnation).WithRegion("central").
		WithDatacentre(s.Datacentre(p.index)).WithLeaving(p.leaving).
		WithGeneration(p.version.Generation).WithDigest(p.version.Digest)
}

// handle carries out an event at a process.
func (w *world) handle(p *process, x input) {
	switch x := x.(type) {
	case taken:
		w.take(p, x)
	case asked:
		w.hear(p, x)
	case answered:
		w.tell(p, x)
	case beaten:
		w.heartbeat(p, x)
	case framed:
		w.frame(p, x)
	case closed:
		w.ended(p, x)
	case timed:
		if r, ok := p.requests[x.request]; ok {
			w.apply(p, x.request, r, call.TimerFired{Timer: x.timer})
		}
	case lost:
		w.lose(p, x.route)
		w.unlink(p, x.route)
	case ticked:
		if s := p.shards(x.local)[x.shard]; s != nil {
			w.decide(p, x.shard, x.local, sched.Ticked{})
		}
	case beats:
		w.beat(p)
	case polls:
		w.poll(p)
	case reported:
		for _, key := range slices.Sorted(maps.Keys(p.owned)) {
			w.decide(p, key, false, sched.LoadReported{Server: x.server, Load: x.load})
		}
	}
}

// shards returns the owned or the local shards.
func (p *process) shards(local bool) map[string]*shard {
	if local {
		return p.local
	}
	return p.owned
}

// take begins a caller's request; a call with a token runs at its issuer only.
func (w *world) take(p *process, x taken) {
	j := x.job
	if j.token == (idem.Token{}) {
		w.begin(p, j)
		return
	}
	next, verdict := p.records.Decide(idem.Arrived{Token: j.token, Fingerprint: uint64(j.number)}, w.loop.Now().Millis())
	p.records = next
	switch v := verdict.(type) {
	case idem.Run:
		w.begin(p, j)
	case idem.Join:
		w.repeats["join"]++
	case idem.Replay:
		w.repeats["replay"]++
	case idem.Forward:
		w.forward(p, v.Issuer, x)
	case idem.Refuse:
		w.repeats["refuse"]++
		w.check(invar.HonestOutcome, v.Outcome != value.OutcomeNotRun || j.runs == 0,
			"call %d is reported as not run and was begun %d times", j.number, j.runs)
	}
}

// forward passes a call on to the issuer of its token, or leaves it as unknown.
func (w *world) forward(p *process, issuer uint64, x taken) {
	for _, m := range p.members.Members() {
		if m.Incarnation() == issuer && x.hops == 0 {
			w.repeats["forward"]++
			w.transmit(p, w.routeOf(m), taken{x.job, 1})
			return
		}
	}
	w.repeats["unreachable"]++
}

// begin starts a request at its gateway.
func (w *world) begin(p *process, j *job) {
	pool := enginePool
	if !j.repeatable {
		pool = servicePool
	}
	shards := p.members.PoolShards(pool)
	if len(shards) == 0 || p.config == nil {
		return
	}
	p.last++
	id := value.Attempt{}.WithIncarnation(p.incarnation).WithRequest(p.last)
	ask := value.Ask{}.WithAttempt(id).WithShard(shards[0].Key).WithClass(j.class).WithWorkspace("north").
		WithModel(model).WithPromptTokens(100).WithRepeatable(j.repeatable).
		WithFingerprint(uint64(j.number)).WithDatacentre(w.site.Datacentre(p.index))
	if j.group > 0 {
		ask = ask.WithFingerprint(poisonPrint + uint64(j.group))
	}
	r := &request{job: j, state: call.New(ask), routes: map[uint32]route{}, former: map[uint32][]route{}, attempts: map[uint32]*attempt{}, idle: j.at}
	p.requests[p.last] = r
	w.apply(p, p.last, r, call.Started{})
}

// apply passes an event to a request and carries out the effects.
func (w *world) apply(p *process, number uint64, r *request, e call.Event) {
	state, effects := r.state.Decide(e, w.loop.Now().Millis())
	r.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case call.Send:
			w.pass(p, r, x.Body)
		case call.Start:
			w.start(p, r, x)
		case call.Stop:
			w.stop(r, x.Attempt.Number())
		case call.SetTimer:
			w.post(p, sim.FromMillis(x.Delay), timed{number, x.Timer})
		case call.NotifyRetry:
			w.consult(p, number, r, x.Event)
		case call.Finish:
			w.outcomes[x.Result.Outcome]++
			if x.Result.Outcome == value.OutcomeNotRun {
				w.reasons[x.Result.Reason]++
			}
			w.checkEnd(p, r.job, x.Result)
			if r.job.group > 0 {
				w.resend(r.job.group)
			}
			if r.job.token != (idem.Token{}) {
				answer := value.ForwardAnswer{}.WithOutcome(x.Result.Outcome)
				p.records, _ = p.records.Decide(idem.Completed{Token: r.job.token, Answer: answer}, w.loop.Now().Millis())
			}
			delete(p.requests, number)
		}
	}
}

// consult passes an event to the process's retry state and the answer back to the request.
func (w *world) consult(p *process, number uint64, r *request, e retry.Event) {
	s, verdict := p.retries.Decide(e, w.loop.Now().Millis())
	p.retries = s
	if _, none := verdict.(retry.None); !none {
		w.apply(p, number, r, call.RetryDecided{Verdict: verdict})
	}
}

// pass sends a gateway's message to the dispatcher of its attempt; an ask finds the owner, or the local queue.
func (w *world) pass(p *process, r *request, body value.GatewayMessageBody) {
	key := r.state.Ask().Shard()
	if a, ok := body.(value.Ask); ok {
		to := route{p.index, p.incarnation, true}
		if m, ok := p.members.Owner(key); ok {
			to = w.routeOf(m)
		}
		r.routes[a.Attempt().Number()] = to
		w.transmit(p, to, asked{p.self(), key, body})
		return
	}
	number := numberOf(body)
	if to, ok := r.routes[number]; ok {
		w.transmit(p, to, asked{p.self(), key, body})
	}
	if _, ok := body.(value.End); ok {
		// A former owner may still count the attempt, because the one that took over was wrong about it.
		for _, to := range r.former[number] {
			w.transmit(p, to, asked{p.self(), key, body})
		}
	}
}

// numberOf returns the attempt number of a gateway's message.
func numberOf(body value.GatewayMessageBody) uint32 {
	switch b := body.(type) {
	case value.Ask:
		return b.Attempt().Number()
	case value.Progress:
		return b.Attempt().Number()
	case value.End:
		return b.Attempt().Number()
	case value.Withdraw:
		return b.Attempt().Number()
	case value.Holding:
		return b.Ask().Attempt().Number()
	}
	return 0
}

// hear handles a gateway's message at a dispatcher.
func (w *world) hear(p *process, x asked) {
	local := x.from.router == p.index && x.from.local
	s := p.shards(local)[x.shard]
	if a, ok := x.body.(value.Ask); ok {
		if local && s == nil {
			s = w.fallback(p, x.shard)
		}
		if s == nil || (!local && !s.owned) {
			w.transmit(p, x.from, answered{p.self(), value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved)})
			return
		}
		guard, admitted, refusal := p.guard.Admit(a, w.loop.Now().Millis())
		p.guard = guard
		if refusal != nil {
			w.transmit(p, x.from, answered{p.self(), refusal})
			return
		}
		x.body = admitted
	}
	if e, ok := x.body.(value.End); ok && s != nil {
		w.charge(p, s, e)
	}
	if s != nil {
		w.decide(p, x.shard, local, sched.MessageReceived{Body: x.body})
	}
}

// fallback starts the local queue of a shard, with this router's part of the slots.
func (w *world) fallback(p *process, key string) *shard {
	p.local[key] = &shard{state: sched.New(key)}
	w.configure(p, key, true)
	return p.local[key]
}

// configure brings a shard up to date.
func (w *world) configure(p *process, key string, local bool) {
	for _, s := range p.members.Shards() {
		pool, ok := p.config.Pool(s.Pool)
		if s.Key != key || !ok {
			continue
		}
		if local {
			pool = pool.WithSlots(max(1, pool.Slots()/int32(max(1, len(p.members.Members())))))
		}
		w.decide(p, key, local, sched.Configured{View: p.config, Pool: pool, Instances: s.Servers})
	}
}

// decide passes an event to a shard and sends the messages that it causes.
func (w *world) decide(p *process, key string, local bool, e sched.Event) {
	s := p.shards(local)[key]
	now := w.loop.Now()
	state, effects := s.state.Decide(e, now.Millis())
	w.checkOrder(s.state, state, e, effects)
	s.state = state
	from := route{p.index, p.incarnation, local}
	for _, x := range effects {
		if to, ok := w.gatewayOf(x); ok {
			w.transmit(p, to, answered{from, x})
		}
	}
	if at, ok := state.Wake(); ok && (s.wake <= now.Millis() || at < s.wake) {
		s.wake = max(at, now.Millis()+1)
		w.post(p, sim.FromMillis(s.wake)-now, ticked{key, local})
	}
}

// tell handles a dispatcher's message at a gateway.
func (w *world) tell(p *process, x answered) {
	switch b := x.body.(type) {
	case value.Grant:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.apply(p, b.Attempt().Request(), r, call.Granted{Grant: b})
			return
		}
		end := value.End{}.WithAttempt(b.Attempt()).WithKind(value.EndKindCancelled).WithShard(b.Shard())
		w.transmit(p, x.from, asked{p.self(), b.Shard(), end})
	case value.Refusal:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.apply(p, b.Attempt().Request(), r, call.Refused{Refusal: b})
		}
	case value.Preempt:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.apply(p, b.Attempt().Request(), r, call.Preempted{Attempt: b.Attempt()})
		}
	case value.Query:
		w.hold(p, x.from, b.Shard())
	}
}

// hold reports the attempts in progress to the new owner of a shard.
func (w *world) hold(p *process, to route, key string) {
	for _, n := range p.order() {
		r := p.requests[n]
		if r.state.Ask().Shard() != key {
			continue
		}
		for _, h := range r.state.Holdings() {
			number := h.Ask().Attempt().Number()
			if old := r.routes[number]; old != to && !slices.Contains(r.former[number], old) {
				r.former[number] = append(r.former[number], old)
			}
			r.routes[number] = to
			w.transmit(p, to, asked{p.self(), key, h})
		}
	}
}

// lose tells requests that their dispatcher cannot be reached.
func (w *world) lose(p *process, gone route) {
	for _, n := range p.order() {
		r := p.requests[n]
		for _, k := range slices.Sorted(maps.Keys(r.routes)) {
			if r.routes[k] == gone {
				w.apply(p, n, r, call.OwnerLost{Attempt: r.state.Ask().Attempt().WithNumber(k)})
			}
		}
	}
}

// unlink handles the end of the stream to or from a peer: a shard's owner forgets the gateway's attempts,
// because it will hear of no end any more, and the gateway reports them again once the link works.
func (w *world) unlink(p *process, gone route) {
	p.broken[gone.router] = gone.incarnation
	for _, key := range slices.Sorted(maps.Keys(p.owned)) {
		w.decide(p, key, false, sched.GatewayLost{Incarnation: gone.incarnation})
	}
}

// relink reports the attempts in progress to a peer whose link works again.
func (w *world) relink(p *process, m value.Member) {
	to := w.routeOf(m)
	if p.broken[to.router] != to.incarnation {
		return
	}
	delete(p.broken, to.router)
	for _, s := range p.members.Shards() {
		if owner, ok := p.members.Owner(s.Key); ok && owner.Name() == m.Name() {
			w.hold(p, to, s.Key)
		}
	}
}

// start opens an attempt on a server.
func (w *world) start(p *process, r *request, x call.Start) {
	id := x.Grant.Attempt()
	s := w.serverNamed(x.Grant.Server())
	a := &attempt{id: id, job: r.job, router: p.index, server: s.index, prio: x.Grant.Priority(), resume: x.Resume, sent: w.loop.Now()}
	r.attempts[id.Number()] = a
	from, to := w.dc(p.index), w.dc(s.index)
	switch {
	case w.blocked[from][to] > 0 || w.blocked[to][from] > 0:
		w.post(p, connectTime, closed{id, value.EndKindUnreachable})
	case !s.up:
		w.post(p, w.site.OneWayLatency(p.index, s.index)*2, closed{id, value.EndKindUnreachable})
	default:
		// A server that goes before the start arrives breaks the connection; the epoch tells it apart.
		w.loop.After(w.site.OneWayLatency(p.index, s.index), toServer{s.index, s.epoch, opened{a}})
	}
}

// stop cancels an attempt's connection.
func (w *world) stop(r *request, number uint32) {
	a, ok := r.attempts[number]
	if !ok {
		return
	}
	r.without(number, w.loop.Now())
	s := w.servers[a.server]
	w.loop.After(w.site.OneWayLatency(a.router, a.server), toServer{a.server, s.epoch, dropped{a}})
}

// frame offers a frame to its request, if it names one.
func (w *world) frame(p *process, x framed) {
	// Package engine drops frames that name another attempt than the one the connection is for.
	r, ok := p.requests[x.id.Request()]
	if !ok || x.id != x.connection {
		w.staleFrames++
		return
	}
	state, verdict := r.state.Accept(x.id, x.seq)
	if verdict == call.VerdictFirst {
		w.apply(p, x.id.Request(), r, call.FirstFrame{Attempt: x.id})
		state, verdict = r.state.Accept(x.id, x.seq)
	}
	switch verdict {
	case call.VerdictEmit:
		r.state = state
		w.checkFrame(r.job, x.truth, x.seq)
		r.job.got++
		w.progress(p, r, x.id.Number())
	case call.VerdictGap:
		w.stop(r, x.id.Number())
		w.apply(p, x.id.Request(), r, call.AttemptEnded{Attempt: x.id, Kind: value.EndKindFailed})
	case call.VerdictFirst, call.VerdictDrop, call.VerdictStale:
		w.staleFrames++
	}
}

// progress reports the frames of an attempt.
func (w *world) progress(p *process, r *request, number uint32) {
	a, ok := r.attempts[number]
	if !ok {
		return
	}
	now := w.loop.Now()
	if a.frames++; a.frames == 1 {
		a.first = now - a.sent
	}
	if a.frames != 1 && a.frames-a.shown < progressFrames {
		return
	}
	x := value.Progress{}.WithAttempt(a.id).WithTokens(a.frames).WithShard(r.state.Ask().Shard()).
		WithFirstTokenMs(int64(a.first.Millis()))
	if a.shown > 0 {
		x = x.WithInterTokenMs(int64((now - a.marked).Millis()) / int64(a.frames-a.shown))
	}
	a.shown, a.marked = a.frames, now
	w.pass(p, r, x)
}

// ended handles the end of an attempt's connection.
func (w *world) ended(p *process, x closed) {
	r, ok := p.requests[x.id.Request()]
	if !ok {
		return
	}
	server := ""
	if a, ok := r.attempts[x.id.Number()]; ok {
		a.over = true
		server = w.servers[a.server].instance.Name()
		r.without(x.id.Number(), w.loop.Now())
	}
	if x.kind == value.EndKindLeaving {
		w.learn(p, server)
	}
	w.apply(p, x.id.Request(), r, call.AttemptEnded{Attempt: x.id, Kind: x.kind})
}
