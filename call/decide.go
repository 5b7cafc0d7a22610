package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxFailures bounds the attempts of one request that may fail; a preempted attempt has not failed.
	maxFailures = 4
	// maxMoves bounds how often one request waits to ask again because a shard has moved or its content is on trial.
	// With moveDelay it covers the 2 s in which a crashed owner is suspected and the second of a hand-over.
	maxMoves = 64
	// maxCrashes bounds the servers that one request may bring down.
	maxCrashes = 2
	// moveDelay is the time before an ask is sent again after ownership has moved.
	moveDelay hoist.Millis = 50
)

// Decide returns the state after the event and the effects that it causes.
func (s State) Decide(event Event, now hoist.Millis) (State, []Effect) {
	if s.done {
		return s, s.discard(event)
	}
	switch e := event.(type) {
	case Started:
		s.began = now
		s, asked := s.sendAsk(false, now)
		return s, append([]Effect{NotifyRetry{retry.RequestArrived{Fingerprint: s.ask.Fingerprint()}}}, asked...)
	case Granted:
		return s.grant(e.Grant, now)
	case RetryDecided:
		return s.advised(e.Verdict, now)
	case Refused:
		return s.refuse(e.Refusal)
	case Preempted:
		return s.preempt(e.Attempt, now)
	case FirstFrame:
		return s.open(e.Attempt, now)
	case AttemptEnded:
		return s.close(e)
	case CallerDisconnected:
		return s.leave()
	case OwnerLost:
		return s.ownerLost(e.Attempt)
	case TimerFired:
		return s.due(e.Timer, now)
	}
	return s, nil
}

// discard returns a server that was granted after the request had finished.
func (s State) discard(event Event) []Effect {
	if g, ok := event.(Granted); ok {
		return []Effect{Send{s.end(g.Grant.Attempt(), value.EndKindCancelled, 0)}}
	}
	return nil
}

// sendAsk asks for a server for a new attempt.
func (s State) sendAsk(hedge bool, now hoist.Millis) (State, []Effect) {
	s.last++
	id := s.ask.Attempt().WithNumber(s.last)
	s.attempts = s.attempts.Append(attempt{id: id, hedge: hedge})
	a := s.ask.WithAttempt(id).WithHedge(hedge).WithAvoid(s.avoided()).WithAlone(s.crashes > 0).
		WithResumedTokens(s.emitted).WithWaitedMs(s.ask.WaitedMs() + int64(now-s.began))
	return s, []Effect{Send{a}}
}

// avoided returns the servers that the next attempt must not use: those that failed and those in use.
func (s State) avoided() value.List[string] {
	avoid := s.avoid
	for a := range s.attempts.All() {
		if a.server != "" {
			avoid = avoid.Append(a.server)
		}
	}
	return avoid
}

// grant starts the attempt, or returns the server when the attempt is no longer wanted.
func (s State) grant(g value.Grant, now hoist.Millis) (State, []Effect) {
	i := s.find(g.Attempt())
	if i < 0 {
		return s, []Effect{Send{s.end(g.Attempt(), value.EndKindCancelled, 0)}}
	}
	a := s.attempts.At(i)
	if a.phase != phaseAsked {
		// A repeated grant; the end of the running attempt gives the server back.
		return s, nil
	}
	a.phase, a.server, a.started, a.from = phaseStarted, g.Server(), now, s.emitted
	s = s.withAttempt(i, a)
	s.started++
	s.exposed++
	effects := []Effect{Start{Grant: g, Resume: s.emitted}}
	if g.HedgeMs() > 0 && s.ask.Repeatable() && !a.hedge && s.emitted == 0 && s.crashes == 0 {
		effects = append(effects, SetTimer{HedgeTimer{a.id}, hoist.Millis(g.HedgeMs())})
	}
	return s, effects
}

