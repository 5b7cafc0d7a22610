// Package feed follows the store that publishes routes and backend servers, and decides what may be believed of it.
package feed

import (
	"context"
	"errors"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// ErrCompacted says that the store no longer holds the history that a watch asks for.
var ErrCompacted = errors.New("history is no longer available")

// Source reads the store.
type Source interface {
	// List returns every record and the revision from which a watch goes on.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision, or none once the wait is over; it fails with ErrCompacted.
	Watch(ctx context.Context, after int64, wait hoist.Millis) (Changes, error)
}

// Changes are records of the store.
type Changes struct {
	Records []value.FeedRecord
	// Revision is the revision that the records lead to.
	Revision int64
}

// Event is the result of a question to the store, or the passing of time.
//
//sumtype:decl
type Event interface{ isEvent() }

// Listed is the answer to a list that was asked for at the time.
type Listed struct {
	Changes     Changes
	RequestedAt hoist.Millis
}

// Changed is the answer to a watch that was asked for at the time.
type Changed struct {
	Changes     Changes
	RequestedAt hoist.Millis
}

// Failed is a question without an answer.
type Failed struct{}

// Ticked is the passing of time.
type Ticked struct{}

func (Listed) isEvent()  {}
func (Changed) isEvent() {}
func (Failed) isEvent()  {}
func (Ticked) isEvent()  {}
