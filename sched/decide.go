package sched

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// Decide returns the state after the event and the messages to send.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	switch e := event.(type) {
	case MessageReceived:
		return s.receive(e.Body, now)
	case Configured:
		return s.configure(e, now)
	case LoadReported:
		return s.withTable(s.table.RecordLoad(e.Server, e.Load, now)).assign(now, nil)
	case EngineStateRead:
		return s.withTable(s.table.RecordEngineState(e.Server, e.State)).assign(now, nil)
	case CacheChanged:
		return s.withTable(s.table.RecordCacheEvents(e.Server, e.Events)), nil
	case Ticked:
		s, effects := s.expire(now, nil)
		return s.assign(now, effects)
	case ServerLeaving:
		return s.withTable(s.table.MarkLeaving(e.Server, now)).assign(now, nil)
	case GatewayLost:
		s, effects := s.removeGateway(e.Incarnation, now)
		return s.assign(now, effects)
	case ShardAcquired:
		return s.takeOver(now)
	}
	return s, nil
}

// receive handles one message of a gateway.
func (s State) receive(body value.GatewayMessageBody, now hoist.Millis) (State, []Effect) {
	switch b := body.(type) {
	case value.Ask:
		return s.enqueue(b, now)
	case value.Progress:
		return s.recordProgress(b, now), nil
	case value.End:
		s, effects := s.endAttempt(b, now).expire(now, nil)
		return s.assign(now, effects)
	case value.Withdraw:
		return s.withdraw(b.Attempt(), now)
	case value.Holding:
		return s.restoreAttempt(b, now), nil
	}
	return s, nil
}

// configure applies a configuration and the shard's instances.
func (s State) configure(e Configured, now hoist.Millis) (State, []Effect) {
	if e.View == nil {
		return s, nil
	}
	if s.pool.Kind() != e.Pool.Kind() || s.pool.TokensPerSecond() != e.Pool.TokensPerSecond() || s.slotRate.holdingMs == 0 {
		s.slotRate = newSlotRate(e.Pool)
	}
	s.view, s.pool, s.progressTimeout = e.View, e.Pool, progressTimeoutOf(e.View, e.Pool)
	rules := place.RulesOf(e.Pool, e.View.Policy()).WithLongLimits(e.Pool.LongCap(), s.longAfterTokens()+1)
	s = s.withTable(s.table.WithRules(rules).Sync(e.Instances, e.Pool.Slots())).resetCounts()
	s, effects := s.withClasses(e.View)
	return s.reconcile().assign(now, effects)
}

// withClasses returns a copy whose class states follow the view; requests of removed classes are rejected.
func (s State) withClasses(v *config.View) (State, []Effect) {
	oldStates, oldIndex := s.classStates, s.classIndex
	s.classStates, s.classIndex, s.ranks = nil, map[string]int{}, nil
	for c := range v.Classes().All() {
		class, _ := v.Class(c.Name())
		cs := newClassState(class)
		if i, ok := oldIndex[c.Name()]; ok {
			cs = oldStates[i].withClass(class)
		}
		s.classStates = append(s.classStates, cs)
	}
	slices.SortFunc(s.classStates, func(a, b *classState) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.class.Name(), b.class.Name()))
	})
	for i, cs := range s.classStates {
		s.classIndex[cs.class.Name()] = i
		if !slices.Contains(s.ranks, cs.class.Rank) {
			s.ranks = append(s.ranks, cs.class.Rank)
		}
		for _, q := range cs.queues {
			for r := range q.All() {
				s.queued = s.queued.With(r)
			}
		}
	}
	var effects []Effect
	for r := range s.queued.All() {
		if _, ok := s.classIndex[r.ask.Class()]; !ok {
			s, effects = s.reject(r, value.RefusalReasonUnavailable, hoist.Second, effects)
		}
	}
	return s, effects
}

// enqueue adds a request to its queue, grants what can be granted and rejects what cannot be served in time.
func (s State) enqueue(a value.Ask, now hoist.Millis) (State, []Effect) {
	if s.seen(a.Attempt()) {
		return s, nil
	}
	if s.view == nil {
		return s, []Effect{rejection(a, value.RefusalReasonMoved, 0)}
	}
	i, ok := s.classIndex[a.Class()]
	if !ok {
		return s, []Effect{rejection(a, value.RefusalReasonUnavailable, hoist.Second)}
	}
	s = s.supersede(a)
	cs := s.classStates[i].withArrival(now, s.totalTokens)
	s.lastSequence++
	r := &QueuedRequest{ask: a, class: cs.class, sequence: s.lastSequence, since: now}
	r.long = a.ResumedTokens() > s.longAfterTokens()
	if !r.resumed() {
		r.since -= hoist.Millis(a.WaitedMs())
	}
	s = s.withClassState(i, cs.withQueued(r))
	s.queued = s.queued.With(r)
	s, effects := s.shed(now, nil)
	s, effects = s.assign(now, effects)
	return s.admit(r, now, effects)
}

