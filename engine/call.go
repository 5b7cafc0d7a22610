// Package engine runs attempts on backend servers over HTTP.
package engine

import (
	"net/http"
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Call is what an attempt sends to its server: a Completion or a ServiceCall.
//
//sumtype:decl
type Call interface{ isCall() }

// Completion streams tokens from a model engine.
type Completion struct {
	// Path is the path of the engine's endpoint, such as /v1/chat/completions.
	Path string
	// Request is the identifier of the request.
	Request string
	// Body is the caller's body with streaming enabled.
	Body []byte
	// Priority is the priority of the attempt; lower values are served first.
	Priority int32
	// Resume is the number of tokens that were already delivered to the caller.
	Resume int32
}

// ServiceCall is a call to a plain service, whose response is returned as a whole.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// NoReuse forbids a reused connection, because net/http may send a request a second time if
	// a reused connection breaks, which must not happen to unrepeatable calls.
	NoReuse bool
}

func (Completion) isCall()  {}
func (ServiceCall) isCall() {}

// Item is a part of an attempt's response.
//
//sumtype:decl
type Item interface{ isItem() }

// Frame is one token frame.
type Frame struct {
	// Seq is the number of the frame in the complete response, from 0.
	Seq int32
	// Data is the frame's JSON; the receiver owns it.
	Data []byte
}

// Answer is the complete response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (Frame) isItem()  {}
func (Answer) isItem() {}

// AttemptID returns the identifier of an attempt that is sent to backend servers.
func AttemptID(a value.Attempt) string {
	return strconv.FormatUint(a.Incarnation(), 16) + "-" + strconv.FormatUint(a.Request(), 16) +
		"-" + strconv.FormatUint(uint64(a.Number()), 16)
}

// RequestID returns the identifier of a request that is sent to callers.
func RequestID(a value.Attempt) string {
	return strconv.FormatUint(a.Incarnation(), 16) + "-" + strconv.FormatUint(a.Request(), 16)
}

// Limits holds the timeouts and the size limit of an attempt.
type Limits struct {
	// Connect is the timeout for opening a connection.
	Connect hoist.Millis
	// FirstFrame is the timeout for the first frame, or for the complete response of a service.
	FirstFrame hoist.Millis
	// Stall is the timeout between two frames.
	Stall hoist.Millis
	// MaxBody is the maximum size of a service's response body, in bytes.
	MaxBody int64
}
