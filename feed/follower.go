package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"github.com/samber/lo"
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

// snapshot is the state that the follower publishes to other goroutines.
type snapshot struct {
	view  *View
	state State
	// history holds the newest changes, the oldest first; it contains all changes after the revision completeAfter but route
	// tables, of which only that of the state is of use.
	history       value.List[value.FeedRecord]
	completeAfter int64
	// away is set while the content is not confirmed by the store or by an instance that is closer to it.
	away bool
	// replaced is closed when the next snapshot is published.
	replaced chan struct{}
}

// Options are the dependencies of a follower.
type Options struct {
	Source Source
	Clock  hoist.Clock
	Log    *event.Log
	// WatchTimeout is the time that a watch waits for changes.
	WatchTimeout hoist.Millis
	// StartPatience is the time that a starting instance waits for content of another one before it lists the store.
	StartPatience hoist.Millis
	// Mesh carries messages to other instances; it is nil if there are none.
	Mesh Mesh
	// Regions are the regions of the data centres, and Home is the region of all of them if there are none.
	Regions map[string]string
	Home    string
}

// Follower keeps the view of one process current in a single goroutine.
//
// Its ReaderPlan determines which instances it asks for changes, and whether it reads the store while none of them has
// current content.
type Follower struct {
	Options
	published atomic.Pointer[snapshot]
	// hasTable is closed when the first view with a route table is published.
	hasTable       chan struct{}
	readerRequests readerRequests
	// OnView is called with the views before and after each event, from the goroutine of Run; the new view is published when
	// it returns.
	OnView func(old, v *View)
	// Requests and Failures count the requests to the store and those without a response.
	Requests, Failures atomic.Int64
	// Lists counts the list requests to the store.
	Lists Lists
	// era is the newest era of the store that a response or another instance has stated.
	era atomic.Int64
	// newerTable is the name of an instance that has a newer route table, or nil.
	newerTable atomic.Pointer[string]

	// The fields below are used by the goroutine of Run only.
	state  State
	listed bool
	// unconfirmed is the content of another instance that was behind before this one had any.
	unconfirmed Listed
	// compacted is set while the store no longer has the history after the known position.
	compacted bool
	// relists counts the lists in a row after which a watch could not continue.
	relists int
	// unreachable is set while the store, or the sources of an instance that does not read it, have no current content.
	unreachable bool
	startedAt   hoist.Millis
	// silences holds the sources that did not respond to their last request.
	silences map[string]silence
	// nextStoreRequest is the earliest time of the next request to the store if this instance is not to read it, or if the
	// store does not respond to it.
	nextStoreRequest hoist.Millis
}

// NewFollower returns a follower of the source.
func NewFollower(o Options) *Follower {
	f := &Follower{Options: o, state: NewState().WithRegions(o.Regions, o.Home), OnView: func(_, _ *View) {}, startedAt: o.Clock.Now(), silences: map[string]silence{}, hasTable: make(chan struct{})}
	f.published.Store(&snapshot{view: f.state.View(), replaced: make(chan struct{})})
	f.readerRequests.hint = make(chan struct{}, 1)
	return f
}

// View returns the current view.
func (f *Follower) View() *View { return f.published.Load().view }

// Position returns the position of the current view.
func (f *Follower) Position() Position { return f.published.Load().state.Position() }

// Next returns the current view and a channel that is closed when it is replaced.
func (f *Follower) Next() (*View, <-chan struct{}) {
	s := f.published.Load()
	return s.view, s.replaced
}

// HasTable returns a channel that is closed when the first view with a route table is published.
func (f *Follower) HasTable() <-chan struct{} { return f.hasTable }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if !f.Log.Contain("store view", func() { delay = f.followOnce(ctx, delay) }) {
			f.sleep(ctx, maxRetryDelay)
		}
	}
}

// followOnce takes one step of following the store; it returns the mean delay after the next failed request.
func (f *Follower) followOnce(ctx context.Context, delay hoist.Millis) hoist.Millis {
	f.learnTable(ctx)
	if f.followPeers(ctx) {
		return minRetryDelay
	}
	e, err := f.requestStore(ctx)
	if ctx.Err() != nil {
		return delay
	}
	f.logReachability(err)
	f.apply(e, true)
	switch {
	case err == nil:
		f.coalesce(ctx, e)
		return minRetryDelay
	case needsList(err):
		f.sleep(ctx, f.relistDelay())
		return delay
	default:
		f.Failures.Add(1)
		f.nextStoreRequest = f.Clock.Now() + storeRetryDelay/2 + rand.N(storeRetryDelay)
		f.sleep(ctx, delay/2+rand.N(delay))
		return min(2*delay, maxRetryDelay)
	}
}

// coalesce waits after a response with changes, so that a quick series of changes takes one request.
func (f *Follower) coalesce(ctx context.Context, e Event) {
	if c, ok := e.(Changed); !ok || len(c.Records) == 0 {
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
	if f.mustList() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
		defer cancel()
		f.countList()
		c, err := f.Source.List(ctx)
		if err = f.checkEra(c, err); err != nil {
			return failure(err, requestedAt), err
		}
		if !f.listed && len(f.unconfirmed.Records) > 0 {
			// The store may have returned from an older copy; what it has lost is taken from the other instance.
			f.state = f.state.Decide(f.unconfirmed, f.Clock.Now())
			f.unconfirmed = Listed{}
		}
		f.listed, f.compacted = true, false
		return Listed{Response{Changes: c, RequestedAt: requestedAt}}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (f.WatchTimeout + watchResponseTime).Duration())
	defer cancel()
	position := f.state.Position()
	c, err := f.Source.Watch(ctx, position.Revision, f.WatchTimeout)
	err = f.checkEra(c, err)
	if err == nil && c.Era != position.Era {
		err = ErrEraChanged
	}
	if err != nil {
		f.compacted = f.compacted || errors.Is(err, ErrCompacted)
		return failure(err, requestedAt), err
	}
	f.relists = 0
	return Changed{Response{Changes: c, RequestedAt: requestedAt}}, nil
}

