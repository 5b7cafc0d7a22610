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
	// heartbeatInterval and suspectTimeout are the defaults of the settings heartbeat_ms and suspect_ms.
	heartbeatInterval = 500 * sim.Millisecond
	suspectTimeout    = 2 * sim.Second
	// pollInterval is the time between two reads of the platform.
	pollInterval = sim.Second
	// framesPerProgressReport is the number of frames between two progress reports, as in package gate.
	framesPerProgressReport = 64
)

// request is the state of one request at its gateway.
type request struct {
	job         *job
	state       call.State
	dispatchers map[uint32]endpoint
	attempts    map[uint32]*attempt
	// formerDispatchers holds, for each attempt, the dispatchers that knew of it before the present one.
	formerDispatchers map[uint32][]endpoint
	// unservedSince is the time since which no server has run the request.
	unservedSince sim.Micros
	// reportedOverdue is set once a violation of the waiting bound has been reported.
	reportedOverdue bool
}

// hasAttempt reports whether the request has an attempt on a server.
func (r *request) hasAttempt() bool { return len(r.attempts) > 0 }

func (r *request) removeAttempt(number uint32, now sim.Micros) {
	delete(r.attempts, number)
	r.unservedSince = now
}

// shard is the scheduling state of one shard at a process.
type shard struct {
	state  sched.State
	owned  bool
	wakeAt hoist.Millis
	// leaked is set while the table has more orphaned entries than are allowed.
	leaked bool
}

// peer is the last heartbeat of another process.
type peer struct {
	member        value.Member
	lastHeartbeat sim.Micros
}

// process is one incarnation of a router process.
type process struct {
	index          int
	name           string
	incarnation    uint64
	up             bool
	leaving        bool
	startedAt      sim.Micros
	pausedUntil    sim.Micros
	version        config.Version
	config         *config.View
	instances      value.List[value.Instance]
	members        *member.View
	peers          map[int]peer
	leavingServers map[string]bool
	requests       map[uint64]*request
	lastRequest    uint64
	tokenRecords   idem.State
	// retries bounds the extra attempts of the gateway, and guard keeps crash-inducing content from the shards.
	retries retry.State
	guard   retry.Guard
	// quarantineItems holds the quarantine items that heartbeats publish, by content fingerprint.
	quarantineItems map[uint64]item
	// brokenLinks holds the incarnations of peers whose stream has ended, by router.
	brokenLinks map[int]uint64
	ownedShards map[string]*shard
	localShards map[string]*shard
}

// requestNumbers returns the numbers of the requests in progress, in ascending order.
func (p *process) requestNumbers() []uint64 { return slices.Sorted(maps.Keys(p.requests)) }

// drain begins a planned stop.
func (p *process) drain() {
	if p.up {
		p.leaving = true
	}
}

// endpoint returns the address of the shards that the process owns.
func (p *process) endpoint() endpoint { return endpoint{p.index, p.incarnation, false} }

// memberRecord returns the membership record that heartbeats carry.
func (p *process) memberRecord(s sim.Site) value.Member {
	return value.Member{}.WithName(p.name).WithIncarnation(p.incarnation).WithRegion("central").
		WithDatacentre(s.Datacentre(p.index)).WithLeaving(p.leaving).
		WithGeneration(p.version.Generation).WithDigest(p.version.Digest)
}

// handleProcessInput handles one input of a process.
func (w *world) handleProcessInput(p *process, x processInput) {
	switch x := x.(type) {
	case requestReceived:
		w.receiveRequest(p, x)
	case gatewayMessage:
		w.handleGatewayMessage(p, x)
	case dispatcherMessage:
		w.handleDispatcherMessage(p, x)
	case heartbeatReceived:
		w.handleHeartbeat(p, x)
	case frameReceived:
		w.handleFrame(p, x)
	case connectionEnded:
		w.handleConnectionEnd(p, x)
	case timerFired:
		if r, ok := p.requests[x.request]; ok {
			w.decideRequest(p, x.request, r, call.TimerFired{Timer: x.timer})
		}
	case linkLost:
		w.handleDispatcherLost(p, x.peer)
		w.handleLinkLost(p, x.peer)
	case shardTick:
		if s := p.shards(x.local)[x.shard]; s != nil {
			w.decideShard(p, x.shard, x.local, sched.Ticked{})
		}
	case heartbeatDue:
		w.sendHeartbeats(p)
	case pollDue:
		w.pollPlatform(p)
	case loadReported:
		for _, key := range slices.Sorted(maps.Keys(p.ownedShards)) {
			w.decideShard(p, key, false, sched.LoadReported{Server: x.server, Load: x.load})
		}
	}
}

