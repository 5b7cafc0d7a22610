package sched

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// Decide returns the state after the event and the messages that it causes.
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
		s, effects := s.lose(e.Incarnation, now)
		return s.assign(now, effects)
	case ShardAcquired:
		return s.acquire(now)
	}
	return s, nil
}

// receive handles one message of a gateway.
func (s State) receive(body value.GatewayMessageBody, now hoist.Millis) (State, []Effect) {
	switch b := body.(type) {
	case value.Ask:
		return s.enqueue(b, now)
	case value.Progress:
		return s.progress(b, now), nil
	case value.End:
		s, effects := s.end(b, now).expire(now, nil)
		return s.assign(now, effects)
	case value.Withdraw:
		return s.withdraw(b.Attempt(), now)
	case value.Holding:
		return s.adopt(b, now), nil
	}
	return s, nil
}

// configure takes over a configuration and the shard's instances.
func (s State) configure(e Configured, now hoist.Millis) (State, []Effect) {
	if e.View == nil {
		return s, nil
	}
	if s.pool.Kind() != e.Pool.Kind() || s.pool.TokensPerSecond() != e.Pool.TokensPerSecond() || s.pace.hold == 0 {
		s.pace = newPace(e.Pool)
	}
	s.view, s.pool, s.silence = e.View, e.Pool, silence(e.View, e.Pool)
	rules := place.RulesOf(e.Pool, e.View.Policy()).WithLongLimits(e.Pool.LongCap(), s.longAfter()+1)
	s = s.withTable(s.table.WithRules(rules).Sync(e.Instances, e.Pool.Slots())).sync()
	s, effects := s.withClasses(e.View)
	return s.restart().assign(now, effects)
}

// withClasses returns a copy whose ledgers follow the view; requests of removed classes are refused.
func (s State) withClasses(v *config.View) (State, []Effect) {
	old, known := s.ledgers, s.classes
	s.ledgers, s.classes, s.ranks = nil, map[string]int{}, nil
	for c := range v.Classes().All() {
		class, _ := v.Class(c.Name())
		l := newLedger(class)
		if i, ok := known[c.Name()]; ok {
			l = old[i].withClass(class)
		}
		s.ledgers = append(s.ledgers, l)
	}
	slices.SortFunc(s.ledgers, func(a, b *ledger) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.class.Name(), b.class.Name()))
	})
	for i, l := range s.ledgers {
		s.classes[l.class.Name()] = i
		if !slices.Contains(s.ranks, l.class.Rank) {
			s.ranks = append(s.ranks, l.class.Rank)
		}
		for _, x := range l.lanes {
			for w := range x.All() {
				s.waits = s.waits.With(w)
			}
		}
	}
	var effects []Effect
	for w := range s.waits.All() {
		if _, ok := s.classes[w.ask.Class()]; !ok {
			s, effects = s.refuse(w, value.RefusalReasonUnavailable, hoist.Second, effects)
		}
	}
	return s, effects
}

// enqueue adds a request to the queue, grants what can be granted and refuses what cannot be served in time.
func (s State) enqueue(a value.Ask, now hoist.Millis) (State, []Effect) {
	if s.known(a.Attempt()) {
		return s, nil
	}
	if s.view == nil {
		return s, []Effect{refusal(a, value.RefusalReasonMoved, 0)}
	}
	i, ok := s.classes[a.Class()]
	if !ok {
		return s, []Effect{refusal(a, value.RefusalReasonUnavailable, hoist.Second)}
	}
	s = s.supersede(a)
	l := s.ledgers[i].withAsk(now, s.total)
	s.order++
	w := &QueuedRequest{ask: a, class: l.class, order: s.order, since: now}
	w.long = a.ResumedTokens() > s.longAfter()
	if !w.resumed() {
		w.since -= hoist.Millis(a.WaitedMs())
	}
	s = s.withLedger(i, l.withWaiting(w))
	s.waits = s.waits.With(w)
	s, effects := s.shed(now, nil)
	s, effects = s.assign(now, effects)
	return s.admit(w, now, effects)
}

// supersede removes earlier asks of the request that still wait: a gateway asks again only
// after it has given up the earlier ask, and would return its grant unused.
func (s State) supersede(a value.Ask) State {
	if a.Hedge() {
		return s
	}
	for _, w := range s.waits.Same(a.Attempt()) {
		s.settled = s.settled.With(w.attempt())
		s = s.forget(w.attempt())
	}
	return s
}

