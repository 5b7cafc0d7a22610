package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxFailures is the number of failed attempts after which a request ends; a preemption is not a failure.
	maxFailures = 4
	// maxWaits bounds how often one request waits because its shard has moved, its dispatcher was lost, or the retry state
	// answers Delay while another request runs the trial of its content. The retry state of a gateway receives no
	// Crashed or QuarantineReceived event, so it never answers Delay.
	// With askRetryDelay it covers the 2 s until a crashed owner is suspected and the 1 s of the ownership change.
	maxWaits = 64
	// maxCrashes is the number of server crashes after which a request ends, so that it cannot crash one server after another.
	maxCrashes = 2
	// askRetryDelay is the delay before the placement request is sent again after the shard has moved or its dispatcher was lost.
	askRetryDelay hoist.Millis = 50
)

// Decide returns the state after the event and the effects that it causes.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	if s.done {
		return s, s.endLateGrant(event)
	}
	switch e := event.(type) {
	case Started:
		s.startedAt = now
		s, sent := s.sendAsk(false, now)
		return s, append([]Effect{NotifyRetry{retry.RequestArrived{Fingerprint: s.ask.Fingerprint()}}}, sent...)
	case Granted:
		return s.granted(e.Grant, now)
	case RetryDecided:
		return s.retryDecided(e.Verdict, now)
	case Refused:
		return s.refused(e.Refusal)
	case Preempted:
		return s.preempted(e.Attempt, now)
	case FirstFrame:
		return s.firstFrame(e.Attempt, now)
	case AttemptEnded:
		return s.attemptEnded(e)
	case CallerDisconnected:
		return s.callerDisconnected()
	case OwnerLost:
		return s.ownerLost(e.Attempt)
	case TimerFired:
		return s.timerFired(e.Timer, now)
	}
	return s, nil
}

// endLateGrant releases a server that was granted after the request had finished.
func (s State) endLateGrant(event Event) []Effect {
	if g, ok := event.(Granted); ok {
		return []Effect{Send{s.endMessage(g.Grant.Attempt(), value.EndKindCancelled, 0)}}
	}
	return nil
}

// sendAsk adds an attempt and sends its placement request.
func (s State) sendAsk(hedge bool, now hoist.Millis) (State, []Effect) {
	s.lastNumber++
	id := s.ask.Attempt().WithNumber(s.lastNumber)
	s.attempts = s.attempts.Append(attempt{id: id, hedge: hedge})
	a := s.ask.WithAttempt(id).WithHedge(hedge).WithAvoid(s.serversToAvoid()).WithAlone(s.crashes > 0).
		WithResumedTokens(s.emitted).WithWaitedMs(s.ask.WaitedMs() + int64(now-s.startedAt))
	return s, []Effect{Send{a}}
}

// serversToAvoid returns the servers that the next attempt must not use: those of failed attempts and those of attempts in progress.
func (s State) serversToAvoid() value.List[string] {
	avoid := s.avoid
	for a := range s.attempts.All() {
		if a.server != "" {
			avoid = avoid.Append(a.server)
		}
	}
	return avoid
}

// granted starts the attempt, or releases the server when the attempt is no longer in progress.
func (s State) granted(g value.Grant, now hoist.Millis) (State, []Effect) {
	i := s.find(g.Attempt())
	if i < 0 {
		return s, []Effect{Send{s.endMessage(g.Attempt(), value.EndKindCancelled, 0)}}
	}
	a := s.attempts.At(i)
	if a.phase != phaseRequested {
		// This is a repeated grant; the end of the running attempt releases the server.
		return s, nil
	}
	a.phase, a.server, a.grantedAt, a.resumedFrames = phaseStarted, g.Server(), now, s.emitted
	s = s.withAttempt(i, a)
	s.starts++
	s.possibleRuns++
	effects := []Effect{Start{Grant: g, Resume: s.emitted}}
	if g.HedgeMs() > 0 && s.ask.Repeatable() && !a.hedge && s.emitted == 0 && s.crashes == 0 {
		effects = append(effects, SetTimer{HedgeTimer{a.id}, hoist.Millis(g.HedgeMs())})
	}
	return s, effects
}

