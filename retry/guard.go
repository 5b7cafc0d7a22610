package retry

import (
	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// Guard keeps content that crashes backend servers out of the queues of one dispatcher; it is immutable.
type Guard struct {
	state State
	// prefixes are the prompt prefixes that requests with different content share.
	prefixes Suspects
	// announced are the times at which this router has announced quarantined content, see Announce.
	announced map[uint64]hoist.Millis
	// trials are the trials that were admitted and have not ended.
	trials value.List[trial]
}

// maxTrials bounds the recorded trials; a trial beyond it still ends at trialTimeout.
const maxTrials = 256

// trial is one run of suspected content alone on a server.
type trial struct {
	attempt     value.Attempt
	fingerprint uint64
}

// NewGuard returns a guard without suspected content.
func NewGuard(l Limits) Guard {
	return Guard{state: New(l), prefixes: NewSuspects(DefaultQuarantine).WithSharedContent(firstPrefixQuarantine)}
}

// Suspects returns the table of suspected and quarantined content.
func (g Guard) Suspects() Suspects { return g.state.Suspects() }

// WithPolicy returns a copy with the limits of the policy.
func (g Guard) WithPolicy(p value.Policy) Guard {
	g.state = g.state.WithLimits(LimitsOf(p))
	return g
}

// Quarantined reports whether the content, a whole request or a prompt prefix, is quarantined.
func (g Guard) Quarantined(fingerprint uint64, now hoist.Millis) bool {
	_, whole := g.state.Suspects().Status(fingerprint, now).(Quarantined)
	_, prefix := g.prefixes.Status(fingerprint, now).(Quarantined)
	return whole || prefix
}

// Merge returns a copy with an item of another router merged in.
func (g Guard) Merge(q value.Quarantine, now hoist.Millis) Guard {
	if q.Depth() > 0 {
		g.prefixes = g.prefixes.Merged(q, now)
		return g
	}
	g.state, _ = g.state.Decide(QuarantineReceived{q}, now)
	return g
}

// Admit decides about a placement request before it joins a queue. It returns either the request, marked to run alone
// if its content is suspected, or a refusal if the content is quarantined or another attempt runs its trial.
func (g Guard) Admit(a value.Ask, now hoist.Millis) (Guard, value.GatewayMessageBody, value.DispatcherMessageBody) {
	if a.Fingerprint() == 0 {
		return g, a, nil
	}
	refusal := value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonQuarantined)
	prefixes, verdict := g.prefixes.Admit(prefixContents(a), now+trialTimeout, now)
	switch v := verdict.(type) {
	case Deny:
		return g, nil, refusal.WithRetryMs(int64(v.After))
	case Delay:
		return g, nil, refusal.WithRetryMs(int64(v.After))
	case Allow, None, Broadcast:
	}
	g.prefixes = prefixes
	if a.Hedge() {
		// Suspected content must not run on two servers at once.
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

// Ended records the end of an attempt and returns the items to broadcast to the other routers;
// table is the server table before the end.
func (g Guard) Ended(e value.End, table place.Table, now hoist.Millis) (Guard, value.List[value.Quarantine]) {
	var items value.List[value.Quarantine]
	running, name, ok := table.Find(e.Attempt())
	if !ok {
		return g, items
	}
	old := g.prefixes
	switch e.Kind() {
	case value.EndKindFinished:
		g.prefixes = g.prefixes.Completed(prefixContents(running.Ask()), now)
	case value.EndKindCrashed:
	default:
		fingerprints := lo.Map(prefixContents(running.Ask()), func(c value.Content, _ int) uint64 { return c.Fingerprint() })
		g.prefixes = g.prefixes.TrialAborted(fingerprints...)
	}
	var verdict Verdict
	if running.Ask().Alone() {
		g = g.withoutTrial(e.Attempt())
		g.state, verdict = g.state.Decide(TrialEnded{running.Ask().Fingerprint(), e.Kind()}, now)
		items = appendBroadcast(items, verdict)
	}
	if server, ok := table.Server(name); ok && e.Kind() == value.EndKindCrashed {
		g.state, verdict = g.state.Decide(Crashed{name, server.Fingerprints()}, now)
		items = appendBroadcast(items, verdict)
		g = g.withPrefixCrash(server, now)
	}
	for _, q := range g.prefixes.CauseChanges(old, now) {
		items = items.Append(q)
	}
	return g, items
}

// Dropped ends the trial of an attempt that was refused or withdrawn before it started,
// so that the content is not blocked until trialTimeout.
func (g Guard) Dropped(a value.Attempt, now hoist.Millis) Guard {
	for t := range g.trials.All() {
		if t.attempt == a {
			g.state, _ = g.state.Decide(TrialEnded{t.fingerprint, value.EndKindCancelled}, now)
		}
	}
	return g.withoutTrial(a)
}

// HasTrials reports whether a trial is recorded as in progress.
func (g Guard) HasTrials() bool { return g.trials.Len() > 0 }

// withoutTrial returns a copy without the trial of the attempt.
func (g Guard) withoutTrial(a value.Attempt) Guard {
	for i := range g.trials.Len() {
		if g.trials.At(i).attempt == a {
			g.trials = g.trials.Without(i)
			return g
		}
	}
	return g
}

// appendBroadcast appends the items of a Broadcast verdict.
func appendBroadcast(items value.List[value.Quarantine], v Verdict) value.List[value.Quarantine] {
	broadcast, ok := v.(Broadcast)
	if !ok {
		return items
	}
	for q := range broadcast.Items.All() {
		items = items.Append(q)
	}
	return items
}
