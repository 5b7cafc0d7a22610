// Package call is the state machine of one caller's request: placement, start, relay of frames, resumption, hedging and end.
//
// It makes decisions only; package gate performs the effects.
package call

import (
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Event is an input of Decide.
//
//sumtype:decl
type Event interface{ isEvent() }

// Started starts the request.
type Started struct{}

// Granted reports that the dispatcher granted a server.
type Granted struct{ Grant value.Grant }

// Refused reports that the dispatcher refused an attempt.
type Refused struct{ Refusal value.Refusal }

// Preempted reports that the dispatcher preempted an attempt; the request must release its server and request another.
type Preempted struct{ Attempt value.Attempt }

// FirstFrame reports that an attempt has produced its first frame.
type FirstFrame struct{ Attempt value.Attempt }

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	Attempt value.Attempt
	Kind    value.EndKind
}

// RetryDecided carries the verdict that a NotifyRetry effect led to.
type RetryDecided struct{ Verdict retry.Verdict }

// CallerDisconnected reports that the caller has disconnected.
type CallerDisconnected struct{}

// OwnerLost reports that the dispatcher of an attempt cannot be reached.
type OwnerLost struct{ Attempt value.Attempt }

// TimerFired reports that a timer has fired.
type TimerFired struct{ Timer Timer }

func (Started) isEvent()            {}
func (Granted) isEvent()            {}
func (Refused) isEvent()            {}
func (Preempted) isEvent()          {}
func (FirstFrame) isEvent()         {}
func (AttemptEnded) isEvent()       {}
func (RetryDecided) isEvent()       {}
func (CallerDisconnected) isEvent() {}
func (OwnerLost) isEvent()          {}
func (TimerFired) isEvent()         {}

// Timer identifies a timer of a request.
//
//sumtype:decl
type Timer interface{ isTimer() }

// HedgeTimer fires when the attempt has been without a first frame for so long that a hedge is worth starting.
type HedgeTimer struct{ Attempt value.Attempt }

// AskTimer fires when the next placement request is to be sent.
type AskTimer struct{}

func (HedgeTimer) isTimer() {}
func (AskTimer) isTimer()   {}
