package call

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// phase is the progress of one attempt.
type phase int

const (
	// phaseAsked attempts wait for the dispatcher's answer.
	phaseAsked phase = iota
	// phaseStarted attempts run on a server without a frame so far.
	phaseStarted
	// phaseOpen attempts have delivered a frame.
	phaseOpen
)

// attempt is one attempt in progress.
type attempt struct {
	id     value.Attempt
	phase  phase
	server string
	hedge  bool
	// started is the time of the grant.
	started hoist.Millis
	// from is the number of frames that the caller had when the attempt started.
	from int32
}

// State is the immutable state of one request.
type State struct {
	ask      value.Ask
	began    hoist.Millis
	attempts value.List[attempt]
	last     uint32
	started  int32
	exposed  int32
	emitted  int32
	avoid    value.List[string]
	crashes  int32
	failures int32
	moves    int32
	// ended says how the last attempt ended.
	ended    value.EndKind
	question question
	// delayed means that the retry state is asked again before the next ask.
	delayed bool
	done    bool
}

// question is what the request has asked the retry state.
type question int

const (
	// questionNone means that no answer is awaited.
	questionNone question = iota
	// questionAgain asks for another attempt after a failure.
	questionAgain
	// questionHedge asks for a second attempt beside a slow one.
	questionHedge
)

// New returns the state of a request; ask is the template of its asks, with attempt number 0.
func New(ask value.Ask) State { return State{ask: ask} }

// Ask returns the template of the request's asks.
func (s State) Ask() value.Ask { return s.ask }

// Emitted returns the number of frames that were passed to the caller.
func (s State) Emitted() int32 { return s.emitted }

// Done reports whether the request has finished.
func (s State) Done() bool { return s.done }

// Holdings returns the attempts that run on servers, for a dispatcher that rebuilds its table.
func (s State) Holdings() []value.Holding {
	var holdings []value.Holding
	for a := range s.attempts.All() {
		if a.phase != phaseAsked {
			h := value.Holding{}.WithAsk(s.ask.WithAttempt(a.id).WithHedge(a.hedge).WithResumedTokens(a.from)).
				WithServer(a.server).WithTokens(s.received(a))
			holdings = append(holdings, h)
		}
	}
	return holdings
}

// Accept decides about frame seq of an attempt and counts it when it is emitted.
//
// It allocates nothing, because it runs once for each relayed token.
func (s State) Accept(id value.Attempt, seq int32) (State, Verdict) {
	i := s.find(id)
	if i < 0 || s.done {
		return s, VerdictStale
	}
	switch a := s.attempts.At(i); {
	case a.phase == phaseAsked:
		return s, VerdictStale
	case seq > s.emitted:
		// An attempt that misses frames must not win against a hedge.
		return s, VerdictGap
	case a.phase == phaseStarted:
		return s, VerdictFirst
	case seq < s.emitted:
		return s, VerdictDrop
	}
	s.emitted++
	return s, VerdictEmit
}

// received returns the number of frames that the attempt has brought the caller.
func (s State) received(a attempt) int32 {
	if a.phase != phaseOpen {
		return 0
	}
	return s.emitted - a.from
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

// running reports whether an attempt other than the given one is in progress.
func (s State) running(except value.Attempt) bool {
	for a := range s.attempts.All() {
		if a.id != except {
			return true
		}
	}
	return false
}

// without returns a copy without the attempt at index i.
func (s State) without(i int) State {
	s.attempts = s.attempts.Without(i)
	return s
}

// withAttempt returns a copy with the attempt at index i replaced.
func (s State) withAttempt(i int, a attempt) State {
	s.attempts = s.attempts.With(i, a)
	return s
}