// refused handles a refusal: it ends the request unless another attempt is in progress, a retry is possible or the shard has moved.
func (s State) refused(r value.Refusal) (State, []Effect) {
	i := s.find(r.Attempt())
	if i < 0 || s.attempts.At(i).phase != phaseRequested {
		return s, nil
	}
	hedge := s.attempts.At(i).hedge
	s = s.withoutAttempt(i)
	switch {
	case s.attempts.Len() > 0:
		return s, nil
	case hedge:
		// The first attempt ended while its hedge was waiting, so its retry is still to be decided.
		return s.requestRetry(s.lastEnd)
	case r.Reason() == value.RefusalReasonMoved && s.waits < maxWaits:
		return s.askAfter(askRetryDelay)
	}
	return s.finish(s.incompleteOutcome(), r.Reason(), hoist.Millis(r.RetryMs()))
}

// preempted releases the server and requests another one for the rest of the response.
func (s State) preempted(id value.Attempt, now hoist.Millis) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase == phaseRequested || !s.ask.Repeatable() {
		return s, nil
	}
	effects := []Effect{Stop{id}, Send{s.endMessage(id, value.EndKindPreempted, s.deliveredFrames(s.attempts.At(i)))}}
	s = s.withoutAttempt(i)
	s.lastEnd = value.EndKindPreempted
	if s.attempts.Len() > 0 {
		return s, effects
	}
	s, sent := s.sendAsk(false, now)
	return s, append(effects, sent...)
}

// firstFrame keeps the attempt that delivered the first frame and cancels every other attempt.
func (s State) firstFrame(id value.Attempt, now hoist.Millis) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase != phaseStarted {
		return s, nil
	}
	winner := s.attempts.At(i)
	winner.phase = phaseStreaming
	effects := s.cancel(id)
	if s.attempts.Len() > 1 {
		effects = append(effects, NotifyRetry{retry.HedgeEnded{}})
	}
	if s.emitted == 0 {
		effects = append(effects, NotifyRetry{retry.FirstToken{
			Class: s.ask.Class(), Pool: s.ask.Shard(), Elapsed: now - winner.grantedAt,
		}})
	}
	s.attempts = value.ListOf(winner)
	return s, effects
}

// cancel returns the effects that end every attempt except one.
func (s State) cancel(except value.Attempt) []Effect {
	var effects []Effect
	for a := range s.attempts.All() {
		switch {
		case a.id == except:
		case a.phase == phaseRequested:
			effects = append(effects, Send{value.Withdraw{}.WithAttempt(a.id).WithShard(s.ask.Shard())})
		default:
			effects = append(effects, Stop{a.id}, Send{s.endMessage(a.id, value.EndKindCancelled, 0)})
		}
	}
	return effects
}

// attemptEnded handles the end of an attempt: it finishes the request or decides about a retry.
func (s State) attemptEnded(e AttemptEnded) (State, []Effect) {
	i := s.find(e.Attempt)
	if i < 0 || s.attempts.At(i).phase == phaseRequested {
		return s, nil
	}
	a := s.attempts.At(i)
	effects := []Effect{Send{s.endMessage(a.id, e.Kind, s.deliveredFrames(a))}}
	if e.Kind == value.EndKindFinished {
		effects = append(effects, s.cancel(a.id)...)
		s.attempts = value.List[attempt]{}
		s, finish := s.finish(value.OutcomeRan, value.RefusalReasonUnspecified, 0)
		return s, append(effects, finish...)
	}
	s = s.withoutAttempt(i)
	s.avoid = s.avoid.Append(a.server)
	s.lastEnd = e.Kind
	s.failures++
	if provesNotRun(e.Kind) {
		s.possibleRuns--
	}
	if e.Kind == value.EndKindCrashed {
		s.crashes++
	}
	if s.attempts.Len() > 0 {
		return s, effects
	}
	if e.Kind == value.EndKindRejected {
		s, finish := s.finish(s.incompleteOutcome(), value.RefusalReasonInvalid, 0)
		return s, append(effects, finish...)
	}
	s, next := s.requestRetry(e.Kind)
	return s, append(effects, next...)
}

// requestRetry asks the retry state for another attempt, or finishes the request.
//
// An unrepeatable request is sent at most once, even if the server reports that it did not start it,
// so that the guarantee does not depend on what a backend server reports.
func (s State) requestRetry(kind value.EndKind) (State, []Effect) {
	if !s.ask.Repeatable() || s.failures >= maxFailures || s.crashes >= maxCrashes {
		return s.finish(s.incompleteOutcome(), value.RefusalReasonUnspecified, hoist.Second)
	}
	s.pending = questionRetry
	return s, []Effect{NotifyRetry{retry.Requested{Fingerprint: s.ask.Fingerprint(), Kind: kind}}}
}

