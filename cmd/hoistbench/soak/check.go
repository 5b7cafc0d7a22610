package soak

import (
	"fmt"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxPrintedViolations bounds the violations that are printed.
	maxPrintedViolations = 20
	// departureLimit is the time after which a leaving server must receive no new work (invariant I6).
	departureLimit = 3 * sim.Second
	// inForceLimit is the time until a published configuration must be in force (invariant I8).
	inForceLimit = 5 * sim.Second
	// ownerChangeAllowance is added to a class's longest wait, because a shard may change its owner meanwhile.
	ownerChangeAllowance = 15 * sim.Second
	// maxOrphanedEntries allows for grants and end messages that are in transit.
	maxOrphanedEntries = 10
	// faultAftermath is the time after a fault during which failures are still attributed to it.
	faultAftermath = 10 * sim.Second
)

// report counts the checks and the violations of each invariant.
type report struct {
	checked  map[invar.Invariant]int
	violated map[invar.Invariant]int
	details  []string
}

// check counts one check of an invariant; the detail is formatted only for a violation.
func (w *world) check(c invar.Invariant, holds bool, format string, args ...any) {
	w.report.checked[c]++
	if holds {
		return
	}
	w.report.violated[c]++
	if len(w.report.details) < maxPrintedViolations {
		w.report.details = append(w.report.details,
			fmt.Sprintf("%s at %d ms: %s", c, w.events.Now().Millis(), fmt.Sprintf(format, args...)))
	}
}

// tierRank returns the tier rank of a class in the configuration of the run.
func tierRank(class string) int32 {
	for _, c := range classes {
		if c.name == class {
			return c.rank
		}
	}
	return 0
}

// checkTierOrder checks tier order (I1) on one decision of a shard.
func (w *world) checkTierOrder(before, after sched.State, e sched.Event, effects []sched.Effect) {
	waiting := map[value.Attempt]int32{}
	highestRank := int32(0)
	addWaiting := func(a value.Ask) {
		r := tierRank(a.Class())
		waiting[a.Attempt()] = r
		if highestRank == 0 || r < highestRank {
			highestRank = r
		}
	}
	for x := range before.Queue().All() {
		addWaiting(x.Ask())
	}
	if r, ok := e.(sched.MessageReceived); ok {
		if a, ok := r.Body.(value.Ask); ok {
			addWaiting(a)
		}
	}
	for _, x := range effects {
		switch b := x.(type) {
		case value.Refusal:
			if b.Reason() != value.RefusalReasonShed {
				continue
			}
			for q := range after.Queue().All() {
				w.check(invar.TierOrder, tierRank(q.Ask().Class()) <= waiting[b.Attempt()],
					"a request of tier rank %d was shed while one of class %s waits", waiting[b.Attempt()], q.Ask().Class())
			}
		case value.Preempt:
			if r, _, ok := before.Table().Find(b.Attempt()); ok {
				w.check(invar.TierOrder, highestRank != 0 && highestRank <= r.Rank(),
					"a request of tier rank %d was preempted, the highest waiting rank is %d", r.Rank(), highestRank)
			}
		default:
		}
	}
}

// checkFrame checks answer identity (I3) on a frame that reaches the caller.
func (w *world) checkFrame(j, origin *job, seq int32) {
	w.check(invar.AnswerIdentity, j == origin && seq == j.receivedTokens,
		"job %d received frame %d of job %d instead of its own frame %d", j.number, seq, origin.number, j.receivedTokens)
}

// checkResult checks answer identity, honest outcome and graceful shutdown (I3, I4, I7) at the end of a request.
func (w *world) checkResult(p *process, j *job, x call.Result) {
	switch x.Outcome {
	case value.OutcomeRan:
		w.check(invar.AnswerIdentity, int(j.receivedTokens) == j.tokens,
			"job %d ended as ran after %d of %d tokens", j.number, j.receivedTokens, j.tokens)
	case value.OutcomeNotRun:
		w.check(invar.HonestOutcome, j.runs == 0, "job %d was reported as not run, but servers started it %d times", j.number, j.runs)
		w.check(invar.GracefulShutdown, !w.undisturbedSince(j.submittedAt) || x.Reason != value.RefusalReasonUnavailable,
			"job %d of class %s was refused by %s as unavailable while no fault was active", j.number, j.class, p.name)
	default:
		w.check(invar.GracefulShutdown, !w.undisturbedSince(j.submittedAt),
			"job %d on %s ended as %s while no fault was active", j.number, p.name, x.Outcome)
	}
}

