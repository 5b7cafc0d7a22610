package idem

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

const (
	// WindowLength is the length of one window.
	WindowLength = hoist.Minute
	// keptWindows is the number of windows whose records are kept, and so the time in which a repeat is answered.
	keptWindows = 15
	// maxRecords bounds the records of one window.
	maxRecords = 16384
	// maxAnswer bounds one kept answer, in bytes.
	maxAnswer = 64 << 10
	// maxKept bounds all kept answers, in bytes; it leaves room in the 32 MB that control may use.
	maxKept = 8 << 20
)

// State is the immutable record table of one issuer.
type State struct {
	issuer  uint64
	origin  hoist.Millis
	windows value.List[window]
	kept    int64
}

// New returns the table of a process that has just started.
func New(issuer uint64, now hoist.Millis) State { return State{issuer: issuer, origin: now} }

// Window returns the current window; it counts the issuer's own time, so no clocks need to agree.
func (s State) Window(now hoist.Millis) uint64 { return uint64(max(now-s.origin, 0)/WindowLength) + 1 }

// Event is something that happened to a token.
//
//sumtype:decl
type Event interface{ isEvent() }

// Arrived is an arrival of a call.
type Arrived struct {
	Token Token
	// Fingerprint identifies the caller and the content of the call.
	Fingerprint uint64
	// Execution is opaque; Join returns that of the arrival which runs the call.
	Execution any
}

// Completed is the end of the one execution of a call.
type Completed struct {
	Token  Token
	Answer value.ForwardAnswer
}

func (Arrived) isEvent()   {}
func (Completed) isEvent() {}

// Verdict says what to do with an arrival.
//
//sumtype:decl
type Verdict interface{ isVerdict() }

// Run tells the process to run the call; it is returned once for each token.
type Run struct{}

// Join tells the process to wait for the execution that is under way.
type Join struct{ Execution any }

// Replay answers with the stored outcome.
type Replay struct{ Answer value.ForwardAnswer }

// Forward passes the arrival on to the issuer of its token.
type Forward struct{ Issuer uint64 }

// Refuse answers without running the call; Outcome speaks of the call as a whole.
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
		return s.arrive(e, now)
	case Completed:
		return s.complete(e), nil
	}
	return s, nil
}

// arrive decides about one arrival.
func (s State) arrive(e Arrived, now hoist.Millis) (State, Verdict) {
	current := s.Window(now)
	switch {
	case e.Token.issuer != s.issuer:
		return s, Forward{e.Token.issuer}
	case e.Token.window > current:
		// The issuer has never named this window, so no execution can exist.
		return s, Refuse{value.RefusalReasonMismatch, value.OutcomeNotRun}
	case e.Token.window+keptWindows <= current:
		return s, Refuse{value.RefusalReasonExpired, value.OutcomeUnknown}
	}
	i := s.index(e.Token.window)
	if i < 0 {
		s.windows = s.windows.Append(newWindow(e.Token.window))
		i = s.windows.Len() - 1
	}
	w := s.windows.At(i)
	if b, j := w.find(e.Token.number); j >= 0 {
		return s, w.bucket.At(b).At(j).repeat(e.Fingerprint)
	}
	if w.count >= maxRecords {
		return s, Refuse{value.RefusalReasonRecords, value.OutcomeNotRun}
	}
	s.windows = s.windows.With(i, w.withRecord(record{number: e.Token.number, print: e.Fingerprint, execution: e.Execution}))
	return s, Run{}
}

// repeat decides about a later arrival of a token.
func (r record) repeat(print uint64) Verdict {
	switch {
	case r.print != print:
		// The token belongs to another call, whose answer must not be shown; this one was not run.
		return Refuse{value.RefusalReasonMismatch, value.OutcomeNotRun}
	case !r.done:
		return Join{r.execution}
	case !r.kept:
		return Refuse{value.RefusalReasonUnkept, r.answer.Outcome()}
	}
	return Replay{r.answer}
}

// complete stores the outcome of an execution and its answer while there is room.
func (s State) complete(e Completed) State {
	i := s.index(e.Token.window)
	if i < 0 || e.Token.issuer != s.issuer {
		return s
	}
	w := s.windows.At(i)
	b, j := w.find(e.Token.number)
	if j < 0 {
		return s
	}
	r := w.bucket.At(b).At(j)
	if r.done {
		// Only a run completes a record, so a second completion is the trace of a second run.
		invar.Report(invar.AtMostOnce, "the call of token "+e.Token.String()+" has completed twice")
		return s
	}
	size := int64(len(e.Answer.Body()))
	r.execution = nil
	r.done, r.kept, r.answer = true, size <= maxAnswer && s.kept+size <= maxKept, e.Answer
	if r.kept {
		s.kept += size
	} else {
		r.answer = value.ForwardAnswer{}.WithOutcome(e.Answer.Outcome())
	}
	s.windows = s.windows.With(i, w.withRecord(r))
	return s
}

// expire drops the windows that are too old.
func (s State) expire(now hoist.Millis) State {
	current := s.Window(now)
	for i := 0; i < s.windows.Len(); {
		w := s.windows.At(i)
		if w.number+keptWindows > current {
			i++
			continue
		}
		s.kept -= w.size()
		s.windows = s.windows.Without(i)
	}
	return s
}

// index returns the index of the window, or -1.
func (s State) index(number uint64) int {
	for i := range s.windows.Len() {
		if s.windows.At(i).number == number {
			return i
		}
	}
	return -1
}
