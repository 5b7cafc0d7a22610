// Package relay forwards requests to backend servers: it admits them, sends attempts and forwards the responses.
package relay

import (
	"net/http"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Request is one request of a caller, independent of the header names of the caller's protocol.
type Request struct {
	// ID is the caller's request ID; it is forwarded unchanged.
	ID string
	// Method, Target and Host are those of the caller; Target is the path with its query.
	Method, Target, Host string
	// Path is the part of Target before the query.
	Path string
	// Header holds the header fields to forward.
	Header http.Header
	// Body holds the blocks of the body; it is nil if the request has none.
	Body [][]byte
	// Hold charges a number of bytes that the process holds for the request until its end. After an error, they must not be
	// held. Nil charges nothing.
	Hold func(n int64) error
	// Key is the API key of the caller.
	Key string
	// Timeout is the time that the caller waits, or zero if it states none.
	Timeout hoist.Millis
	// Arrived is the time at which the header was read.
	Arrived hoist.Millis
	// Parts are the parts of the prompt, Output is the maximum number of output tokens.
	Parts  value.List[value.PromptPart]
	Output int32
}

// ResponseWriter receives the response to one request. The caller can tell that a response is incomplete unless it ends with
// End or Refuse.
type ResponseWriter interface {
	// Start sends the header; length is -1 if the length of the body is unknown.
	Start(status int, header http.Header, length int64)
	// Write sends a chunk of the body without buffering it.
	Write(b []byte) error
	// Refuse sends a local error; nothing was sent before.
	Refuse(e LocalError)
	// End marks the response as complete.
	End()
}

// LocalError is an error response that the router generates itself.
//
//sumtype:decl
type LocalError interface{ isLocalError() }

// NotReady means that the router has no route table yet or does not know the service; the request has not run.
type NotReady struct{}

// Stopping means that the instance is draining and the request might not end in time; the request has not run.
type Stopping struct{}

// NoRoute means that no route matches the host and path.
type NoRoute struct{}

// UnknownKey means that the key belongs to no workspace.
type UnknownKey struct{}

// KeysStale means that the store view is too old to rule out that the key was revoked; the request has not run.
type KeysStale struct{ After hoist.Millis }

// Overloaded means that no server could take the request in time; the request has not run.
type Overloaded struct{ After hoist.Millis }

// Excluded means that every server of the service is in an evacuated data centre or outside the regions of the request; the
// request has not run.
type Excluded struct{ After hoist.Millis }

// Quarantined means that the content is quarantined because it has crashed servers; the request has not run.
type Quarantined struct{ After hoist.Millis }

// DeadlineExceeded means that the deadline passed after the request was sent.
type DeadlineExceeded struct{}

// ServerFailed means that a server failed after the request was sent.
type ServerFailed struct{}

func (NotReady) isLocalError()         {}
func (Stopping) isLocalError()         {}
func (NoRoute) isLocalError()          {}
func (UnknownKey) isLocalError()       {}
func (KeysStale) isLocalError()        {}
func (Overloaded) isLocalError()       {}
func (Excluded) isLocalError()         {}
func (Quarantined) isLocalError()      {}
func (DeadlineExceeded) isLocalError() {}
func (ServerFailed) isLocalError()     {}
