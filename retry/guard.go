package retry

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// Guard is the immutable state that keeps content which crashes backend servers away from the shards of one dispatcher.
type Guard struct {
	state State
	// trials are the attempts that were admitted to run alone and have not ended.
	trials value.List[trial]
}

// maxTrials bounds the trials that are remembered; the time limit of a trial covers those that are forgotten.
const maxTrials = 256

// trial is one run of suspected content alone.
type trial struct {
	attempt     value.Attempt
	fingerprint uint64
}

// NewGuard returns a guard that suspects nothing.
func NewGuard(r Limits) Guard { return Guard{state: New(r)} }

// Suspects returns the table of suspected and quarantined content.
func (g Guard) Suspects() Suspects { return g.state.Suspects() }

// WithPolicy returns a copy under the policy.
func (g Guard) WithPolicy(p value.Policy) Guard {
	g.state = g.state.WithLimits(LimitsOf(p))
	return g
}

// Quarantined reports whether the content is refused.
func (g Guard) Quarantined(fingerprint uint64, now hoist.Millis) bool {
	_, q := g.state.Suspects().Status(fingerprint, now).(Quarantined)
	return q
}

// Merge returns a copy that knows an item of another router.
func (g Guard) Merge(q value.Quarantine, now hoist.Millis) Guard {
	g.state, _ = g.state.Decide(QuarantineReceived{q}, now)
	return g
}

// Admit decides about an ask before it joins a queue: it returns the ask, marked to run alone
// when its content is suspected, or the refusal of content that is quarantined or on trial elsewhere.
func (g Guard) Admit(a value.Ask, now hoist.Millis) (Guard, value.GatewayMessageBody, value.DispatcherMessageBody) {
	if a.Fingerprint() == 0 {
		return g, a, nil
	}
	refusal := value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonQuarantined)
	if a.Hedge() {
		// Suspected content never runs twice at once.
		if _, clean := g.state.Suspects().Status(a.Fingerprint(), now).(Clean); !clean {
			return g, nil, refusal
		}
		return g, a, nil
	}
	s, verdict := g.state.Decide(RequestArrived{a.Fingerprint()}, now)
	g.state = s
	switch v := verdict.(type) {
	case Deny:
		return g, nil, refusal.WithRetryMs(int64(v.After))
	case Delay:
		return g, nil, refusal.WithRetryMs(int64(v.After))
	case Allow:
		if v.Alone && g.trials.Len() < maxTrials {
			g.trials = g.trials.Append(trial{a.Attempt(), a.Fingerprint()})
		}
		return g, a.WithAlone(v.Alone), nil
	case None, Broadcast:
	}
	return g, a, nil
}

// Ended learns from the end of an attempt and returns the items that other routers must learn;
// table is the server table before the end.
func (g Guard) Ended(e value.End, table place.Table, now hoist.Millis) (Guard, value.List[value.Quarantine]) {
	var items value.List[value.Quarantine]
	running, name, ok := table.Find(e.Attempt())
	if !ok {
		return g, items
	}
	var verdict Verdict
	if running.Ask().Alone() {
		g = g.without(e.Attempt())
		g.state, verdict = g.state.Decide(TrialEnded{running.Ask().Fingerprint(), e.Kind()}, now)
		items = withSpread(items, verdict)
	}
	if server, ok := table.Server(name); ok && e.Kind() == value.EndKindCrashed {
		g.state, verdict = g.state.Decide(Crashed{name, server.Fingerprints()}, now)
		items = withSpread(items, verdict)
	}
	return g, items
}

// Dropped ends the trial of an attempt that was refused or withdrawn before it started,
// so that the content is not blocked until the trial's time limit.
func (g Guard) Dropped(a value.Attempt, now hoist.Millis) Guard {
	for t := range g.trials.All() {
		if t.attempt == a {
			g.state, _ = g.state.Decide(TrialEnded{t.fingerprint, value.EndKindCancelled}, now)
		}
	}
	return g.without(a)
}

// HasTrials reports whether an attempt was admitted to run alone and has not ended.
func (g Guard) HasTrials() bool { return g.trials.Len() > 0 }

// without returns a copy that has forgotten the trial of an attempt.
func (g Guard) without(a value.Attempt) Guard {
	for i := range g.trials.Len() {
		if g.trials.At(i).attempt == a {
			g.trials = g.trials.Without(i)
			return g
		}
	}
	return g
}

// withSpread adds the items of a verdict.
func withSpread(items value.List[value.Quarantine], v Verdict) value.List[value.Quarantine] {
	spread, ok := v.(Broadcast)
	if !ok {
		return items
	}
	for q := range spread.Items.All() {
		items = items.Append(q)
	}
	return items
}
