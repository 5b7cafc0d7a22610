package relay

import "chicoryhoist.example/hoist"

// Outcome is what one attempt at a server has come to.
//
//sumtype:decl
type Outcome interface{ isOutcome() }

// Unsent attempts have sent no byte.
type Unsent struct{}

// NotRun attempts were refused by a server that says that it has not run the request.
type NotRun struct{}

// ResponseLost attempts were sent and have no valid answer, so the request may have run.
type ResponseLost struct{}

// ServerError attempts have a complete answer that reports an error.
type ServerError struct{}

// Interrupted attempts broke off after a part of the answer was passed on.
type Interrupted struct{}

// Completed attempts have passed the whole answer on.
type Completed struct{}

// CallerDisconnected attempts ended because the caller has left.
type CallerDisconnected struct{}

// Expired attempts ended because the time of the request is over.
type Expired struct{}

func (Unsent) isOutcome()             {}
func (NotRun) isOutcome()             {}
func (ResponseLost) isOutcome()       {}
func (ServerError) isOutcome()        {}
func (Interrupted) isOutcome()        {}
func (Completed) isOutcome()          {}
func (CallerDisconnected) isOutcome() {}
func (Expired) isOutcome()            {}

// Step is what to do after an attempt.
//
//sumtype:decl
type Step interface{ isStep() }

// Retry asks for another server; Charged repeats count against the budget.
type Retry struct{ Charged bool }

// ForwardError passes the server's error on.
type ForwardError struct{}

// Reject answers that the request has not run.
type Reject struct{}

// Fail answers that a server failed.
type Fail struct{}

// TimeOut answers that the time is over and the request may have run.
type TimeOut struct{}

// Abort breaks the answer off.
type Abort struct{}

// Finish ends the request; nothing more is to be sent.
type Finish struct{}

func (Retry) isStep()        {}
func (ForwardError) isStep() {}
func (Reject) isStep()       {}
func (Fail) isStep()         {}
func (TimeOut) isStep()      {}
func (Abort) isStep()        {}
func (Finish) isStep()       {}

// sendMost bounds the attempts of one request that did not run, such as connections that were refused.
const sendMost = 5

// leftLeast is the time below which another attempt has no chance to be answered.
const leftLeast = 10 * hoist.Millis(1)

// Progress is the immutable state of one request between its attempts.
type Progress struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns is the number of servers that may run the request.
	MaxRuns int
	// Sends counts all attempts, Runs those that may have run.
	Sends, Runs int
	// Started is set once a part of an answer was passed on.
	Started bool
	// Deadline is the time at which the request must have its answer.
	Deadline hoist.Millis
}

// Next returns the progress after an attempt and the next step; budget says whether a repeat may be charged.
func (p Progress) Next(o Outcome, budget bool, now hoist.Millis) (Progress, Step) {
	p.Sends++
	switch o.(type) {
	case Completed, CallerDisconnected:
		return p, Finish{}
	case Unsent:
		return p, p.unrun(true, false, now)
	case NotRun:
		return p, p.unrun(budget, true, now)
	case ResponseLost:
		p.Runs++
		return p, p.ran(budget, now, Fail{})
	case ServerError:
		p.Runs++
		return p, p.ran(budget, now, ForwardError{})
	case Interrupted:
		p.Runs++
		return p, p.ran(budget, now, Abort{})
	case Expired:
		p.Runs++
		if p.Started {
			return p, Abort{}
		}
		return p, TimeOut{}
	default:
		return p, Abort{}
	}
}

// unrun returns the step after an attempt that has not run.
func (p Progress) unrun(budget, charged bool, now hoist.Millis) Step {
	switch {
	case budget && p.Sends < sendMost && now+leftLeast < p.Deadline:
		return Retry{Charged: charged}
	case p.Started:
		return Abort{}
	case p.Runs > 0:
		return Fail{}
	default:
		return Reject{}
	}
}

// ran returns the step after an attempt that may have run; last is the one without another attempt.
func (p Progress) ran(budget bool, now hoist.Millis, last Step) Step {
	if p.Repeatable && p.Runs < p.MaxRuns && budget && p.Sends < sendMost && now+leftLeast < p.Deadline {
		return Retry{Charged: true}
	}
	if p.Started {
		return Abort{}
	}
	return last
}
