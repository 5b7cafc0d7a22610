package sched

import (
	"fmt"

	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// checkShed reports I1 if a request of a lower tier waits than the one that is shed.
//
// It reads the rank that each request was queued with, not the ledger's, so that a
// wrong order of the ledgers does not hide itself.
func (s State) checkShed(victim *QueuedRequest) {
	for _, l := range s.ledgers {
		for _, x := range l.lanes {
			if x.Len() > 0 && x.First().class.Rank > victim.class.Rank {
				invar.Report(invar.TierOrder, fmt.Sprintf("shard %s sheds %s of rank %d while rank %d waits",
					s.shard, name(victim.attempt()), victim.class.Rank, x.First().class.Rank))
				return
			}
		}
	}
}

// checkPreempt reports I1 if the attempt has a higher tier than the request that it yields to.
func (s State) checkPreempt(victim *job, w *QueuedRequest) {
	if victim.rank >= w.class.Rank {
		return
	}
	invar.Report(invar.TierOrder, fmt.Sprintf("shard %s preempts %s of rank %d for rank %d",
		s.shard, name(victim.attempt()), victim.rank, w.class.Rank))
}

// checkWait counts a grant to one class against the classes that have waited for longer than
// their bound, and reports I2 when a class has been passed over more often than there are classes.
//
// Classes without a usable slot are blocked and not counted. The check reads the total at the
// class's last grant, not the deficit counter, so that a wrong counter does not hide itself.
func (s State) checkWait(cursors []cursor, granted int) State {
	if !managed(s.policy) {
		return s
	}
	last := -1
	for _, c := range cursors {
		l := s.ledgers[c.ledger]
		if c.ledger == granted || c.ledger == last || c.blocked || s.total-l.served <= l.bound() {
			continue
		}
		last = c.ledger
		l = l.withPassed()
		s = s.withLedger(c.ledger, l)
		if int(l.passed) > len(s.ledgers) {
			invar.Report(invar.WaitingBound, fmt.Sprintf("shard %s passes over class %s, which waits for %d tokens; its bound is %d",
				s.shard, l.class.Name(), s.total-l.served, l.bound()))
		}
	}
	return s
}

// name returns the attempt in the form of the engine interface.
func name(a value.Attempt) string {
	return fmt.Sprintf("%x-%d-%d", a.Incarnation(), a.Request(), a.Number())
}
