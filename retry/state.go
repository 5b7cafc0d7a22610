// Package retry decides whether a request may be attempted again, hedged, or run at all.
//
// Extra attempts are a share of requests, hedges also a share of tokens, both through token
// buckets. Content that was running on a server when it crashed is suspected and runs alone;
// content that was there at two crashes is quarantined on all routers for a time.
package retry

import (
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// retryBurst is the number of extra attempts that an idle router may make at once: its share of the 16 attempts of one crashed server, and a margin.
	retryBurst = 10
	// wasteBurst bounds the credit for wasted tokens that a quiet time can save up.
	wasteBurst = 2000
	// hedgeReserve is set aside for the tokens that the loser of a hedge produces before its cancellation arrives.
	hedgeReserve = 16
	// trialRetry is the time after which a request asks again whether the rerun of the same content has ended.
	trialRetry = hoist.Second
)

// State is the immutable retry state of one router process.
type State struct {
	rules    Limits
	retries  Bucket
	waste    Bucket
	delays   Latencies
	suspects Suspects
}

// New returns the state under the rules; hedging starts once tokens have been delivered.
func New(r Limits) State {
	return State{
		rules:    r,
		retries:  NewBucket(retryBurst, retryBurst),
		waste:    NewBucket(0, wasteBurst),
		suspects: NewSuspects(r.Quarantine()),
	}
}

// Limits returns the configured limits.
func (s State) Limits() Limits { return s.rules }

// RetryBudget returns the budget of extra attempts.
func (s State) RetryBudget() Bucket { return s.retries }

// WasteBudget returns the budget of wasted tokens.
func (s State) WasteBudget() Bucket { return s.waste }

// Suspects returns the table of suspected and quarantined content.
func (s State) Suspects() Suspects { return s.suspects }

// WithLimits returns a copy with the configured limits replaced.
func (s State) WithLimits(r Limits) State {
	s.rules = r
	s.suspects = s.suspects.WithQuarantine(r.Quarantine())
	return s
}

// HedgeDelay returns the time without a first token after which a hedge is worth asking for; false forbids hedging.
func (s State) HedgeDelay(class, pool string) (hoist.Millis, bool) {
	return s.delays.Percentile(class, pool, s.rules.HedgePermille())
}

// Decide returns the state after the event and the answer to it.
func (s State) Decide(event Event, now hoist.Millis) (State, Verdict) {
	switch e := event.(type) {
	case Configured:
		return s.WithLimits(LimitsOf(e.Policy)), None{}
	case RequestArrived:
		s.retries = s.retries.Filled(1, s.rules.BudgetPermille())
		return s.admit(e.Fingerprint, now)
	case Requested:
		return s.again(e, now)
	case HedgeRequested:
		return s.hedge(e, now)
	case HedgeEnded:
		s.waste = s.waste.Charged(int64(e.Wasted) - hedgeReserve)
	case Delivered:
		s.waste = s.waste.Filled(int64(e.Tokens), WastePermille)
	case Wasted:
		s.waste = s.waste.Charged(int64(e.Tokens))
	case FirstToken:
		s.delays = s.delays.With(e.Class, e.Pool, e.Elapsed)
	case Crashed:
		return s.crashed(e, now)
	case TrialEnded:
		return s.alone(e, now)
	case QuarantineReceived:
		s.suspects = s.suspects.Merged(e.Item, now)
	case Ticked:
		s.suspects = s.suspects.Pruned(now)
	}
	return s, None{}
}

// admit answers by the standing of the content; a suspect that may run has its trial from now on.
func (s State) admit(fingerprint uint64, now hoist.Millis) (State, Verdict) {
	switch x := s.suspects.Status(fingerprint, now).(type) {
	case Quarantined:
		return s, Deny{Reason: value.RefusalReasonQuarantined, After: x.Until - now}
	case Suspected:
		if x.TrialUntil > 0 {
			return s, Delay{min(trialRetry, x.TrialUntil-now)}
		}
		s.suspects = s.suspects.TrialStarted(fingerprint, now)
		return s, Allow{Alone: true}
	case Clean:
		return s, Allow{}
	}
	return s, Allow{}
}

// again answers whether a request may be attempted once more.
//
// A refusal before the start and a preemption cost nothing: no server did work in vain that the
// scheduler had not decided to give up.
func (s State) again(e Requested, now hoist.Millis) (State, Verdict) {
	next, verdict := s.admit(e.Fingerprint, now)
	if _, ok := verdict.(Allow); !ok {
		return next, verdict
	}
	switch e.Kind {
	case value.EndKindLeaving, value.EndKindRefused, value.EndKindPreempted:
		return next, verdict
	case value.EndKindFinished, value.EndKindCancelled:
		return s, Deny{}
	case value.EndKindUnspecified, value.EndKindFailed, value.EndKindCrashed:
	}
	b, ok := next.retries.Taken(1)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget, After: hoist.Second}
	}
	next.retries = b
	return next, verdict
}

// hedge answers whether a second attempt may run beside the first; suspects never run twice at once.
func (s State) hedge(e HedgeRequested, now hoist.Millis) (State, Verdict) {
	if _, ok := s.suspects.Status(e.Fingerprint, now).(Clean); !ok {
		return s, Deny{Reason: value.RefusalReasonQuarantined}
	}
	retries, ok := s.retries.Taken(1)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget}
	}
	waste, ok := s.waste.Taken(hedgeReserve)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget}
	}
	s.retries, s.waste = retries, waste
	return s, Allow{}
}

// crashed charges all content that the server was running.
func (s State) crashed(e Crashed, now hoist.Millis) (State, Verdict) {
	fingerprints := slices.Compact(slices.Sorted(e.Fingerprints.All()))
	s.suspects = s.suspects.WithCrash(e.Server, fingerprints, now)
	return s, s.spread(fingerprints, now)
}

// alone learns from the end of a run alone; after a crash the content stays blocked until Crashed has charged it.
func (s State) alone(e TrialEnded, now hoist.Millis) (State, Verdict) {
	switch e.Kind {
	case value.EndKindFinished:
		s.suspects = s.suspects.Cleared(e.Fingerprint, now)
		return s, s.spread([]uint64{e.Fingerprint}, now)
	case value.EndKindCrashed:
	case value.EndKindUnspecified, value.EndKindCancelled, value.EndKindRefused, value.EndKindFailed,
		value.EndKindPreempted, value.EndKindLeaving:
		s.suspects = s.suspects.TrialAborted(e.Fingerprint)
	}
	return s, None{}
}

// spread returns the items of the fingerprints.
func (s State) spread(fingerprints []uint64, now hoist.Millis) Verdict {
	var items []value.Quarantine
	for _, f := range fingerprints {
		if q, ok := s.suspects.Item(f, now); ok {
			items = append(items, q)
		}
	}
	return Broadcast{value.ListOf(items...)}
}