// shards returns the owned shards or the local queues.
func (p *process) shards(local bool) map[string]*shard {
	if local {
		return p.localShards
	}
	return p.ownedShards
}

// receiveRequest starts a caller's request. A call with an idempotency token runs at the issuer of the token only.
func (w *world) receiveRequest(p *process, x requestReceived) {
	j := x.job
	if j.token == (idem.Token{}) {
		w.startRequest(p, j)
		return
	}
	next, verdict := p.tokenRecords.Decide(idem.Arrived{Token: j.token, Fingerprint: uint64(j.number)}, w.events.Now().Millis())
	p.tokenRecords = next
	switch v := verdict.(type) {
	case idem.Run:
		w.startRequest(p, j)
	case idem.Join:
		w.tokenEvents["join"]++
	case idem.Replay:
		w.tokenEvents["replay"]++
	case idem.Forward:
		w.forwardToIssuer(p, v.Issuer, x)
	case idem.Refuse:
		w.tokenEvents["refuse"]++
		w.check(invar.HonestOutcome, v.Outcome != value.OutcomeNotRun || j.runs == 0,
			"call %d was reported as not run, but servers started it %d times", j.number, j.runs)
	}
}

// forwardToIssuer forwards a call to the issuer of its token; if that isn't possible, the outcome stays unknown.
func (w *world) forwardToIssuer(p *process, issuer uint64, x requestReceived) {
	for _, m := range p.members.Members() {
		if m.Incarnation() == issuer && x.hops == 0 {
			w.tokenEvents["forward"]++
			w.transmit(p, w.endpointOf(m), requestReceived{x.job, 1})
			return
		}
	}
	w.tokenEvents["unreachable"]++
}

// startRequest starts a request at its gateway.
func (w *world) startRequest(p *process, j *job) {
	pool := enginePool
	if !j.repeatable {
		pool = servicePool
	}
	shards := p.members.PoolShards(pool)
	if len(shards) == 0 || p.config == nil {
		return
	}
	p.lastRequest++
	id := value.Attempt{}.WithIncarnation(p.incarnation).WithRequest(p.lastRequest)
	ask := value.Ask{}.WithAttempt(id).WithShard(shards[0].Key).WithClass(j.class).WithWorkspace("north").
		WithModel(model).WithPromptTokens(100).WithRepeatable(j.repeatable).
		WithFingerprint(uint64(j.number)).WithDatacentre(w.site.Datacentre(p.index))
	if j.contentGroup > 0 {
		ask = ask.WithFingerprint(crashFingerprintBase + uint64(j.contentGroup))
	}
	r := &request{
		job: j, state: call.New(ask), dispatchers: map[uint32]endpoint{}, formerDispatchers: map[uint32][]endpoint{},
		attempts: map[uint32]*attempt{}, unservedSince: j.submittedAt,
	}
	p.requests[p.lastRequest] = r
	w.decideRequest(p, p.lastRequest, r, call.Started{})
}

// decideRequest passes an event to a request and carries out the effects.
func (w *world) decideRequest(p *process, number uint64, r *request, e call.Event) {
	state, effects := r.state.Decide(e, w.events.Now().Millis())
	r.state = state
	for _, x := range effects {
		switch x := x.(type) {
		case call.Send:
			w.sendToDispatcher(p, r, x.Body)
		case call.Start:
			w.startAttempt(p, r, x)
		case call.Stop:
			w.cancelAttempt(r, x.Attempt.Number())
		case call.SetTimer:
			w.post(p, sim.FromMillis(x.Delay), timerFired{number, x.Timer})
		case call.NotifyRetry:
			w.decideRetry(p, number, r, x.Event)
		case call.Finish:
			w.outcomes[x.Result.Outcome]++
			if x.Result.Outcome == value.OutcomeNotRun {
				w.reasons[x.Result.Reason]++
			}
			w.checkResult(p, r.job, x.Result)
			if r.job.contentGroup > 0 {
				w.resendCrashContent(r.job.contentGroup)
			}
			if r.job.token != (idem.Token{}) {
				forwarded := value.ForwardAnswer{}.WithOutcome(x.Result.Outcome)
				p.tokenRecords, _ = p.tokenRecords.Decide(idem.Completed{Token: r.job.token, Answer: forwarded}, w.events.Now().Millis())
			}
			delete(p.requests, number)
		}
	}
}

