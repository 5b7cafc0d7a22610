// Package feed follows the store in which routes and backend servers are published, and determines which of its content is
// valid.
package feed

import (
	"context"
	"errors"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// ErrCompacted means that the store no longer has the history that a watch requests.
var ErrCompacted = errors.New("history is no longer available")

// Source reads the store.
type Source interface {
	// List returns every record and the revision from which a watch continues.
	List(ctx context.Context) (Changes, error)
	// Watch returns the changes after a revision, or none when the wait is over. It fails with ErrCompacted if the store no
	// longer has them.
	Watch(ctx context.Context, after int64, wait hoist.Millis) (Changes, error)
}

// Changes are records of the store.
type Changes struct {
	Records []value.FeedRecord
	// Revision is the revision of the store after the changes.
	Revision int64
}

// Event is an input of State: the result of a request to the store, or the passing of time.
//
//sumtype:decl
type Event interface{ isEvent() }

// Listed is the response to a list request sent at RequestedAt, or a complete response of the reader that was confirmed then.
type Listed struct {
	Changes     Changes
	RequestedAt hoist.Millis
	// ReachableSince is the time at which the store returned after an outage, as known to the reader, or zero.
	ReachableSince hoist.Millis
}

// Changed is the response to a watch request sent at RequestedAt, or a response of the reader that was confirmed then.
type Changed struct {
	Changes     Changes
	RequestedAt hoist.Millis
	// ReachableSince is the time at which the store returned after an outage, as known to the reader, or zero.
	ReachableSince hoist.Millis
}

// Failed means that a request got no response, or that no other instance has current content.
type Failed struct {
	// Since is the time from which the store may have been unreachable, or zero if that is now: a request without any response
	// within its time tells nothing of the store since it was sent.
	Since hoist.Millis
}

// Ticked means that time has passed.
type Ticked struct{}

func (Listed) isEvent()  {}
func (Changed) isEvent() {}
func (Failed) isEvent()  {}
func (Ticked) isEvent()  {}
