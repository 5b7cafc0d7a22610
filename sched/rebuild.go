package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// settleTime is the pause of grants after a takeover: several round trips between data
// centres, in which the gateways report the attempts that they hold.
const settleTime hoist.Millis = 50

const (
	// silentAfter is the time without a report after which an attempt no longer holds a slot. Its gateway
	// gives up on silent servers much earlier, so only a lost message leaves an attempt that long.
	silentAfter = 2 * hoist.Minute
	// reapInterval spaces the searches for silent attempts.
	reapInterval = 10 * hoist.Second
)

// acquire forgets the attempts and requests of an earlier ownership, which have ended or
// moved without notice, and asks every gateway for its attempts in progress.
func (s State) acquire(now hoist.Millis) (State, []Effect) {
	effects := []Effect{value.Query{}.WithShard(s.shard)}
	for w := range s.waits.All() {
		s, effects = s.refuse(w, value.RefusalReasonMoved, 0, effects)
	}
	for j := range s.jobs.All() {
		s = s.drop(j, now)
	}
	s.quiet = now + settleTime
	return s, effects
}

// drop removes an attempt whose end nobody reports.
func (s State) drop(j *job, now hoist.Millis) State {
	s = s.withTable(s.table.End(value.End{}.WithAttempt(j.attempt()).WithKind(value.EndKindCancelled), now))
	return s.release(j, now)
}

// reap frees the slots of attempts that are silent for too long.
func (s State) reap(now hoist.Millis) State {
	if now < s.reaped+reapInterval {
		return s
	}
	s.reaped = now
	for j := range s.jobs.All() {
		if now-j.heard > s.silence {
			s.settled = s.settled.With(j.attempt())
			s = s.drop(j, now)
		}
	}
	return s
}

// silence returns the time after which an attempt of the pool is silent; a plain service reports nothing before its answer.
func silence(v *config.View, p value.Pool) hoist.Millis {
	longest := silentAfter
	for x := range v.Services().All() {
		if x.Pool() == p.Name() {
			longest = max(longest, 2*hoist.Millis(x.TimeoutMs()))
		}
	}
	return longest
}

// sync rebuilds the seats for a new server table; restart fills their counts.
func (s State) sync() State {
	s.seats = make([]seat, s.table.Servers().Len())
	for i := range s.seats {
		s.seats[i].name = s.table.Servers().At(i).Name()
	}
	return s
}

// restart brings the jobs in line with a new configuration: their ranks, the counts of long
// work, and attempts that were reported before their server was known.
func (s State) restart() State {
	for j := range s.jobs.All() {
		c := *j
		if i, ok := s.classes[j.ask.Class()]; ok {
			c.rank = s.ledgers[i].class.Rank
		}
		c.long = c.attained() > s.longAfter()
		s.jobs = s.jobs.With(&c)
		if _, _, ok := s.table.Find(j.attempt()); !ok {
			r := place.NewRunningAttempt(j.ask, j.rank, j.started).WithTokens(j.tokens)
			s = s.withTable(s.table.Start(j.server, r))
		}
	}
	for i, l := range s.ledgers {
		s = s.withLedger(i, l.withLong(-l.long))
	}
	for j := range s.jobs.All() {
		if j.long {
			s = s.countLong(j, 1)
		}
		if j.ask.Alone() {
			s = s.withSeat(j.server, 0, 1)
		}
	}
	return s
}

// adopt records an attempt that a gateway has in progress; one that is known or settled changes nothing.
func (s State) adopt(h value.Holding, now hoist.Millis) State {
	a := h.Ask().Attempt()
	if _, ok := s.jobs.Get(a); ok || s.settled.Has(a) {
		return s
	}
	s = s.forget(a)
	s.order++
	j := &job{ask: h.Ask(), server: h.Server(), started: now, order: s.order}
	if i, ok := s.classes[h.Ask().Class()]; ok {
		j.rank = s.ledgers[i].class.Rank
	}
	return s.start(j.withTokens(h.Tokens(), s.longAfter(), now), now)
}

// lose ends the attempts and requests of a gateway that is gone.
//
// The refusals reach a gateway that was only out of reach for a while, so that it asks again
// instead of waiting for an answer that nobody owes it any more.
func (s State) lose(incarnation uint64, now hoist.Millis) (State, []Effect) {
	var effects []Effect
	for w := range s.waits.All() {
		if w.attempt().Incarnation() == incarnation {
			s, effects = s.refuse(w, value.RefusalReasonMoved, 0, effects)
		}
	}
	for j := range s.jobs.All() {
		if j.attempt().Incarnation() == incarnation {
			s.settled = s.settled.With(j.attempt())
			s = s.release(j, now)
		}
	}
	return s.withTable(s.table.RemoveGateway(incarnation, now)), effects
}
