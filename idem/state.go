package idem

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

const (
	// WindowLength is the duration of one window.
	WindowLength = hoist.Minute
	// keptWindows is the number of windows whose records are kept, which is how long a repeated call gets its response.
	keptWindows = 15
	// maxWindowRecords bounds the number of records of one window.
	maxWindowRecords = 16384
	// maxResponseBytes bounds the body of one kept response.
	maxResponseBytes = 64 << 10
	// maxKeptBytes bounds the bodies of all kept responses; it leaves most of the 32 MB that a router may use for control work.
	maxKeptBytes = 8 << 20
)

// State is the immutable record table of one issuer.
type State struct {
	issuer    uint64
	startedAt hoist.Millis
	windows   value.List[window]
	keptBytes int64
}

// New returns the empty table of a process that starts now.
func New(issuer uint64, now hoist.Millis) State { return State{issuer: issuer, startedAt: now} }

// Window returns the number of the current window. Windows count from the start of the issuer, so clocks of different routers need not agree.
func (s State) Window(now hoist.Millis) uint64 {
	return uint64(max(now-s.startedAt, 0)/WindowLength) + 1
}

// Event is an input of Decide.
//
//sumtype:decl
type Event interface{ isEvent() }

// Arrived reports that a call has arrived.
type Arrived struct {
	Token Token
	// Fingerprint identifies the caller and the content of the call.
	Fingerprint uint64
	// Execution is opaque; Join returns the Execution of the arrival that runs the call.
	Execution any
}

// Completed reports the end of the execution of a call.
type Completed struct {
	Token  Token
	Answer value.ForwardAnswer
}

func (Arrived) isEvent()   {}
func (Completed) isEvent() {}

// Verdict is the decision about an arrival.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Run means that the process must run the call; it is returned at most once for each token.
type Run struct{}

// Join means that the process must wait for the execution in progress.
type Join struct{ Execution any }

// Replay means that the kept response must be returned.
type Replay struct{ Answer value.ForwardAnswer }

// Forward means that the call must be forwarded to the issuer of its token.
type Forward struct{ Issuer uint64 }

// Refuse means that the arrival must be refused; Outcome is the outcome of all executions of the call.
type Refuse struct {
	Reason  value.RefusalReason
	Outcome value.Outcome
}

func (Run) isVerdict()     {}
func (Join) isVerdict()    {}
func (Replay) isVerdict()  {}
func (Forward) isVerdict() {}
func (Refuse) isVerdict()  {}

// Decide returns the table after the event; the verdict is nil for Completed.
func (s State) Decide(event Event, now hoist.Millis) (State, Verdict) {
	s = s.expire(now)
	switch e := event.(type) {
	case Arrived:
		return s.arrived(e, now)
	case Completed:
		return s.completed(e), nil
	}
	return s, nil
}

// arrived decides about an arrival.
func (s State) arrived(e Arrived, now hoist.Millis) (State, Verdict) {
	current := s.Window(now)
	switch {
	case e.Token.issuer != s.issuer:
		return s, Forward{e.Token.issuer}
	case e.Token.window > current:
		// The issuer has not started this window, so the call cannot have been run.
		return s, Refuse{value.RefusalReasonMismatch, value.OutcomeNotRun}
	case e.Token.window+keptWindows <= current:
		return s, Refuse{value.RefusalReasonExpired, value.OutcomeUnknown}
	}
	i := s.windowIndex(e.Token.window)
	if i < 0 {
		s.windows = s.windows.Append(newWindow(e.Token.window))
		i = s.windows.Len() - 1
	}
	w := s.windows.At(i)
	if b, j := w.find(e.Token.key); j >= 0 {
		return s, w.buckets.At(b).At(j).repeatVerdict(e.Fingerprint)
	}
	if w.count >= maxWindowRecords {
		return s, Refuse{value.RefusalReasonRecords, value.OutcomeNotRun}
	}
	s.windows = s.windows.With(i, w.withRecord(record{key: e.Token.key, fingerprint: e.Fingerprint, execution: e.Execution}))
	return s, Run{}
}

// repeatVerdict decides about a repeated arrival of a token.
func (r record) repeatVerdict(fingerprint uint64) Verdict {
	switch {
	case r.fingerprint != fingerprint:
		// The token belongs to another call, whose response must not be returned here; this call was not run.
		return Refuse{value.RefusalReasonMismatch, value.OutcomeNotRun}
	case !r.completed:
		return Join{r.execution}
	case !r.responseKept:
		return Refuse{value.RefusalReasonUnkept, r.response.Outcome()}
	}
	return Replay{r.response}
}

// completed stores the outcome of an execution, and its response if the limits allow.
func (s State) completed(e Completed) State {
	i := s.windowIndex(e.Token.window)
	if i < 0 || e.Token.issuer != s.issuer {
		return s
	}
	w := s.windows.At(i)
	b, j := w.find(e.Token.key)
	if j < 0 {
		return s
	}
	r := w.buckets.At(b).At(j)
	if r.completed {
		// A record is completed only by a run, so a second completion shows a second run.
		invar.Report(invar.AtMostOnce, "the call of token "+e.Token.String()+" has completed twice")
		return s
	}
	size := int64(len(e.Answer.Body()))
	r.execution = nil
	r.completed, r.responseKept, r.response = true, size <= maxResponseBytes && s.keptBytes+size <= maxKeptBytes, e.Answer
	if r.responseKept {
		s.keptBytes += size
	} else {
		r.response = value.ForwardAnswer{}.WithOutcome(e.Answer.Outcome())
	}
	s.windows = s.windows.With(i, w.withRecord(r))
	return s
}

// expire removes the windows that are too old.
func (s State) expire(now hoist.Millis) State {
	current := s.Window(now)
	for i := 0; i < s.windows.Len(); {
		w := s.windows.At(i)
		if w.number+keptWindows > current {
			i++
			continue
		}
		s.keptBytes -= w.keptBytes()
		s.windows = s.windows.Without(i)
	}
	return s
}

// windowIndex returns the index of the window with the number, or -1.
func (s State) windowIndex(number uint64) int {
	for i := range s.windows.Len() {
		if s.windows.At(i).number == number {
			return i
		}
	}
	return -1
}
