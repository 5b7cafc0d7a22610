package gate

import (
	"fmt"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// ledger holds what the invariant checks of one request know.
//
// It counts what the session does and never reads the state of the decision, so that a wrong decision does not hide itself.
type ledger struct {
	request    value.Attempt
	repeatable bool
	frames     int32
	starts     int
	// exposed is the number of attempts that may have reached a server.
	exposed int
}

// newLedger returns the ledger of a request that has not started.
func newLedger(ask value.Ask) ledger {
	return ledger{request: ask.Attempt(), repeatable: ask.Repeatable()}
}

// checkFrame reports I3 unless the frame belongs to the request and has the next number.
func (l *ledger) checkFrame(id value.Attempt, seq int32) {
	if id.Request() != l.request.Request() || id.Incarnation() != l.request.Incarnation() || seq != l.frames {
		invar.Report(invar.AnswerIdentity, fmt.Sprintf("request %s emits frame %d of attempt %s, expected %d",
			engine.RequestID(l.request), seq, engine.AttemptID(id), l.frames))
	}
	l.frames++
}

// checkStart reports I5 when a request that must not be repeated is started again.
func (l *ledger) checkStart(id value.Attempt) {
	l.starts++
	l.exposed++
	if l.starts > 1 && !l.repeatable {
		invar.Report(invar.AtMostOnce, fmt.Sprintf("unrepeatable request %s starts again as %s",
			engine.RequestID(l.request), engine.AttemptID(id)))
	}
}

// closed counts the end of an attempt; some ends prove that the server did not run it.
func (l *ledger) closed(k value.EndKind) {
	switch k {
	case value.EndKindRefused, value.EndKindLeaving, value.EndKindUnreachable, value.EndKindRejected:
		l.exposed--
	default:
	}
}

// checkFinish reports I4 when a request ends as not run although an attempt may have been sent,
// and I3 when a whole answer has another number of frames than the caller received.
func (l *ledger) checkFinish(r call.Result) {
	switch {
	case r.Outcome == value.OutcomeNotRun && l.exposed > 0:
		invar.Report(invar.HonestOutcome, fmt.Sprintf("request %s ends as not run, but %d attempts may have been sent",
			engine.RequestID(l.request), l.exposed))
	case r.Outcome == value.OutcomeRan && r.Emitted != l.frames:
		invar.Report(invar.AnswerIdentity, fmt.Sprintf("request %s ends with %d frames, but its caller received %d",
			engine.RequestID(l.request), r.Emitted, l.frames))
	}
}