// checkRun checks at-most-once execution (I5) when a server starts to run a job.
func (w *world) checkRun(j *job) {
	w.check(invar.AtMostOnce, j.repeatable || j.runs == 1, "unrepeatable job %d was started %d times", j.number, j.runs)
}

// checkDeparture checks departure (I6) when an attempt arrives at a leaving server.
func (w *world) checkDeparture(s *server) {
	now := w.events.Now()
	w.check(invar.Departure, now <= s.leavingAt+departureLimit || !w.undisturbedSince(s.leavingAt),
		"%s received new work %d ms after it began to leave", s.instance.Name(), (now - s.leavingAt).Millis())
}

// checkVersionOrder checks configuration order (I8) when a process puts a configuration in force.
func (w *world) checkVersionOrder(p *process, old, next config.Version) {
	w.check(invar.ConfigurationOrder, next.Newer(old), "%s replaced generation %d with generation %d", p.name, old.Generation, next.Generation)
}

// checkInForce checks that every process has a published configuration in force within the time limit of I8.
func (w *world) checkInForce(v config.Version) {
	if !w.undisturbedSince(w.events.Now() - inForceLimit) {
		return
	}
	for _, p := range w.processes {
		if !p.up || p.startedAt > w.events.Now()-inForceLimit {
			continue
		}
		w.check(invar.ConfigurationOrder, !v.Newer(p.version), "%s has generation %d in force %d ms after generation %d was published",
			p.name, p.version.Generation, inForceLimit.Millis(), v.Generation)
	}
}

// checkWaitingTimes checks the waiting bound (I2) on every request that has no server.
func (w *world) checkWaitingTimes() {
	now := w.events.Now()
	for _, p := range w.processes {
		if !p.up || p.pausedUntil > now {
			continue
		}
		for _, number := range p.requestNumbers() {
			r := p.requests[number]
			limit := sim.FromMillis(classMaxWait(r.job.class)) + ownerChangeAllowance
			withinBound := r.reportedOverdue || r.hasAttempt() || now-max(r.unservedSince, w.lastPauseEnd) <= limit
			r.reportedOverdue = r.reportedOverdue || !withinBound
			w.check(invar.WaitingBound, withinBound,
				"job %d of class %s on %s has waited for %d ms", r.job.number, r.job.class, p.name, (now - r.unservedSince).Millis())
		}
	}
}

// checkOrphanedSlots checks the waiting bound (I2) on the tables of the shard owners: an entry whose gateway has no such
// attempt is never released, so its slot is lost to the waiting classes.
func (w *world) checkOrphanedSlots() {
	if !w.undisturbedSince(w.events.Now()) {
		return
	}
	for _, p := range w.processes {
		if !p.up || p.pausedUntil > w.events.Now() {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(p.ownedShards)) {
			s := p.ownedShards[key]
			if !s.owned {
				continue
			}
			orphaned := w.orphanedEntries(s.state)
			w.check(invar.WaitingBound, s.leaked || orphaned <= maxOrphanedEntries,
				"%s holds %d slots of shard %s for attempts that run at no gateway", p.name, orphaned, key)
			s.leaked = orphaned > maxOrphanedEntries
		}
	}
}

// orphanedEntries counts the entries of a shard's table whose attempt isn't running at its gateway.
func (w *world) orphanedEntries(s sched.State) int {
	n := 0
	for x := range s.Table().Servers().All() {
		for r := range x.Running().All() {
			if !w.gatewayRuns(r.Ask().Attempt()) {
				n++
			}
		}
	}
	return n
}

// gatewayRuns reports whether the gateway of an attempt has it on a server.
func (w *world) gatewayRuns(a value.Attempt) bool {
	for _, p := range w.processes {
		if p.up && p.incarnation == a.Incarnation() {
			r, ok := p.requests[a.Request()]
			return ok && r.attempts[a.Number()] != nil
		}
	}
	return false
}

// classMaxWait returns the longest allowed wait of a class.
func classMaxWait(class string) hoist.Millis {
	for _, c := range classes {
		if c.name == class {
			return c.maxWait
		}
	}
	return 0
}

// undisturbedSince reports whether no fault is active and the last one ended more than faultAftermath before start.
func (w *world) undisturbedSince(start sim.Micros) bool {
	return w.activeFaults == 0 && w.lastFaultEnd < start-faultAftermath
}
