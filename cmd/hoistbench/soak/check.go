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
	// maxDetails bounds the violations that are printed.
	maxDetails = 20
	// departureLimit is the time of invariant I6.
	departureLimit = 3 * sim.Second
	// forceLimit is the time of invariant I8.
	forceLimit = 5 * sim.Second
	// waitGrace is added to a class's longest wait, for the moves of a shard between owners.
	waitGrace = 15 * sim.Second
	// staleLimit allows for grants and ends that are under way.
	staleLimit = 10
	// calmBefore is the time without a fault after which a failure can't be blamed on one any more.
	calmBefore = 10 * sim.Second
)

// report counts checks and violations.
type report struct {
	made     map[invar.Invariant]int
	violated map[invar.Invariant]int
	details  []string
}

// check counts one check; detail is only built for a violation.
func (w *world) check(c invar.Invariant, holds bool, format string, args ...any) {
	w.report.made[c]++
	if holds {
		return
	}
	w.report.violated[c]++
	if len(w.report.details) < maxDetails {
		w.report.details = append(w.report.details,
			fmt.Sprintf("%s at %d ms: %s", c, w.loop.Now().Millis(), fmt.Sprintf(format, args...)))
	}
}

// rank returns the tier rank of a class in the run's configuration.
func rank(class string) int32 {
	for _, c := range classes {
		if c.name == class {
			return c.rank
		}
	}
	return 0
}

// checkOrder checks I1 on one decision of a shard.
func (w *world) checkOrder(before, after sched.State, e sched.Event, effects []sched.Effect) {
	waiting := map[value.Attempt]int32{}
	highest := int32(0)
	note := func(a value.Ask) {
		r := rank(a.Class())
		waiting[a.Attempt()] = r
		if highest == 0 || r < highest {
			highest = r
		}
	}
	for x := range before.Queue().All() {
		note(x.Ask())
	}
	if r, ok := e.(sched.MessageReceived); ok {
		if a, ok := r.Body.(value.Ask); ok {
			note(a)
		}
	}
	for _, x := range effects {
		switch b := x.(type) {
		case value.Refusal:
			if b.Reason() != value.RefusalReasonShed {
				continue
			}
			for q := range after.Queue().All() {
				w.check(invar.TierOrder, rank(q.Ask().Class()) <= waiting[b.Attempt()],
					"rank %d was shed while %s waits", waiting[b.Attempt()], q.Ask().Class())
			}
		case value.Preempt:
			if r, _, ok := before.Table().Find(b.Attempt()); ok {
				w.check(invar.TierOrder, highest != 0 && highest <= r.Rank(),
					"rank %d was preempted, the highest that waits is %d", r.Rank(), highest)
			}
		default:
		}
	}
}

// checkFrame checks I3 on a frame that reaches the caller.
func (w *world) checkFrame(j, truth *job, seq int32) {
	w.check(invar.AnswerIdentity, j == truth && seq == j.got, "job %d got frame %d of job %d, expected %d", j.number, seq, truth.number, j.got)
}

// checkEnd checks I3, I4 and I7 on the end of a request.
func (w *world) checkEnd(p *process, j *job, x call.Result) {
	switch x.Outcome {
	case value.OutcomeRan:
		w.check(invar.AnswerIdentity, int(j.got) == j.tokens, "job %d ended as ran with %d of %d tokens", j.number, j.got, j.tokens)
	case value.OutcomeNotRun:
		w.check(invar.HonestOutcome, j.runs == 0, "job %d is reported as not run and was begun %d times", j.number, j.runs)
		w.check(invar.GracefulShutdown, !w.calmSince(j.at) || x.Reason != value.RefusalReasonUnavailable,
			"job %d of %s was refused by %s for lack of a server without a fault", j.number, j.class, p.name)
	default:
		w.check(invar.GracefulShutdown, !w.calmSince(j.at), "job %d on %s ended as %s without a fault", j.number, p.name, x.Outcome)
	}
}

