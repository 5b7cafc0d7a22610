// Package retry decides whether a request may run, be retried or be hedged.
//
// Token buckets limit extra attempts to a share of the requests and hedges also to a share of the
// tokens. Content that was running on a server when it crashed is suspected, and its next run is a
// trial, alone on a server; content that was running at two crashes is quarantined on all routers for a time.
package retry

import (
	"slices"

	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// retryBurst is the number of extra attempts that an idle router may make at once: its share of the 16 attempts
	// of one crashed server, and a margin.
	retryBurst = 10
	// maxWasteCredit bounds the credit for wasted tokens that can accumulate while nothing is wasted.
	maxWasteCredit = 2000
	// hedgeReserveTokens is reserved for each hedge, for the tokens that the cancelled attempt produces before the cancellation reaches its server.
	hedgeReserveTokens = 16
	// trialRecheckDelay is the longest delay before a request asks again whether the trial of the same content has ended.
	trialRecheckDelay = hoist.Second
)

// State is the immutable retry state of one router process.
type State struct {
	limits      Limits
	retryBudget Bucket
	wasteBudget Bucket
	latencies   Latencies
	suspects    Suspects
}

// New returns the state with the limits; hedges are allowed once enough tokens have been delivered.
func New(l Limits) State {
	return State{
		limits:      l,
		retryBudget: NewBucket(retryBurst, retryBurst),
		wasteBudget: NewBucket(0, maxWasteCredit),
		suspects:    NewSuspects(l.Quarantine()),
	}
}

// Limits returns the configured limits.
func (s State) Limits() Limits { return s.limits }

// RetryBudget returns the token bucket of extra attempts.
func (s State) RetryBudget() Bucket { return s.retryBudget }

// WasteBudget returns the token bucket of wasted tokens.
func (s State) WasteBudget() Bucket { return s.wasteBudget }

// Suspects returns the table of suspected and quarantined content.
func (s State) Suspects() Suspects { return s.suspects }

// WithLimits returns a copy with the configured limits replaced.
func (s State) WithLimits(l Limits) State {
	s.limits = l
	s.suspects = s.suspects.WithQuarantine(l.Quarantine())
	return s
}

// HedgeDelay returns the time without a first token after which a hedge may be requested, or false if there are too few samples to hedge.
func (s State) HedgeDelay(class, pool string) (hoist.Millis, bool) {
	return s.latencies.Percentile(class, pool, s.limits.HedgePermille())
}

// Decide returns the state after the event and the verdict on it.
func (s State) Decide(event Event, now hoist.Millis) (State, Verdict) {
	switch e := event.(type) {
	case Configured:
		return s.WithLimits(LimitsOf(e.Policy)), None{}
	case RequestArrived:
		s.retryBudget = s.retryBudget.Filled(1, s.limits.BudgetPermille())
		return s.admit(e.Fingerprint, now)
	case Requested:
		return s.allowRetry(e, now)
	case HedgeRequested:
		return s.allowHedge(e, now)
	case HedgeEnded:
		s.wasteBudget = s.wasteBudget.Charged(int64(e.Wasted) - hedgeReserveTokens)
	case Delivered:
		s.wasteBudget = s.wasteBudget.Filled(int64(e.Tokens), WastePermille)
	case Wasted:
		s.wasteBudget = s.wasteBudget.Charged(int64(e.Tokens))
	case FirstToken:
		s.latencies = s.latencies.With(e.Class, e.Pool, e.Elapsed)
	case Crashed:
		return s.recordCrash(e, now)
	case TrialEnded:
		return s.recordTrialEnd(e, now)
	case QuarantineReceived:
		s.suspects = s.suspects.Merged(e.Item, now)
	case Ticked:
		s.suspects = s.suspects.Pruned(now)
	}
	return s, None{}
}

// admit decides by the status of the content; suspected content that may run starts its trial.
func (s State) admit(fingerprint uint64, now hoist.Millis) (State, Verdict) {
	switch x := s.suspects.Status(fingerprint, now).(type) {
	case Quarantined:
		return s, Deny{Reason: value.RefusalReasonQuarantined, After: x.Until - now}
	case Suspected:
		if x.TrialUntil > 0 {
			return s, Delay{min(trialRecheckDelay, x.TrialUntil-now)}
		}
		s.suspects = s.suspects.TrialStarted(now+trialTimeout, fingerprint)
		return s, Allow{Alone: true}
	case Clean:
		return s, Allow{}
	}
	return s, Allow{}
}

// allowRetry decides whether a request may be retried.
//
// A retry after a refusal, by a leaving server too, or a preemption takes nothing from the budget: a server that
// refuses has done no work, and the scheduler chose to discard the work of a preempted attempt. A retry after any
// other failure takes one unit, also after an unreachable server, which has done no work either.
func (s State) allowRetry(e Requested, now hoist.Millis) (State, Verdict) {
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
	b, ok := next.retryBudget.Taken(1)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget, After: hoist.Second}
	}
	next.retryBudget = b
	return next, verdict
}

// allowHedge decides whether a hedge may start; suspected content must not run on two servers at once.
func (s State) allowHedge(e HedgeRequested, now hoist.Millis) (State, Verdict) {
	if _, ok := s.suspects.Status(e.Fingerprint, now).(Clean); !ok {
		return s, Deny{Reason: value.RefusalReasonQuarantined}
	}
	retryBudget, ok := s.retryBudget.Taken(1)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget}
	}
	wasteBudget, ok := s.wasteBudget.Taken(hedgeReserveTokens)
	if !ok {
		return s, Deny{Reason: value.RefusalReasonBudget}
	}
	s.retryBudget, s.wasteBudget = retryBudget, wasteBudget
	return s, Allow{}
}

// recordCrash attributes the crash to all content that the server was running.
func (s State) recordCrash(e Crashed, now hoist.Millis) (State, Verdict) {
	fingerprints := slices.Compact(slices.Sorted(e.Fingerprints.All()))
	contents := lo.Map(fingerprints, func(f uint64, _ int) value.Content { return value.Content{}.WithFingerprint(f) })
	s.suspects = s.suspects.WithCrash(value.Charge{}.WithServer(e.Server), contents, now)
	return s, s.broadcast(fingerprints, now)
}

// recordTrialEnd records the end of a trial; after a crash the content stays blocked until Crashed attributes the crash to it.
func (s State) recordTrialEnd(e TrialEnded, now hoist.Millis) (State, Verdict) {
	switch e.Kind {
	case value.EndKindFinished:
		s.suspects = s.suspects.Cleared(now, e.Fingerprint)
		return s, s.broadcast([]uint64{e.Fingerprint}, now)
	case value.EndKindCrashed:
	case value.EndKindUnspecified, value.EndKindCancelled, value.EndKindRefused, value.EndKindFailed,
		value.EndKindPreempted, value.EndKindLeaving, value.EndKindUnreachable, value.EndKindRejected:
		s.suspects = s.suspects.TrialAborted(e.Fingerprint)
	}
	return s, None{}
}

// broadcast returns a Broadcast of the items of the fingerprints.
func (s State) broadcast(fingerprints []uint64, now hoist.Millis) Verdict {
	var items []value.Quarantine
	for _, f := range fingerprints {
		if q, ok := s.suspects.Item(f, now); ok {
			items = append(items, q)
		}
	}
	return Broadcast{value.ListOf(items...)}
}