// refuse ends the request unless another attempt is in progress or the shard has moved.
func (s State) refuse(r value.Refusal) (State, []Effect) {
	i := s.find(r.Attempt())
	if i < 0 || s.attempts.At(i).phase != phaseAsked {
		return s, nil
	}
	hedge := s.attempts.At(i).hedge
	s = s.without(i)
	switch {
	case s.attempts.Len() > 0:
		return s, nil
	case hedge:
		// The first attempt has ended in the meantime, and nothing has followed it yet.
		return s.again(s.ended)
	case r.Reason() == value.RefusalReasonMoved && s.moves < maxMoves:
		return s.askLater(moveDelay)
	}
	return s.finish(s.failure(), r.Reason(), hoist.Millis(r.RetryMs()))
}

// preempt gives up the server and asks again for the rest of the answer.
func (s State) preempt(id value.Attempt, now hoist.Millis) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase == phaseAsked || !s.ask.Repeatable() {
		return s, nil
	}
	effects := []Effect{Stop{id}, Send{s.end(id, value.EndKindPreempted, s.received(s.attempts.At(i)))}}
	s = s.without(i)
	s.ended = value.EndKindPreempted
	if s.attempts.Len() > 0 {
		return s, effects
	}
	s, asked := s.sendAsk(false, now)
	return s, append(effects, asked...)
}

// open lets the attempt with the first frame win and cancels every other attempt.
func (s State) open(id value.Attempt, now hoist.Millis) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase != phaseStarted {
		return s, nil
	}
	winner := s.attempts.At(i)
	winner.phase = phaseOpen
	effects := s.cancel(id)
	if s.attempts.Len() > 1 {
		effects = append(effects, NotifyRetry{retry.HedgeEnded{}})
	}
	if s.emitted == 0 {
		effects = append(effects, NotifyRetry{retry.FirstToken{
			Class: s.ask.Class(), Pool: s.ask.Shard(), Elapsed: now - winner.started,
		}})
	}
	s.attempts = value.ListOf(winner)
	return s, effects
}

// cancel returns the effects that end every attempt but one.
func (s State) cancel(except value.Attempt) []Effect {
	var effects []Effect
	for a := range s.attempts.All() {
		switch {
		case a.id == except:
		case a.phase == phaseAsked:
			effects = append(effects, Send{value.Withdraw{}.WithAttempt(a.id).WithShard(s.ask.Shard())})
		default:
			effects = append(effects, Stop{a.id}, Send{s.end(a.id, value.EndKindCancelled, 0)})
		}
	}
	return effects
}

// close handles the end of an attempt's connection.
func (s State) close(e AttemptEnded) (State, []Effect) {
	i := s.find(e.Attempt)
	if i < 0 || s.attempts.At(i).phase == phaseAsked {
		return s, nil
	}
	a := s.attempts.At(i)
	effects := []Effect{Send{s.end(a.id, e.Kind, s.received(a))}}
	if e.Kind == value.EndKindFinished {
		effects = append(effects, s.cancel(a.id)...)
		s.attempts = value.List[attempt]{}
		s, finish := s.finish(value.OutcomeRan, value.RefusalReasonUnspecified, 0)
		return s, append(effects, finish...)
	}
	s = s.without(i)
	s.avoid = s.avoid.Append(a.server)
	s.ended = e.Kind
	s.failures++
	if unstarted(e.Kind) {
		s.exposed--
	}
	if e.Kind == value.EndKindCrashed {
		s.crashes++
	}
	if s.attempts.Len() > 0 {
		return s, effects
	}
	if e.Kind == value.EndKindRejected {
		s, finish := s.finish(s.failure(), value.RefusalReasonInvalid, 0)
		return s, append(effects, finish...)
	}
	s, next := s.again(e.Kind)
	return s, append(effects, next...)
}

// again asks whether the request may run once more, or finishes it.
//
// A request that must not be repeated is sent at most once, even where the server
// claims that it did not start: the promise then rests on no backend server's word.
func (s State) again(kind value.EndKind) (State, []Effect) {
	if !s.ask.Repeatable() || s.failures >= maxFailures || s.crashes >= maxCrashes {
		return s.finish(s.failure(), value.RefusalReasonUnspecified, hoist.Second)
	}
	s.question = questionAgain
	return s, []Effect{NotifyRetry{retry.Requested{Fingerprint: s.ask.Fingerprint(), Kind: kind}}}
}