// decideRetry passes an event to the retry state of the process and the verdict back to the request.
func (w *world) decideRetry(p *process, number uint64, r *request, e retry.Event) {
	retries, verdict := p.retries.Decide(e, w.events.Now().Millis())
	p.retries = retries
	if _, isNone := verdict.(retry.None); !isNone {
		w.decideRequest(p, number, r, call.RetryDecided{Verdict: verdict})
	}
}

// sendToDispatcher sends a gateway's message to the dispatcher of its attempt. A placement request goes to the shard
// owner, or to the local queue if there is none.
func (w *world) sendToDispatcher(p *process, r *request, body value.GatewayMessageBody) {
	key := r.state.Ask().Shard()
	if a, ok := body.(value.Ask); ok {
		to := endpoint{p.index, p.incarnation, true}
		if m, ok := p.members.Owner(key); ok {
			to = w.endpointOf(m)
		}
		r.dispatchers[a.Attempt().Number()] = to
		w.transmit(p, to, gatewayMessage{p.endpoint(), key, body})
		return
	}
	number := attemptNumber(body)
	if to, ok := r.dispatchers[number]; ok {
		w.transmit(p, to, gatewayMessage{p.endpoint(), key, body})
	}
	if _, ok := body.(value.End); ok {
		// A former owner may still count the attempt, if the present one acquired the shard on a wrong membership view.
		for _, to := range r.formerDispatchers[number] {
			w.transmit(p, to, gatewayMessage{p.endpoint(), key, body})
		}
	}
}

// attemptNumber returns the attempt number that a gateway's message names.
func attemptNumber(body value.GatewayMessageBody) uint32 {
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

// handleGatewayMessage handles a gateway's message at a dispatcher.
func (w *world) handleGatewayMessage(p *process, x gatewayMessage) {
	local := x.from.router == p.index && x.from.local
	s := p.shards(local)[x.shard]
	if a, ok := x.body.(value.Ask); ok {
		if local && s == nil {
			s = w.startLocalQueue(p, x.shard)
		}
		if s == nil || (!local && !s.owned) {
			w.transmit(p, x.from, dispatcherMessage{p.endpoint(), value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved)})
			return
		}
		guard, admitted, refusal := p.guard.Admit(a, w.events.Now().Millis())
		p.guard = guard
		if refusal != nil {
			w.transmit(p, x.from, dispatcherMessage{p.endpoint(), refusal})
			return
		}
		x.body = admitted
	}
	if e, ok := x.body.(value.End); ok && s != nil {
		w.attributeCrash(p, s, e)
	}
	if s != nil {
		w.decideShard(p, x.shard, local, sched.MessageReceived{Body: x.body})
	}
}

// startLocalQueue starts the local fallback queue of a shard, with an equal portion of the pool's slots.
func (w *world) startLocalQueue(p *process, key string) *shard {
	p.localShards[key] = &shard{state: sched.New(key)}
	w.configureShard(p, key, true)
	return p.localShards[key]
}

// configureShard passes the present configuration and servers to a shard.
func (w *world) configureShard(p *process, key string, local bool) {
	for _, s := range p.members.Shards() {
		pool, ok := p.config.Pool(s.Pool)
		if s.Key != key || !ok {
			continue
		}
		if local {
			pool = pool.WithSlots(max(1, pool.Slots()/int32(max(1, len(p.members.Members())))))
		}
		w.decideShard(p, key, local, sched.Configured{View: p.config, Pool: pool, Instances: s.Servers})
	}
}

