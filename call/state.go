package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// phase is the phase of one attempt.
type phase int

const (
	// phaseRequested is an attempt that waits for a grant.
	phaseRequested phase = iota
	// phaseStarted is an attempt on a server that has produced no frame.
	phaseStarted
	// phaseStreaming is an attempt that has produced a frame.
	phaseStreaming
)

// attempt is one attempt in progress.
type attempt struct {
	id        value.Attempt
	phase     phase
	server    string
	hedge     bool
	grantedAt hoist.Millis
	// resumedFrames is the number of frames that had been delivered when the attempt started.
	resumedFrames int32
}

// State is the immutable state of one request.
type State struct {
	// ask is the template of the placement requests, with attempt number 0.
	ask        value.Ask
	startedAt  hoist.Millis
	attempts   value.List[attempt]
	lastNumber uint32
	starts     int32
	// possibleRuns is the number of attempts that a server may have run.
	possibleRuns int32
	emitted      int32
	avoid        value.List[string]
	crashes      int32
	failures     int32
	// waits is how often the request has waited before a placement request.
	waits int32
	// lastEnd is how the last attempt ended.
	lastEnd value.EndKind
	pending question
	// retryDelayed means that the retry state must be asked again before the next placement request.
	retryDelayed bool
	done         bool
}

// question is the question to the retry state that awaits a verdict.
type question int

const (
	// questionNone means that no verdict is awaited.
	questionNone question = iota
	// questionRetry asks for another attempt after a failure.
	questionRetry
	// questionHedge asks for a hedge of a slow attempt.
	questionHedge
)

// New returns the state of a request; ask is the template of its placement requests, with attempt number 0.
func New(ask value.Ask) State { return State{ask: ask} }

// Ask returns the template of the request's placement requests.
func (s State) Ask() value.Ask { return s.ask }

// Emitted returns the number of frames that were delivered to the caller.
func (s State) Emitted() int32 { return s.emitted }

// Done reports whether the request has finished.
func (s State) Done() bool { return s.done }

// Holdings returns the attempts that run on servers, for a dispatcher that rebuilds its server table.
func (s State) Holdings() []value.Holding {
	var holdings []value.Holding
	for a := range s.attempts.All() {
		if a.phase != phaseRequested {
			h := value.Holding{}.WithAsk(s.ask.WithAttempt(a.id).WithHedge(a.hedge).WithResumedTokens(a.resumedFrames)).
				WithServer(a.server).WithTokens(s.deliveredFrames(a))
			holdings = append(holdings, h)
		}
	}
	return holdings
}

// Accept decides about frame seq of an attempt and counts it if it is emitted.
//
// It must not allocate, because it runs for each relayed token.
func (s State) Accept(id value.Attempt, seq int32) (State, Verdict) {
	i := s.find(id)
	if i < 0 || s.done {
		return s, VerdictStale
	}
	switch a := s.attempts.At(i); {
	case a.phase == phaseRequested:
		return s, VerdictStale
	case seq > s.emitted:
		// An attempt with missing frames must not be chosen over its hedge.
		return s, VerdictGap
	case a.phase == phaseStarted:
		return s, VerdictFirst
	case seq < s.emitted:
		return s, VerdictDrop
	}
	s.emitted++
	return s, VerdictEmit
}

// deliveredFrames returns the number of frames of the attempt that were delivered to the caller.
func (s State) deliveredFrames(a attempt) int32 {
	if a.phase != phaseStreaming {
		return 0
	}
	return s.emitted - a.resumedFrames
}

// find returns the index of the attempt, or -1.
func (s State) find(id value.Attempt) int {
	for i := range s.attempts.Len() {
		if s.attempts.At(i).id == id {
			return i
		}
	}
	return -1
}

// otherInProgress reports whether an attempt other than the given one is in progress.
func (s State) otherInProgress(except value.Attempt) bool {
	for a := range s.attempts.All() {
		if a.id != except {
			return true
		}
	}
	return false
}

// withoutAttempt returns a copy without the attempt at index i.
func (s State) withoutAttempt(i int) State {
	s.attempts = s.attempts.Without(i)
	return s
}

// withAttempt returns a copy with the attempt at index i replaced.
func (s State) withAttempt(i int, a attempt) State {
	s.attempts = s.attempts.With(i, a)
	return s
}
