// Package call decides the life of one caller's request: ask for a server, start, relay, resume, hedge and finish.
package call

import (
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Event is something that happened to a request.
//
//sumtype:decl
type Event interface{ isEvent() }

// Started starts the request.
type Started struct{}

// Granted carries the dispatcher's grant of a server.
type Granted struct{ Grant value.Grant }

// Refused carries the dispatcher's refusal.
type Refused struct{ Refusal value.Refusal }

// Preempted orders the request to give up its server and ask again.
type Preempted struct{ Attempt value.Attempt }

// FirstFrame reports the first frame of an attempt.
type FirstFrame struct{ Attempt value.Attempt }

// AttemptEnded reports the end of an attempt's connection.
type AttemptEnded struct {
	Attempt value.Attempt
	Kind    value.EndKind
}

// RetryDecided carries the answer to a NotifyRetry effect.
type RetryDecided struct{ Verdict retry.Verdict }

// CallerDisconnected means that the caller has disconnected.
type CallerDisconnected struct{}

// OwnerLost means that the dispatcher of an attempt cannot be reached any more.
type OwnerLost struct{ Attempt value.Attempt }

// TimerFired means that a timer has run out.
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

// Timer names a timer of a request; setting it again replaces it.
//
//sumtype:decl
type Timer interface{ isTimer() }

// HedgeTimer runs out when a second attempt is worth starting.
type HedgeTimer struct{ Attempt value.Attempt }

// AskTimer runs out when the next ask is to be sent.
type AskTimer struct{}

func (HedgeTimer) isTimer() {}
func (AskTimer) isTimer()   {}
