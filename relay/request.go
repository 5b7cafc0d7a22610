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
	// Timeout is the time that the caller waits, or zero when it doesn't say.
	Timeout hoist.Millis
	// Arrived is the time at which the header was read.
	Arrived hoist.Millis
	// Parts are the parts of the prompt, and Output the largest number of output tokens.
	Parts  value.List[value.PromptPart]
	Output int32
}

// ResponseWriter receives the answer of one request.
type ResponseWriter interface {
	// Start sends the header; length is -1 when the body has no known length.
	Start(status int, header http.Header, length int64)
	// Write sends a piece of the body at once.
	Write(b []byte) error
	// Refuse answers with an error of the router's own; nothing was sent before.
	Refuse(f LocalError)
	// Abort breaks the answer off so that the caller sees that it isn't complete.
	Abort()
}

// LocalError is an answer of the router's own.
//
//sumtype:decl
type LocalError interface{ isFault() }

// NotReady routers hold no route table yet; the request has not run.
type NotReady struct{}

// NoRoute means that no route matches the host and path.
type NoRoute struct{}

// UnknownKey means that no workspace holds the key.
type UnknownKey struct{}

// KeysStale means that the router cannot rule out that the key was withdrawn; the request has not run.
type KeysStale struct{ After hoist.Millis }

// Overloaded means that no server could take the request in time; it has not run.
type Overloaded struct{ After hoist.Millis }

// Quarantined means that the content has crashed servers; the request has not run.
type Quarantined struct{ After hoist.Millis }

// DeadlineExceeded means that the time ran out after the request was sent.
type DeadlineExceeded struct{}

// ServerFailed means that a server failed after the request was sent.
type ServerFailed struct{}

func (NotReady) isFault()         {}
func (NoRoute) isFault()          {}
func (UnknownKey) isFault()       {}
func (KeysStale) isFault()        {}
func (Overloaded) isFault()       {}
func (Quarantined) isFault()      {}
func (DeadlineExceeded) isFault() {}
func (ServerFailed) isFault()     {}
