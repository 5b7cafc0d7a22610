// Package relay forwards requests to backend servers: it admits them, sends attempts and passes answers on.
package relay

import (
	"net/http"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Request is one request of a caller, independent of the names that the caller's protocol uses.
type Request struct {
	// ID identifies the caller's attempt; it is passed on unchanged.
	ID string
	// Method, Target and Host are those of the caller; Target is the path with its query.
	Method, Target, Host string
	// Path is the part of Target before the query.
	Path string
	// Header holds the fields that are passed on.
	Header http.Header
	// Body is nil when the request has none.
	Body []byte
	// Key is the caller's key.
	Key string
	// Patience is the time that the caller waits, or zero when it doesn't say.
	Patience hoist.Millis
	// Arrived is the time at which the header was read.
	Arrived hoist.Millis
	// Parts are the parts of the prompt, and Output the largest number of output tokens.
	Parts  value.List[value.PromptPart]
	Output int32
}

// Caller receives the answer of one request.
type Caller interface {
	// Start sends the header; length is -1 when the body has no known length.
	Start(status int, header http.Header, length int64)
	// Write sends a piece of the body at once.
	Write(b []byte) error
	// Refuse answers with an error of the router's own; nothing was sent before.
	Refuse(f Fault)
	// Abort breaks the answer off so that the caller sees that it isn't complete.
	Abort()
}

// Fault is an answer of the router's own.
//
//sumtype:decl
type Fault interface{ isFault() }

// Unready routers hold no route table yet; the request has not run.
type Unready struct{}

// NoRoute means that no route matches the host and path.
type NoRoute struct{}

// NoKey means that no workspace holds the key.
type NoKey struct{}

// Unproved means that the router cannot rule out that the key was withdrawn; the request has not run.
type Unproved struct{ After hoist.Millis }

// Busy means that no server could take the request in time; it has not run.
type Busy struct{ After hoist.Millis }

// Isolated means that the content has crashed servers; the request has not run.
type Isolated struct{ After hoist.Millis }

// Late means that the time ran out after the request was sent.
type Late struct{}

// Broken means that a server failed after the request was sent.
type Broken struct{}

func (Unready) isFault()  {}
func (NoRoute) isFault()  {}
func (NoKey) isFault()    {}
func (Unproved) isFault() {}
func (Busy) isFault()     {}
func (Isolated) isFault() {}
func (Late) isFault()     {}
func (Broken) isFault()   {}