// checkRun checks I5 when a server begins a job.
func (w *world) checkRun(j *job) {
	w.check(invar.AtMostOnce, j.repeatable || j.runs == 1, "job %d must not be repeated and was begun %d times", j.number, j.runs)
}

// checkDeparture checks I6 when a start reaches a server that is leaving.
func (w *world) checkDeparture(s *server) {
	now := w.loop.Now()
	w.check(invar.Departure, now <= s.leavingAt+departureLimit || !w.calmSince(s.leavingAt),
		"%s got new work %d ms after it began to leave", s.instance.Name(), (now - s.leavingAt).Millis())
}

// checkVersion checks the order of I8 when a process puts a configuration in force.
func (w *world) checkVersion(p *process, old, next config.Version) {
	w.check(invar.ConfigurationOrder, next.Newer(old), "%s replaced generation %d by %d", p.name, old.Generation, next.Generation)
}

// checkForce checks the time of I8 after a publication.
func (w *world) checkForce(v config.Version) {
	if !w.calmSince(w.loop.Now() - forceLimit) {
		return
	}
	for _, p := range w.processes {
		if !p.up || p.started > w.loop.Now()-forceLimit {
			continue
		}
		w.check(invar.ConfigurationOrder, !v.Newer(p.version), "%s has generation %d in force %d ms after %d was published",
			p.name, p.version.Generation, forceLimit.Millis(), v.Generation)
	}
}

// checkWaits checks I2 on every request that has no server.
func (w *world) checkWaits() {
	now := w.loop.Now()
	for _, p := range w.processes {
		if !p.up || p.pausedUntil > now {
			continue
		}
		for _, number := range p.order() {
			r := p.requests[number]
			limit := sim.FromMillis(maxWait(r.job.class)) + waitGrace
			kept := r.overdue || r.running() || now-max(r.idle, w.lastPause) <= limit
			r.overdue = r.overdue || !kept
			w.check(invar.WaitingBound, kept,
				"job %d of %s on %s waits for %d ms", r.job.number, r.job.class, p.name, (now - r.idle).Millis())
		}
	}
}

// checkSlots checks I2 on the tables of the shards' owners: an entry without an attempt at its gateway
// holds a slot for ever, so the classes behind it starve.
func (w *world) checkSlots() {
	if !w.calmSince(w.loop.Now()) {
		return
	}
	for _, p := range w.processes {
		if !p.up || p.pausedUntil > w.loop.Now() {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(p.owned)) {
			s := p.owned[key]
			if !s.owned {
				continue
			}
			stale := w.unknown(s.state)
			w.check(invar.WaitingBound, s.leaked || stale <= staleLimit,
				"%s holds %d slots of %s for attempts that no gateway runs", p.name, stale, key)
			s.leaked = stale > staleLimit
		}
	}
}

// unknown counts the entries of a shard's table whose attempt no gateway runs.
func (w *world) unknown(s sched.State) int {
	n := 0
	for x := range s.Table().Servers().All() {
		for r := range x.Running().All() {
			if !w.runs(r.Ask().Attempt()) {
				n++
			}
		}
	}
	return n
}

// runs reports whether the gateway of an attempt has it on a server.
func (w *world) runs(a value.Attempt) bool {
	for _, p := range w.processes {
		if p.up && p.incarnation == a.Incarnation() {
			r, ok := p.requests[a.Request()]
			return ok && r.attempts[a.Number()] != nil
		}
	}
	return false
}

// maxWait returns the longest wait of a class.
func maxWait(class string) hoist.Millis {
	for _, c := range classes {
		if c.name == class {
			return c.maxWait
		}
	}
	return 0
}

// calmSince reports whether no fault was in force since shortly before the time.
func (w *world) calmSince(t sim.Micros) bool {
	return w.faulty == 0 && w.lastFault < t-calmBefore
}
