package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/value"
)

const (
	// listTimeout limits one list request, and watchResponseTime the response to a watch after the end of its wait.
	listTimeout       = 3 * hoist.Second
	watchResponseTime = 500 * hoist.Millis(1)
	// minRetryDelay and maxRetryDelay limit the mean delay after a failed request.
	minRetryDelay = 100 * hoist.Millis(1)
	maxRetryDelay = hoist.Second
	// coalesceDelay is the delay after a response with changes; it is a small part of the time within which changes must be in
	// force.
	coalesceDelay = 100 * hoist.Millis(1)
	// maxHistoryRecords limits the changes that are stored for other instances.
	maxHistoryRecords = 256
)

// errReaderBehind means that the content of the reader is outdated or that it cannot reach the store, and errReaderEmpty that
// it has no content yet.
var (
	errReaderBehind = errors.New("store reader is behind")
	errReaderEmpty  = errors.New("store reader has no content yet")
)

// snapshot is the state that the follower publishes to other goroutines.
type snapshot struct {
	view  *View
	state State
	// history holds the newest changes, the oldest first; it contains all changes after the revision completeAfter.
	history       value.List[value.FeedRecord]
	completeAfter int64
}

// Options are the dependencies of a follower.
type Options struct {
	Source Source
	Clock  hoist.Clock
	Log    *event.Log
	// WatchTimeout is the time that a watch waits for changes.
	WatchTimeout hoist.Millis
	// Mesh carries messages to other instances; it is nil if there are none.
	Mesh Mesh
}

// Follower keeps the view of one process current in a single goroutine.
//
// The reader of each data centre watches the store; the others request changes from the reader, and use the store while the
// reader does not respond or is behind.
type Follower struct {
	Options
	published      atomic.Pointer[snapshot]
	readerRequests readerRequests
	// OnView is called with the views before and after each event, from the goroutine of Run; the new view is published when
	// it returns.
	OnView func(old, v *View)
	// Requests and Failures count the requests to the store and those without a response.
	Requests, Failures atomic.Int64

	// The fields below are used by the goroutine of Run only.
	state       State
	listed      bool
	unreachable bool
	// missedResponses counts the consecutive requests to the reader without a current response. Until readStoreUntil the
	// store is used in its place, but not before avoidStoreUntil if the store fails as well.
	missedResponses                 int
	readStoreUntil, avoidStoreUntil hoist.Millis
}

// NewFollower returns a follower of the source.
func NewFollower(o Options) *Follower {
	f := &Follower{Options: o, state: NewState(), OnView: func(_, _ *View) {}}
	f.published.Store(&snapshot{view: f.state.View()})
	f.readerRequests.hint = make(chan struct{}, 1)
	return f
}

// View returns the current view.
func (f *Follower) View() *View { return f.published.Load().view }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if f.listed && f.followReader(ctx) {
			delay = minRetryDelay
			continue
		}
		e, err := f.requestStore(ctx)
		if ctx.Err() != nil {
			return
		}
		f.logReachability(err)
		f.apply(e)
		if err == nil {
			delay = minRetryDelay
			f.coalesce(ctx, e)
			continue
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		if f.returnToReader() {
			continue
		}
		f.sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// returnToReader resumes requests to the reader of the data centre after a store request has failed as well; it returns
// false if there is no reader.
func (f *Follower) returnToReader() bool {
	if f.Mesh == nil || !f.listed {
		return false
	}
	if _, ok := f.Mesh.Reader(); !ok {
		return false
	}
	f.avoidStoreUntil = f.Clock.Now() + storeRetryDelay/2 + rand.N(storeRetryDelay)
	return true
}

// coalesce waits after a response with changes, so that a quick series of changes takes one request.
func (f *Follower) coalesce(ctx context.Context, e Event) {
	if c, ok := e.(Changed); !ok || len(c.Changes.Records) == 0 {
		return
	}
	f.sleep(ctx, coalesceDelay)
}

// sleep waits for the duration or the end of ctx.
func (f *Follower) sleep(ctx context.Context, duration hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(duration):
	}
}

