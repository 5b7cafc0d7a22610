// Package assign decides which backend server of a service runs a request, and which requests wait.
package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Event is something that changes the state of a service.
//
//sumtype:decl
type Event interface{ isEvent() }

// Asked is a request that needs a server.
type Asked struct{ Work value.Work }

// Withdrawn is a request whose caller has left while it waited.
type Withdrawn struct{ ID uint64 }

// Began is the first byte of an answer.
type Began struct {
	ID uint64
	// Load is what the server says of itself; Loaded is false when it says nothing.
	Load   value.ServerLoad
	Loaded bool
}

// Ended is the end of a request at its server.
type Ended struct {
	ID     uint64
	Result Result
}

// Listed is a new list of the servers of the service.
type Listed struct {
	Servers value.List[value.BackendServer]
}

// Placed is a request that runs at a server without having been granted by this state.
type Placed struct {
	Run value.PlaceRun
	// By is the instance that has granted it, or empty.
	By string
}

// Held lists all requests of another instance at the servers.
type Held struct {
	Origin string
	// Granted are the ids of the requests that this state has granted, and Runs the other requests.
	Granted value.List[uint64]
	Runs    value.List[value.PlaceRun]
}

// Vanished is an instance that is gone, with its requests.
type Vanished struct{ Origin string }

// Ticked is the passing of time.
type Ticked struct{}

func (Asked) isEvent()     {}
func (Withdrawn) isEvent() {}
func (Began) isEvent()     {}
func (Ended) isEvent()     {}
func (Listed) isEvent()    {}
func (Placed) isEvent()    {}
func (Held) isEvent()      {}
func (Vanished) isEvent()  {}
func (Ticked) isEvent()    {}

// Result says how a request ended at its server.
type Result int

const (
	// Done requests were answered.
	Done Result = iota
	// Left requests were given up by their caller.
	Left
	// Full servers refused the request because their queue is full.
	Full
	// Moved servers are not the expected ones.
	Moved
	// Failing servers answered with an error or broke off.
	Failing
	// Unreachable servers could not be connected to.
	Unreachable
)

// Effect is what the state asks its runtime to do.
//
//sumtype:decl
type Effect interface{ isEffect() }

// Grant sends a request to a server.
type Grant struct {
	ID uint64
	// Origin is the instance that has asked.
	Origin string
	Server value.BackendServer
	// Basis is what the choice rested on.
	Basis Basis
}

// Basis is what the choice of a server rested on.
type Basis struct {
	// Fresh is the number of prompt tokens that the server is expected to compute.
	Fresh int32
	// Unread is the number of prompt tokens that it has still to compute for earlier requests, as far as known.
	Unread int64
	// Running is the number of earlier requests there, as far as known.
	Running int
}

// Refuse ends a request that has not run.
type Refuse struct {
	ID     uint64
	Origin string
	// After is the time after which a new attempt may succeed.
	After  hoist.Millis
	Reason Reason
}

// Queued says that a request waits.
type Queued struct {
	ID     uint64
	Origin string
}

func (Queued) isEffect() {}
func (Grant) isEffect()  {}
func (Refuse) isEffect() {}

// Reason says why a request was refused.
type Reason int

const (
	// NoServer means that the service has no server that takes work.
	NoServer Reason = iota
	// Overload means that the service cannot serve the request in time.
	Overload
)

// String returns the reason in lower case.
func (r Reason) String() string {
	switch r {
	case NoServer:
		return "no server"
	case Overload:
		return "overload"
	default:
		return "unknown"
	}
}