// retryDecided applies the verdict of the retry state.
func (s State) retryDecided(v retry.Verdict, now hoist.Millis) (State, []Effect) {
	decided := s.pending
	s.pending = questionNone
	switch v := v.(type) {
	case retry.Allow:
		switch decided {
		case questionRetry:
			return s.sendAsk(false, now)
		case questionHedge:
			return s.sendAsk(true, now)
		case questionNone:
		}
	case retry.Deny:
		if decided == questionRetry {
			return s.finish(s.incompleteOutcome(), v.Reason, v.After)
		}
	case retry.Delay:
		switch {
		case decided != questionRetry:
		case s.waits >= maxWaits:
			return s.finish(s.incompleteOutcome(), value.RefusalReasonQuarantined, v.After)
		default:
			s.retryDelayed = true
			return s.askAfter(v.After)
		}
	case retry.None, retry.Broadcast:
	}
	return s, nil
}

// callerDisconnected cancels all attempts and finishes the request.
func (s State) callerDisconnected() (State, []Effect) {
	effects := s.cancel(value.Attempt{})
	s.attempts = value.List[attempt]{}
	s, finish := s.finish(s.incompleteOutcome(), value.RefusalReasonUnspecified, 0)
	return s, append(effects, finish...)
}

// ownerLost repeats the placement request if the lost dispatcher had not decided on it; a running attempt continues.
func (s State) ownerLost(id value.Attempt) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase != phaseRequested {
		return s, nil
	}
	hedge := s.attempts.At(i).hedge
	s = s.withoutAttempt(i)
	switch {
	case s.attempts.Len() > 0:
		return s, nil
	case hedge:
		return s.requestRetry(s.lastEnd)
	case s.waits >= maxWaits:
		return s.finish(s.incompleteOutcome(), value.RefusalReasonUnavailable, hoist.Second)
	}
	return s.askAfter(askRetryDelay)
}

// askAfter schedules the next placement request.
func (s State) askAfter(delay hoist.Millis) (State, []Effect) {
	s.waits++
	return s, []Effect{SetTimer{AskTimer{}, delay}}
}

// timerFired sends the next placement request, or asks the retry state for a retry or a hedge.
func (s State) timerFired(timer Timer, now hoist.Millis) (State, []Effect) {
	switch t := timer.(type) {
	case AskTimer:
		switch {
		case s.attempts.Len() > 0:
		case s.retryDelayed:
			s.retryDelayed = false
			return s.requestRetry(s.lastEnd)
		default:
			return s.sendAsk(false, now)
		}
	case HedgeTimer:
		i := s.find(t.Attempt)
		if i < 0 || s.attempts.At(i).phase != phaseStarted || s.otherInProgress(t.Attempt) {
			return s, nil
		}
		s.pending = questionHedge
		return s, []Effect{NotifyRetry{retry.HedgeRequested{Fingerprint: s.ask.Fingerprint()}}}
	}
	return s, nil
}

// finish ends the request and reports the delivered tokens to the retry state.
func (s State) finish(o value.Outcome, reason value.RefusalReason, after hoist.Millis) (State, []Effect) {
	s.done = true
	return s, []Effect{NotifyRetry{retry.Delivered{Tokens: s.emitted}}, Finish{Result{
		Outcome: o, Reason: reason, RetryAfter: after, Emitted: s.emitted, Attempts: s.starts,
	}}}
}

// incompleteOutcome returns the outcome of a request that ends without a complete response:
// not run if no attempt can have reached a server, otherwise unknown.
func (s State) incompleteOutcome() value.Outcome {
	if s.possibleRuns == 0 {
		return value.OutcomeNotRun
	}
	return value.OutcomeUnknown
}

// provesNotRun reports whether an attempt with this end was certainly not run by its server.
func provesNotRun(k value.EndKind) bool {
	switch k {
	case value.EndKindRefused, value.EndKindLeaving, value.EndKindUnreachable, value.EndKindRejected:
		return true
	default:
		return false
	}
}

// endMessage returns the message that tells the dispatcher of an attempt's end.
func (s State) endMessage(id value.Attempt, k value.EndKind, tokens int32) value.End {
	return value.End{}.WithAttempt(id).WithKind(k).WithTokens(tokens).WithShard(s.ask.Shard())
}
