// Package engine runs attempts on backend servers over HTTP.
package engine

import (
	"net/http"
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Call is the work of one attempt.
//
//sumtype:decl
type Call interface{ isCall() }

// Completion streams tokens from a model engine.
type Completion struct {
	// Path of the engine's call, such as /v1/chat/completions.
	Path string
	// Request identifier that the engine writes into its frames.
	Request string
	// Body of the caller, with streaming switched on.
	Body []byte
	// Priority of the attempt; lower is first.
	Priority int32
	// Resume is the number of tokens that the caller already has.
	Resume int32
}

// ServiceCall passes one call on to a plain service and returns its whole answer.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// NoReuse forbids a reused connection; net/http sends a request a second time when
	// a reused connection breaks, which must not happen to unrepeatable calls.
	NoReuse bool
}

func (Completion) isCall()  {}
func (ServiceCall) isCall() {}

// Item is a part of an attempt's answer.
//
//sumtype:decl
type Item interface{ isItem() }

// Frame is one token frame.
type Frame struct {
	// Seq counts the frames of the whole answer from 0.
	Seq int32
	// Data is the frame's JSON; the receiver owns it.
	Data []byte
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (Frame) isItem()  {}
func (Answer) isItem() {}

// AttemptID returns the identifier of an attempt as backend servers see it.
func AttemptID(a value.Attempt) string {
	return strconv.FormatUint(a.Incarnation(), 16) + "-" + strconv.FormatUint(a.Request(), 16) +
		"-" + strconv.FormatUint(uint64(a.Number()), 16)
}

// RequestID returns the identifier of a request as callers see it.
func RequestID(a value.Attempt) string {
	return strconv.FormatUint(a.Incarnation(), 16) + "-" + strconv.FormatUint(a.Request(), 16)
}

// Limits bounds the waiting for a backend server.
type Limits struct {
	// Connect bounds the time to open a connection.
	Connect hoist.Millis
	// FirstFrame bounds the time to the first frame or to the whole answer of a service.
	FirstFrame hoist.Millis
	// Stall bounds the time between two frames.
	Stall hoist.Millis
	// MaxBody bounds the size of a service's answer, in bytes.
	MaxBody int64
}