// requestStore sends the next list or watch request to the store.
func (f *Follower) requestStore(ctx context.Context) (Event, error) {
	requestedAt := f.Clock.Now()
	f.Requests.Add(1)
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		defer cancel()
		c, err := f.Source.List(ctx)
		if err != nil {
			return Failed{}, err
		}
		f.listed = true
		return Listed{c, requestedAt}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (f.WatchTimeout + watchResponseTime).Duration())
	defer cancel()
	c, err := f.Source.Watch(ctx, f.state.Revision(), f.WatchTimeout)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return Ticked{}, err
	}
	if err != nil {
		return Failed{}, err
	}
	return Changed{c, requestedAt}, nil
}

// logReachability logs and counts failures of the store, and logs its recovery.
func (f *Follower) logReachability(err error) {
	switch {
	case err == nil && f.unreachable:
		f.unreachable = false
		f.Log.Write(event.StoreRecovered, nil)
	case errors.Is(err, ErrCompacted):
		f.Log.Write(event.StoreCompacted, logrus.Fields{"revision": f.state.Revision()})
	case err != nil:
		f.Failures.Add(1)
		if !f.unreachable {
			f.unreachable = true
			f.Log.Write(event.StoreUnreachable, logrus.Fields{"error": err.Error(), "revision": f.state.Revision(), "age_ms": f.View().Age(f.Clock.Now())})
		}
	}
}

// apply applies an event, publishes the view and sends hints about a new revision to the instances of the data centre.
func (f *Follower) apply(e Event) {
	old := f.published.Load()
	f.state = f.state.Decide(e, f.Clock.Now())
	next := &snapshot{view: f.state.View(), state: f.state, history: old.history, completeAfter: old.completeAfter}
	switch e := e.(type) {
	case Listed:
		next.history, next.completeAfter = value.List[value.FeedRecord]{}, e.Changes.Revision
	case Changed:
		next = next.withHistory(e.Changes.Records)
	case Failed, Ticked:
	}
	f.logChanges(e, old.view, next.view)
	// OnView comes first, so that readers of the new view find its consequences in place.
	f.OnView(old.view, next.view)
	f.published.Store(next)
	if r := next.state.Revision(); r > old.state.Revision() {
		f.sendHints(r)
	}
}

// withHistory adds records to the history.
func (s *snapshot) withHistory(records []value.FeedRecord) *snapshot {
	s.history = s.history.Append(records...)
	for s.history.Len() > maxHistoryRecords {
		s.completeAfter = s.history.At(0).Revision()
		s.history = s.history.Without(0)
	}
	return s
}

// logChanges logs the changes of an event.
func (f *Follower) logChanges(e Event, old, v *View) {
	if v.Table != nil && (old.Table == nil || old.Table.Version() != v.Table.Version()) {
		f.Log.Write(event.RoutesInForce, logrus.Fields{"version": v.Table.Version(), "revision": f.state.Revision(), "age_ms": v.Age(f.Clock.Now())})
	}
	var c Changes
	switch e := e.(type) {
	case Listed:
		c = e.Changes
	case Changed:
		c = e.Changes
	case Failed, Ticked:
	}
	for _, r := range c.Records {
		switch b := r.Body().(type) {
		case value.FeedUnreadable:
			f.Log.Write(event.EntryUnreadable, logrus.Fields{"key": r.Key(), "revision": r.Revision(), "error": b.Why()})
		case value.BackendServer:
			f.Log.Write(event.ServerListed, logrus.Fields{"server": b.Id(), "service": b.Service(), "address": b.Address(), "leaving": b.Leaving(), "revision": r.Revision()})
		case value.FeedGone:
			f.Log.Write(event.ServerGone, logrus.Fields{"key": r.Key(), "revision": r.Revision()})
		case value.RouteTable, value.FeedOther:
		}
	}
}
