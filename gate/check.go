package gate

import (
	"fmt"

	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

// requestChecks checks the invariants of one request.
//
// It counts what the session does and does not read the state of package call, so that it also detects wrong decisions.
type requestChecks struct {
	request    value.Attempt
	repeatable bool
	frames     int32
	starts     int
	// possibleRuns is the number of attempts that may have reached a server.
	possibleRuns int
}

// newRequestChecks returns the checks of a request that has not started.
func newRequestChecks(ask value.Ask) requestChecks {
	return requestChecks{request: ask.Attempt(), repeatable: ask.Repeatable()}
}

// checkFrame reports a violation of I3 unless the frame belongs to the request and has the next number.
func (c *requestChecks) checkFrame(id value.Attempt, seq int32) {
	if id.Request() != c.request.Request() || id.Incarnation() != c.request.Incarnation() || seq != c.frames {
		invar.Report(invar.AnswerIdentity, fmt.Sprintf("request %s emits frame %d of attempt %s, expected %d",
			engine.RequestID(c.request), seq, engine.AttemptID(id), c.frames))
	}
	c.frames++
}

// checkStart reports a violation of I5 if an unrepeatable request is started again.
func (c *requestChecks) checkStart(id value.Attempt) {
	c.starts++
	c.possibleRuns++
	if c.starts > 1 && !c.repeatable {
		invar.Report(invar.AtMostOnce, fmt.Sprintf("unrepeatable request %s starts again as %s",
			engine.RequestID(c.request), engine.AttemptID(id)))
	}
}

// attemptEnded records the end of an attempt, which may prove that the server did not run it.
func (c *requestChecks) attemptEnded(k value.EndKind) {
	switch k {
	case value.EndKindRefused, value.EndKindLeaving, value.EndKindUnreachable, value.EndKindRejected:
		c.possibleRuns--
	default:
	}
}

// checkFinish reports a violation of I4 if a request ends as not run although a server may have run an attempt,
// and of I3 if the number of frames of a complete response differs from the number that was delivered.
func (c *requestChecks) checkFinish(r call.Result) {
	switch {
	case r.Outcome == value.OutcomeNotRun && c.possibleRuns > 0:
		invar.Report(invar.HonestOutcome, fmt.Sprintf("request %s ends as not run, but %d attempts may have been sent",
			engine.RequestID(c.request), c.possibleRuns))
	case r.Outcome == value.OutcomeRan && r.Emitted != c.frames:
		invar.Report(invar.AnswerIdentity, fmt.Sprintf("request %s ends with %d frames, but its caller received %d",
			engine.RequestID(c.request), r.Emitted, c.frames))
	}
}
