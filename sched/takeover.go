package sched

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// takeoverPause is the time after a takeover in which no grant is given. It covers several round trips between
// data centres, in which the gateways report their running attempts.
const takeoverPause hoist.Millis = 50

const (
	// progressTimeout is the time without a report after which an attempt loses its slot. Its gateway gives up on
	// a silent server much earlier, so an attempt stays silent that long only if a message was lost.
	progressTimeout = 2 * hoist.Minute
	// reapInterval is the time between two searches for silent attempts.
	reapInterval = 10 * hoist.Second
)

// takeOver drops the attempts and requests of an earlier ownership, which have ended or moved without notice,
// and asks every gateway for its running attempts.
func (s State) takeOver(now hoist.Millis) (State, []Effect) {
	effects := []Effect{value.Query{}.WithShard(s.shard)}
	for r := range s.queued.All() {
		s, effects = s.reject(r, value.RefusalReasonMoved, 0, effects)
	}
	for ra := range s.running.All() {
		s = s.dropAttempt(ra, now)
	}
	s.grantsPausedUntil = now + takeoverPause
	return s, effects
}

// dropAttempt removes an attempt whose end no gateway reports.
func (s State) dropAttempt(ra *runningAttempt, now hoist.Millis) State {
	s = s.withTable(s.table.End(value.End{}.WithAttempt(ra.attempt()).WithKind(value.EndKindCancelled), now))
	return s.releaseSlot(ra, now)
}

// reapSilent frees the slots of attempts without a report for progressTimeout.
func (s State) reapSilent(now hoist.Millis) State {
	if now < s.lastReap+reapInterval {
		return s
	}
	s.lastReap = now
	for ra := range s.running.All() {
		if now-ra.lastReport > s.progressTimeout {
			s.settled = s.settled.With(ra.attempt())
			s = s.dropAttempt(ra, now)
		}
	}
	return s
}

// progressTimeoutOf returns the progress timeout of the pool's attempts. A plain service reports nothing before
// its response, so it gets at least twice its own timeout.
func progressTimeoutOf(v *config.View, p value.Pool) hoist.Millis {
	longest := progressTimeout
	for x := range v.Services().All() {
		if x.Pool() == p.Name() {
			longest = max(longest, 2*hoist.Millis(x.TimeoutMs()))
		}
	}
	return longest
}

// resetCounts rebuilds the server counts for a new server table; reconcile fills them.
func (s State) resetCounts() State {
	s.counts = make([]serverCounts, s.table.Servers().Len())
	for i := range s.counts {
		s.counts[i].name = s.table.Servers().At(i).Name()
	}
	return s
}

// reconcile adapts the running attempts to a new configuration: their ranks, the counts of long
// attempts, and attempts that were reported before their server was known.
func (s State) reconcile() State {
	for ra := range s.running.All() {
		next := *ra
		if i, ok := s.classIndex[ra.ask.Class()]; ok {
			next.rank = s.classStates[i].class.Rank
		}
		next.long = next.attainedTokens() > s.longAfterTokens()
		s.running = s.running.With(&next)
		if _, _, ok := s.table.Find(ra.attempt()); !ok {
			record := place.NewRunningAttempt(ra.ask, ra.rank, ra.started).WithTokens(ra.tokens)
			s = s.withTable(s.table.Start(ra.server, record))
		}
	}
	for i, cs := range s.classStates {
		s = s.withClassState(i, cs.withLong(-cs.runningLong))
	}
	for ra := range s.running.All() {
		if ra.long {
			s = s.addLong(ra, 1)
		}
		if ra.ask.Alone() {
			s = s.withCounts(ra.server, 0, 1)
		}
	}
	return s
}

// restoreAttempt records an attempt that a gateway already runs. An attempt that is known to run or is settled
// changes nothing.
func (s State) restoreAttempt(h value.Holding, now hoist.Millis) State {
	a := h.Ask().Attempt()
	if _, ok := s.running.Get(a); ok || s.settled.Has(a) {
		return s
	}
	s = s.dequeue(a)
	s.lastSequence++
	ra := &runningAttempt{ask: h.Ask(), server: h.Server(), started: now, sequence: s.lastSequence}
	if i, ok := s.classIndex[h.Ask().Class()]; ok {
		ra.rank = s.classStates[i].class.Rank
	}
	return s.start(ra.withTokens(h.Tokens(), s.longAfterTokens(), now), now)
}

// removeGateway ends the attempts and requests of a lost gateway.
//
// The rejections reach a gateway that was only unreachable for a while, so that it asks again
// instead of waiting for a grant that will never come.
func (s State) removeGateway(incarnation uint64, now hoist.Millis) (State, []Effect) {
	var effects []Effect
	for r := range s.queued.All() {
		if r.attempt().Incarnation() == incarnation {
			s, effects = s.reject(r, value.RefusalReasonMoved, 0, effects)
		}
	}
	for ra := range s.running.All() {
		if ra.attempt().Incarnation() == incarnation {
			s.settled = s.settled.With(ra.attempt())
			s = s.releaseSlot(ra, now)
		}
	}
	return s.withTable(s.table.RemoveGateway(incarnation, now)), effects
}