// known reports whether the attempt waits, runs or has been settled.
func (s State) known(a value.Attempt) bool {
	if _, ok := s.waits.Get(a); ok {
		return true
	}
	if _, ok := s.jobs.Get(a); ok {
		return true
	}
	return s.settled.Has(a)
}

// progress records the tokens of an attempt; messages that are late or repeated change nothing.
func (s State) progress(p value.Progress, now hoist.Millis) State {
	j, ok := s.jobs.Get(p.Attempt())
	if !ok || p.Tokens() < j.tokens {
		return s
	}
	if j.tokens == 0 && p.Tokens() > 0 && p.FirstTokenMs() > 0 {
		s.first = s.first.with(p.FirstTokenMs(), s.hedgePermille())
	}
	s = s.withTable(s.table.RecordProgress(p, now))
	if p.Tokens() == j.tokens {
		return s
	}
	s = s.withTokens(int64(p.Tokens() - j.tokens))
	next := j.withTokens(p.Tokens(), s.longAfter(), now)
	s.jobs = s.jobs.With(next)
	if next.long && !j.long {
		s = s.countLong(next, 1)
	}
	return s
}

// countLong changes the number of running long attempts of the job's class and server.
func (s State) countLong(j *job, by int32) State {
	if i, ok := s.classes[j.ask.Class()]; ok {
		s = s.withLedger(i, s.ledgers[i].withLong(by))
	}
	return s.withSeat(j.server, by, 0)
}

// end frees the slot of an attempt; an end that is late or repeated changes nothing.
func (s State) end(e value.End, now hoist.Millis) State {
	s.settled = s.settled.With(e.Attempt())
	s = s.forget(e.Attempt())
	j, ok := s.jobs.Get(e.Attempt())
	if !ok {
		return s
	}
	if e.Tokens() > j.tokens {
		s = s.withTokens(int64(e.Tokens() - j.tokens))
	}
	if s.pool.Kind() == value.PoolKindService {
		s = s.withTokens(typicalTokens)
	}
	if i, ok := s.classes[j.ask.Class()]; ok && e.Kind() == value.EndKindFinished && s.pool.Kind() != value.PoolKindService {
		s = s.withLedger(i, s.ledgers[i].withOutput(max(e.Tokens(), j.tokens)))
	}
	s = s.withTable(s.table.End(e, now)).release(j, now)
	if j.ask.Alone() {
		s = s.follow(now)
	}
	return s
}

// release removes a job that no longer holds a slot.
func (s State) release(j *job, now hoist.Millis) State {
	s.pace = s.pace.with(s.jobs.Len(), 1, now)
	s.jobs = s.jobs.Without(j.attempt())
	if j.long {
		s = s.countLong(j, -1)
	}
	if j.ask.Alone() {
		s = s.withSeat(j.server, 0, -1)
	}
	if j.preempted {
		s.freeing--
	}
	return s
}

// withdraw removes a request that waits; if its grant is under way, the gateway will not start it.
func (s State) withdraw(a value.Attempt, now hoist.Millis) (State, []Effect) {
	if _, ok := s.jobs.Get(a); ok {
		return s.end(value.End{}.WithAttempt(a).WithKind(value.EndKindCancelled), now).assign(now, nil)
	}
	s.settled = s.settled.With(a)
	return s.forget(a).assign(now, nil)
}

// forget removes the attempt from the queue if it waits there.
func (s State) forget(a value.Attempt) State {
	w, ok := s.waits.Get(a)
	if !ok {
		return s
	}
	s.waits = s.waits.Without(a)
	if i, ok := s.classes[w.ask.Class()]; ok {
		s = s.withLedger(i, s.ledgers[i].withoutWaiting(w))
	}
	return s
}

// refuse removes a waiting request and adds the refusal.
func (s State) refuse(w *QueuedRequest, reason value.RefusalReason, retry hoist.Millis, effects []Effect) (State, []Effect) {
	s.settled = s.settled.With(w.attempt())
	return s.forget(w.attempt()), append(effects, refusal(w.ask, reason, retry))
}

// refusal returns the message that the request was not run.
func refusal(a value.Ask, reason value.RefusalReason, retry hoist.Millis) value.Refusal {
	return value.Refusal{}.WithAttempt(a.Attempt()).WithReason(reason).WithRetryMs(int64(retry))
}
