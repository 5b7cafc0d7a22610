package order

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// Event is something that bears on the orders to the servers of one shard.
//
//sumtype:decl
type Event interface{ isEvent() }

// Configured carries the configuration and the shard's instances after either has changed.
type Configured struct {
	View      *config.View
	Pool      value.Pool
	Instances value.List[value.Instance]
	// Share of the shard in the weight store, from the published instance list.
	Share Share
}

// Observed is the state that an engine has answered to a read.
type Observed struct {
	Server string
	State  value.EngineState
}

// Unreachable means that a read got no answer.
type Unreachable struct{ Server string }

// Sent means that an order has left this process now.
type Sent struct{ Server, ID string }

// Answered carries an engine's answer to an order.
type Answered struct {
	Server, ID string
	Answer     Answer
}

// Answer is an engine's answer to an order.
type Answer int

// Answer values.
const (
	// AnswerAccepted orders are under way or done.
	AnswerAccepted Answer = iota
	// AnswerFenced orders were refused because of an old fencing number.
	AnswerFenced
	// AnswerUnknown orders got no answer; they may still arrive until the order delay has passed.
	AnswerUnknown
)

// Ticked means that the time of a Wait effect has come.
type Ticked struct{}

// BecameOwner means that this router has become the owner of the shard.
type BecameOwner struct{}

// OwnershipLost means that this router no longer owns the shard.
type OwnershipLost struct{}

func (Configured) isEvent()    {}
func (Observed) isEvent()      {}
func (Unreachable) isEvent()   {}
func (Sent) isEvent()          {}
func (Answered) isEvent()      {}
func (Ticked) isEvent()        {}
func (BecameOwner) isEvent()   {}
func (OwnershipLost) isEvent() {}

// Effect is something that the runtime must do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Send orders an engine; the runtime reports Sent and then Answered.
type Send struct {
	Server string
	Order  value.Order
	// Deadline is the deadline of the whole call; a process that wakes up late must not send any more.
	Deadline hoist.Millis
}

// Read asks an engine for its state; the runtime reports Observed or Unreachable.
type Read struct{ Server string }

// Wait asks for a Ticked event at the time; it replaces an earlier Wait.
type Wait struct{ Until hoist.Millis }

func (Send) isEffect() {}
func (Read) isEffect() {}
func (Wait) isEffect() {}
