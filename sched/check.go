package sched

import (
	"fmt"

	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// checkShed reports a violation of invar.TierOrder if a request of a lower tier than the shed one is queued.
//
// It reads the rank with which each request was queued, not that of the class state, so that a
// wrong order of the class states is detected.
func (s State) checkShed(victim *QueuedRequest) {
	for _, cs := range s.classStates {
		for _, q := range cs.queues {
			if q.Len() > 0 && q.First().class.Rank > victim.class.Rank {
				invar.Report(invar.TierOrder, fmt.Sprintf("shard %s sheds %s of rank %d while rank %d waits",
					s.shard, attemptID(victim.attempt()), victim.class.Rank, q.First().class.Rank))
				return
			}
		}
	}
}

// checkPreempt reports a violation of invar.TierOrder if the attempt has a higher tier than the request that it is
// preempted for.
func (s State) checkPreempt(victim *runningAttempt, r *QueuedRequest) {
	if victim.rank >= r.class.Rank {
		return
	}
	invar.Report(invar.TierOrder, fmt.Sprintf("shard %s preempts %s of rank %d for rank %d",
		s.shard, attemptID(victim.attempt()), victim.rank, r.class.Rank))
}

// checkWaitBound counts a grant to one class against the classes that have waited beyond their bound. It reports a
// violation of invar.WaitingBound when a class has been passed over more often than there are classes.
//
// Classes without a usable slot are blocked and not counted. The check reads the token total at the
// class's last grant, not the deficit counter, so that a wrong counter is detected.
func (s State) checkWaitBound(cursors []cursor, granted int) State {
	if !managed(s.policy) {
		return s
	}
	last := -1
	for _, c := range cursors {
		cs := s.classStates[c.class]
		if c.class == granted || c.class == last || c.blocked || s.totalTokens-cs.lastServed <= cs.waitBoundTokens() {
			continue
		}
		last = c.class
		cs = cs.withPassedOver()
		s = s.withClassState(c.class, cs)
		if int(cs.passedOver) > len(s.classStates) {
			invar.Report(invar.WaitingBound, fmt.Sprintf("shard %s passes over class %s, which waits for %d tokens; its bound is %d",
				s.shard, cs.class.Name(), s.totalTokens-cs.lastServed, cs.waitBoundTokens()))
		}
	}
	return s
}

// attemptID returns the attempt's identifier as the engine interface writes it.
func attemptID(a value.Attempt) string {
	return fmt.Sprintf("%x-%d-%d", a.Incarnation(), a.Request(), a.Number())
}