// decideShard passes an event to a shard and sends the resulting messages.
func (w *world) decideShard(p *process, key string, local bool, e sched.Event) {
	s := p.shards(local)[key]
	now := w.events.Now()
	state, effects := s.state.Decide(e, now.Millis())
	w.checkTierOrder(s.state, state, e, effects)
	s.state = state
	from := endpoint{p.index, p.incarnation, local}
	for _, x := range effects {
		if to, ok := w.gatewayEndpoint(x); ok {
			w.transmit(p, to, dispatcherMessage{from, x})
		}
	}
	if wakeAt, ok := state.Wake(); ok && (s.wakeAt <= now.Millis() || wakeAt < s.wakeAt) {
		s.wakeAt = max(wakeAt, now.Millis()+1)
		w.post(p, sim.FromMillis(s.wakeAt)-now, shardTick{key, local})
	}
}

// handleDispatcherMessage handles a dispatcher's message at a gateway.
func (w *world) handleDispatcherMessage(p *process, x dispatcherMessage) {
	switch b := x.body.(type) {
	case value.Grant:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.decideRequest(p, b.Attempt().Request(), r, call.Granted{Grant: b})
			return
		}
		end := value.End{}.WithAttempt(b.Attempt()).WithKind(value.EndKindCancelled).WithShard(b.Shard())
		w.transmit(p, x.from, gatewayMessage{p.endpoint(), b.Shard(), end})
	case value.Refusal:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.decideRequest(p, b.Attempt().Request(), r, call.Refused{Refusal: b})
		}
	case value.Preempt:
		if r, ok := p.requests[b.Attempt().Request()]; ok {
			w.decideRequest(p, b.Attempt().Request(), r, call.Preempted{Attempt: b.Attempt()})
		}
	case value.Query:
		w.reportAttempts(p, x.from, b.Shard())
	}
}

// reportAttempts sends the reconciliation list of a shard: its attempts in progress, for the new owner.
func (w *world) reportAttempts(p *process, to endpoint, key string) {
	for _, n := range p.requestNumbers() {
		r := p.requests[n]
		if r.state.Ask().Shard() != key {
			continue
		}
		for _, holding := range r.state.Holdings() {
			number := holding.Ask().Attempt().Number()
			if former := r.dispatchers[number]; former != to && !slices.Contains(r.formerDispatchers[number], former) {
				r.formerDispatchers[number] = append(r.formerDispatchers[number], former)
			}
			r.dispatchers[number] = to
			w.transmit(p, to, gatewayMessage{p.endpoint(), key, holding})
		}
	}
}

// handleDispatcherLost tells the affected requests that their dispatcher can't be reached.
func (w *world) handleDispatcherLost(p *process, dispatcher endpoint) {
	for _, n := range p.requestNumbers() {
		r := p.requests[n]
		for _, k := range slices.Sorted(maps.Keys(r.dispatchers)) {
			if r.dispatchers[k] == dispatcher {
				w.decideRequest(p, n, r, call.OwnerLost{Attempt: r.state.Ask().Attempt().WithNumber(k)})
			}
		}
	}
}

// handleLinkLost handles the end of the stream to or from a peer. A shard owner forgets the attempts of that gateway,
// because it receives no end message for them any more; the gateway reports them again when the link is restored.
func (w *world) handleLinkLost(p *process, lostPeer endpoint) {
	p.brokenLinks[lostPeer.router] = lostPeer.incarnation
	for _, key := range slices.Sorted(maps.Keys(p.ownedShards)) {
		w.decideShard(p, key, false, sched.GatewayLost{Incarnation: lostPeer.incarnation})
	}
}

// handleLinkRestored reports the attempts in progress to a peer whose link works again.
func (w *world) handleLinkRestored(p *process, m value.Member) {
	to := w.endpointOf(m)
	if p.brokenLinks[to.router] != to.incarnation {
		return
	}
	delete(p.brokenLinks, to.router)
	for _, s := range p.members.Shards() {
		if owner, ok := p.members.Owner(s.Key); ok && owner.Name() == m.Name() {
			w.reportAttempts(p, to, s.Key)
		}
	}
}