// failure returns the event of a request to the store that was sent at requestedAt and failed.
func failure(err error, requestedAt hoist.Millis) Event {
	switch {
	case needsList(err):
		return Ticked{}
	case errors.Is(err, context.DeadlineExceeded):
		return Failed{Since: requestedAt}
	default:
		return Failed{}
	}
}

// logReachability logs the first failure of the store or of the instances that read it, and the recovery.
func (f *Follower) logReachability(err error) {
	switch {
	case err == nil && f.unreachable:
		f.unreachable = false
		f.Log.Write(event.StoreRecovered, nil)
	case errors.Is(err, ErrCompacted):
		f.Log.Write(event.StoreCompacted, logrus.Fields{"revision": f.state.Position().Revision})
	case errors.Is(err, ErrEraChanged): // The list of the new era is logged.
	case err != nil:
		if !f.unreachable {
			f.unreachable = true
			f.Log.Write(event.StoreUnreachable, logrus.Fields{"error": err.Error(), "revision": f.state.Position().Revision, "age_ms": f.View().Age(f.Clock.Now())})
		}
	}
}

// apply applies an event, which concerns the store itself or the content of another instance, and publishes the view. It
// sends hints about a new revision, and about a store that has stopped responding, so that the next reader takes over.
func (f *Follower) apply(e Event, fromStore bool) {
	old := f.published.Load()
	f.state = f.state.Decide(e, f.Clock.Now())
	next := &snapshot{view: f.state.View(), state: f.state, history: old.history, completeAfter: old.completeAfter, away: f.unreachable, replaced: make(chan struct{})}
	switch e := e.(type) {
	case Listed:
		next.history, next.completeAfter = value.List[value.FeedRecord]{}, e.Revision
	case Changed:
		next = next.withHistory(e.Records)
	case TableLearned, Failed, Ticked:
	}
	f.logEra(old.state, f.state)
	f.logChanges(e, old, next.view)
	// OnView comes first, so that readers of the new view find its consequences in place.
	f.OnView(old.view, next.view)
	f.published.Store(next)
	close(old.replaced)
	if old.view.Table == nil && next.view.Table != nil {
		close(f.hasTable)
	}
	newer := old.state.Position().Before(f.state.Position()) || f.state.version() > old.state.version()
	if newer || fromStore && next.away && !old.away {
		f.sendHints(f.state.Position(), fromStore)
	}
}

// withHistory adds records to the history. An older route table is of no use to another instance, and a large one may take
// a megabyte.
func (s *snapshot) withHistory(records []value.FeedRecord) *snapshot {
	s.history = s.history.Append(lo.Reject(records, func(r value.FeedRecord, _ int) bool { return isTable(r) })...)
	for s.history.Len() > maxHistoryRecords {
		s.completeAfter = s.history.At(0).Revision()
		s.history = s.history.Without(0)
	}
	return s
}

// isTable reports whether the record contains a route table.
func isTable(r value.FeedRecord) bool {
	_, ok := r.Body().(value.RouteTable)
	return ok
}

// changesAfter returns the changes after the revision, which is not before completeAfter, without a route table.
func (s *snapshot) changesAfter(revision int64) []value.FeedRecord {
	var records []value.FeedRecord
	for r := range s.history.All() {
		if r.Revision() > revision {
			records = append(records, r)
		}
	}
	return records
}

// logChanges logs the changes of an event.
func (f *Follower) logChanges(e Event, before *snapshot, v *View) {
	old := before.view
	if v.Table != nil && (old.Table == nil || old.Table.Version() != v.Table.Version()) {
		f.Log.Write(event.RoutesInForce, logrus.Fields{"version": v.Table.Version(), "revision": f.state.Position().Revision, "age_ms": v.Age(f.Clock.Now())})
	}
	f.logEvacuations(old, v)
	var c Changes
	_, whole := e.(Listed)
	switch e := e.(type) {
	case Listed:
		c = e.Changes
	case Changed:
		c = e.Changes
	case TableLearned, Failed, Ticked:
	}
	for _, r := range c.Records {
		switch b := r.Body().(type) {
		case value.FeedUnreadable:
			f.Log.Write(event.EntryUnreadable, logrus.Fields{"key": r.Key(), "revision": r.Revision(), "error": b.Why()})
		case value.BackendServer:
			f.Log.Write(event.ServerListed, logrus.Fields{"server": b.Id(), "service": b.Service(), "address": b.Address(), "leaving": b.Leaving(), "revision": r.Revision()})
		case value.FeedGone:
			if _, ended := before.state.evacuations[r.Key()]; !ended && !whole {
				f.Log.Write(event.ServerGone, logrus.Fields{"key": r.Key(), "revision": r.Revision()})
			}
		case value.RouteTable, value.Evacuation, value.FeedOther:
		}
	}
}