// advised continues after the retry state has answered.
func (s State) advised(v retry.Verdict, now hoist.Millis) (State, []Effect) {
	asked := s.question
	s.question = questionNone
	switch v := v.(type) {
	case retry.Allow:
		switch asked {
		case questionAgain:
			return s.sendAsk(false, now)
		case questionHedge:
			return s.sendAsk(true, now)
		case questionNone:
		}
	case retry.Deny:
		if asked == questionAgain {
			return s.finish(s.failure(), v.Reason, v.After)
		}
	case retry.Delay:
		switch {
		case asked != questionAgain:
		case s.moves >= maxMoves:
			return s.finish(s.failure(), value.RefusalReasonQuarantined, v.After)
		default:
			s.delayed = true
			return s.askLater(v.After)
		}
	case retry.None, retry.Broadcast:
	}
	return s, nil
}

// leave cancels everything after the caller has disconnected.
func (s State) leave() (State, []Effect) {
	effects := s.cancel(value.Attempt{})
	s.attempts = value.List[attempt]{}
	s, finish := s.finish(s.failure(), value.RefusalReasonUnspecified, 0)
	return s, append(effects, finish...)
}

// ownerLost asks the new owner when the lost one had not answered yet; a running attempt goes on.
func (s State) ownerLost(id value.Attempt) (State, []Effect) {
	i := s.find(id)
	if i < 0 || s.attempts.At(i).phase != phaseAsked {
		return s, nil
	}
	hedge := s.attempts.At(i).hedge
	s = s.without(i)
	switch {
	case s.attempts.Len() > 0:
		return s, nil
	case hedge:
		return s.again(s.ended)
	case s.moves >= maxMoves:
		return s.finish(s.failure(), value.RefusalReasonUnavailable, hoist.Second)
	}
	return s.askLater(moveDelay)
}

// askLater waits before the next ask.
func (s State) askLater(delay hoist.Millis) (State, []Effect) {
	s.moves++
	return s, []Effect{SetTimer{AskTimer{}, delay}}
}

// due handles a timer.
func (s State) due(timer Timer, now hoist.Millis) (State, []Effect) {
	switch t := timer.(type) {
	case AskTimer:
		switch {
		case s.attempts.Len() > 0:
		case s.delayed:
			s.delayed = false
			return s.again(s.ended)
		default:
			return s.sendAsk(false, now)
		}
	case HedgeTimer:
		i := s.find(t.Attempt)
		if i < 0 || s.attempts.At(i).phase != phaseStarted || s.running(t.Attempt) {
			return s, nil
		}
		s.question = questionHedge
		return s, []Effect{NotifyRetry{retry.HedgeRequested{Fingerprint: s.ask.Fingerprint()}}}
	}
	return s, nil
}

// finish ends the request.
func (s State) finish(o value.Outcome, reason value.RefusalReason, after hoist.Millis) (State, []Effect) {
	s.done = true
	return s, []Effect{NotifyRetry{retry.Delivered{Tokens: s.emitted}}, Finish{Result{
		Outcome: o, Reason: reason, RetryAfter: after, Emitted: s.emitted, Attempts: s.started,
	}}}
}

// failure returns the outcome of a request that ends without a whole answer:
// not run only while no attempt can have reached a server.
func (s State) failure() value.Outcome {
	if s.exposed == 0 {
		return value.OutcomeNotRun
	}
	return value.OutcomeUnknown
}

// unstarted reports whether the end proves that the server did not run the attempt.
func unstarted(k value.EndKind) bool {
	switch k {
	case value.EndKindRefused, value.EndKindLeaving, value.EndKindUnreachable, value.EndKindRejected:
		return true
	default:
		return false
	}
}

// end returns the message that an attempt has ended.
func (s State) end(id value.Attempt, k value.EndKind, tokens int32) value.End {
	return value.End{}.WithAttempt(id).WithKind(k).WithTokens(tokens).WithShard(s.ask.Shard())
}