// startAttempt opens an attempt on the granted server.
func (w *world) startAttempt(p *process, r *request, x call.Start) {
	id := x.Grant.Attempt()
	s := w.serverNamed(x.Grant.Server())
	a := &attempt{
		id: id, job: r.job, router: p.index, server: s.index, priority: x.Grant.Priority(), resumeTokens: x.Resume,
		sentAt: w.events.Now(),
	}
	r.attempts[id.Number()] = a
	from, to := w.datacentreOf(p.index), w.datacentreOf(s.index)
	switch {
	case w.blockedLinks[from][to] > 0 || w.blockedLinks[to][from] > 0:
		w.post(p, connectTimeout, connectionEnded{id, value.EndKindUnreachable})
	case !s.up:
		w.post(p, w.site.OneWayLatency(p.index, s.index)*2, connectionEnded{id, value.EndKindUnreachable})
	default:
		// If the server restarts before the attempt arrives, the epoch differs and the connection breaks.
		w.events.After(w.site.OneWayLatency(p.index, s.index), serverEvent{s.index, s.epoch, attemptOpened{a}})
	}
}

// cancelAttempt closes the connection of an attempt.
func (w *world) cancelAttempt(r *request, number uint32) {
	a, ok := r.attempts[number]
	if !ok {
		return
	}
	r.removeAttempt(number, w.events.Now())
	s := w.servers[a.server]
	w.events.After(w.site.OneWayLatency(a.router, a.server), serverEvent{a.server, s.epoch, attemptCancelled{a}})
}

// handleFrame passes a frame to the request that it names.
func (w *world) handleFrame(p *process, x frameReceived) {
	// Package engine drops frames that name another attempt than that of the connection.
	r, ok := p.requests[x.id.Request()]
	if !ok || x.id != x.connection {
		w.staleFrames++
		return
	}
	state, verdict := r.state.Accept(x.id, x.seq)
	if verdict == call.VerdictFirst {
		w.decideRequest(p, x.id.Request(), r, call.FirstFrame{Attempt: x.id})
		state, verdict = r.state.Accept(x.id, x.seq)
	}
	switch verdict {
	case call.VerdictEmit:
		r.state = state
		w.checkFrame(r.job, x.origin, x.seq)
		r.job.receivedTokens++
		w.reportProgress(p, r, x.id.Number())
	case call.VerdictGap:
		w.cancelAttempt(r, x.id.Number())
		w.decideRequest(p, x.id.Request(), r, call.AttemptEnded{Attempt: x.id, Kind: value.EndKindFailed})
	case call.VerdictFirst, call.VerdictDrop, call.VerdictStale:
		w.staleFrames++
	}
}

// reportProgress counts a frame of an attempt and reports progress to the dispatcher at intervals.
func (w *world) reportProgress(p *process, r *request, number uint32) {
	a, ok := r.attempts[number]
	if !ok {
		return
	}
	now := w.events.Now()
	if a.frames++; a.frames == 1 {
		a.firstTokenTime = now - a.sentAt
	}
	if a.frames != 1 && a.frames-a.reportedFrames < framesPerProgressReport {
		return
	}
	x := value.Progress{}.WithAttempt(a.id).WithTokens(a.frames).WithShard(r.state.Ask().Shard()).
		WithFirstTokenMs(int64(a.firstTokenTime.Millis()))
	if a.reportedFrames > 0 {
		x = x.WithInterTokenMs(int64((now - a.reportedAt).Millis()) / int64(a.frames-a.reportedFrames))
	}
	a.reportedFrames, a.reportedAt = a.frames, now
	w.sendToDispatcher(p, r, x)
}

// handleConnectionEnd handles the end of an attempt's connection.
func (w *world) handleConnectionEnd(p *process, x connectionEnded) {
	r, ok := p.requests[x.id.Request()]
	if !ok {
		return
	}
	server := ""
	if a, ok := r.attempts[x.id.Number()]; ok {
		a.abandoned = true
		server = w.servers[a.server].instance.Name()
		r.removeAttempt(x.id.Number(), w.events.Now())
	}
	if x.kind == value.EndKindLeaving {
		w.markServerLeaving(p, server)
	}
	w.decideRequest(p, x.id.Request(), r, call.AttemptEnded{Attempt: x.id, Kind: x.kind})
}