// supersede removes earlier placement requests of the same request from the queue. A gateway asks again only
// after it has given up the earlier placement request, and would return its grant unused.
func (s State) supersede(a value.Ask) State {
	if a.Hedge() {
		return s
	}
	for _, r := range s.queued.SameRequest(a.Attempt()) {
		s.settled = s.settled.With(r.attempt())
		s = s.dequeue(r.attempt())
	}
	return s
}

// seen reports whether the attempt is queued, running or settled.
func (s State) seen(a value.Attempt) bool {
	if _, ok := s.queued.Get(a); ok {
		return true
	}
	if _, ok := s.running.Get(a); ok {
		return true
	}
	return s.settled.Has(a)
}

// recordProgress records the tokens of an attempt; late and repeated messages change nothing.
func (s State) recordProgress(p value.Progress, now hoist.Millis) State {
	ra, ok := s.running.Get(p.Attempt())
	if !ok || p.Tokens() < ra.tokens {
		return s
	}
	if ra.tokens == 0 && p.Tokens() > 0 && p.FirstTokenMs() > 0 {
		s.firstToken = s.firstToken.withSample(p.FirstTokenMs(), s.hedgePermille())
	}
	s = s.withTable(s.table.RecordProgress(p, now))
	if p.Tokens() == ra.tokens {
		return s
	}
	s = s.withTokens(int64(p.Tokens() - ra.tokens))
	next := ra.withTokens(p.Tokens(), s.longAfterTokens(), now)
	s.running = s.running.With(next)
	if next.long && !ra.long {
		s = s.addLong(next, 1)
	}
	return s
}

// addLong changes the number of running long attempts of the attempt's class and server.
func (s State) addLong(ra *runningAttempt, by int32) State {
	if i, ok := s.classIndex[ra.ask.Class()]; ok {
		s = s.withClassState(i, s.classStates[i].withLong(by))
	}
	return s.withCounts(ra.server, by, 0)
}

// endAttempt frees the slot of an attempt; a late or repeated end changes nothing.
func (s State) endAttempt(e value.End, now hoist.Millis) State {
	s.settled = s.settled.With(e.Attempt())
	s = s.dequeue(e.Attempt())
	ra, ok := s.running.Get(e.Attempt())
	if !ok {
		return s
	}
	if e.Tokens() > ra.tokens {
		s = s.withTokens(int64(e.Tokens() - ra.tokens))
	}
	if s.pool.Kind() == value.PoolKindService {
		s = s.withTokens(assumedOutputTokens)
	}
	if i, ok := s.classIndex[ra.ask.Class()]; ok && e.Kind() == value.EndKindFinished && s.pool.Kind() != value.PoolKindService {
		s = s.withClassState(i, s.classStates[i].withOutput(max(e.Tokens(), ra.tokens)))
	}
	s = s.withTable(s.table.End(e, now)).releaseSlot(ra, now)
	if ra.ask.Alone() {
		s = s.reserveForNext(now)
	}
	return s
}

// releaseSlot removes an attempt that no longer holds a slot.
func (s State) releaseSlot(ra *runningAttempt, now hoist.Millis) State {
	s.slotRate = s.slotRate.observe(s.running.Len(), 1, now)
	s.running = s.running.Without(ra.attempt())
	if ra.long {
		s = s.addLong(ra, -1)
	}
	if ra.ask.Alone() {
		s = s.withCounts(ra.server, 0, -1)
	}
	if ra.preempted {
		s.pendingPreemptions--
	}
	return s
}

// withdraw removes a queued request. If its grant is already on the way, the gateway will not start it.
func (s State) withdraw(a value.Attempt, now hoist.Millis) (State, []Effect) {
	if _, ok := s.running.Get(a); ok {
		return s.endAttempt(value.End{}.WithAttempt(a).WithKind(value.EndKindCancelled), now).assign(now, nil)
	}
	s.settled = s.settled.With(a)
	return s.dequeue(a).assign(now, nil)
}

// dequeue removes the attempt from the queue if it is there.
func (s State) dequeue(a value.Attempt) State {
	r, ok := s.queued.Get(a)
	if !ok {
		return s
	}
	s.queued = s.queued.Without(a)
	if i, ok := s.classIndex[r.ask.Class()]; ok {
		s = s.withClassState(i, s.classStates[i].withoutQueued(r))
	}
	return s
}

// reject removes a queued request and appends its rejection.
func (s State) reject(r *QueuedRequest, reason value.RefusalReason, retryAfter hoist.Millis, effects []Effect) (State, []Effect) {
	s.settled = s.settled.With(r.attempt())
	return s.dequeue(r.attempt()), append(effects, rejection(r.ask, reason, retryAfter))
}

// rejection returns the message that the request was not run.
func rejection(a value.Ask, reason value.RefusalReason, retryAfter hoist.Millis) value.Refusal {
	return value.Refusal{}.WithAttempt(a.Attempt()).WithReason(reason).WithRetryMs(int64(retryAfter))
}
