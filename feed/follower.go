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
	// listTime bounds one list of the store, and answerTime the answer of a watch beyond its wait.
	listTime   = 3 * hoist.Second
	answerTime = 500 * hoist.Millis(1)
	// pauseLeast and pauseMost bound the pause after a failed question.
	pauseLeast = 100 * hoist.Millis(1)
	pauseMost  = hoist.Second
	// gatherTime is the pause after an answer with changes: a small part of the time within which changes must be in force.
	gatherTime = 100 * hoist.Millis(1)
	// historyMost bounds the changes that are kept for other instances.
	historyMost = 256
)

// errBehind says that the store fails the reader, and errEmpty that it has no content yet.
var (
	errBehind = errors.New("the reader of the store is behind")
	errEmpty  = errors.New("the reader of the store has no content yet")
)

// knowledge is what the follower publishes for readers in other goroutines.
type knowledge struct {
	view  *View
	state State
	// history holds the newest changes, the oldest first; it is complete after the revision since.
	history value.List[value.FeedRecord]
	since   int64
}

// Options are the parts that a follower works with.
type Options struct {
	Source Source
	Clock  hoist.Clock
	Log    *event.Log
	// WatchTimeout is the time for which a watch waits.
	WatchTimeout hoist.Millis
	// Mesh carries messages to other instances, or is nil.
	Mesh Mesh
}

// Follower keeps the view of one process current in a single goroutine.
//
// The reader of each data centre watches the store, the others ask the reader and turn to the store when it fails them.
type Follower struct {
	Options
	known atomic.Pointer[knowledge]
	peers peers
	// OnView is called after each change of the view, from the goroutine of Run.
	OnView func(old, v *View)
	// Requests and Failures count the questions to the store and those without an answer.
	Requests, Failures atomic.Int64

	// The fields below belong to the goroutine of Run.
	state       State
	listed      bool
	unreachable bool
	// misses counts the questions to the reader in a row without a fresh answer; until alone, the store is asked in its
	// place, but not before patient while the store fails as well.
	misses         int
	alone, patient hoist.Millis
}

// NewFollower returns a follower of the source.
func NewFollower(o Options) *Follower {
	f := &Follower{Options: o, state: NewState(), OnView: func(_, _ *View) {}}
	f.known.Store(&knowledge{view: f.state.View()})
	f.peers.hint = make(chan struct{}, 1)
	return f
}

// View returns the latest view.
func (f *Follower) View() *View { return f.known.Load().view }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := pauseLeast
	for ctx.Err() == nil {
		if f.listed && f.listen(ctx) {
			pause = pauseLeast
			continue
		}
		e, err := f.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		f.apply(e)
		if err == nil {
			pause = pauseLeast
			f.gather(ctx, e)
			continue
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		if f.yield() {
			continue
		}
		f.sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, pauseMost)
	}
}

// yield goes back to the reader of the data centre after the store has failed as well; it reports false when there is
// none.
func (f *Follower) yield() bool {
	if f.Mesh == nil || !f.listed {
		return false
	}
	if _, ok := f.Mesh.Reader(); !ok {
		return false
	}
	f.patient = f.Clock.Now() + patientTime/2 + rand.N(patientTime)
	return true
}

// gather waits after an answer with changes, so that changes that follow each other closely cost one question.
func (f *Follower) gather(ctx context.Context, e Event) {
	if c, ok := e.(Changed); !ok || len(c.Changes.Records) == 0 {
		return
	}
	f.sleep(ctx, gatherTime)
}

// sleep waits for the time or for the end of ctx.
func (f *Follower) sleep(ctx context.Context, t hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(t):
	}
}

// ask puts the next question to the store.
func (f *Follower) ask(ctx context.Context) (Event, error) {
	asked := f.Clock.Now()
	f.Requests.Add(1)
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTime.Duration())
		defer cancel()
		c, err := f.Source.List(ctx)
		if err != nil {
			return Failed{}, err
		}
		f.listed = true
		return Listed{c, asked}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (f.WatchTimeout + answerTime).Duration())
	defer cancel()
	c, err := f.Source.Watch(ctx, f.state.Revision(), f.WatchTimeout)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return Ticked{}, err
	}
	if err != nil {
		return Failed{}, err
	}
	return Changed{c, asked}, nil
}

// note logs that the store was lost or is back.
func (f *Follower) note(err error) {
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

// apply takes an event over, publishes the view and tells the other instances of the data centre that there is something new.
func (f *Follower) apply(e Event) {
	old := f.known.Load()
	f.state = f.state.Decide(e, f.Clock.Now())
	k := &knowledge{view: f.state.View(), state: f.state, history: old.history, since: old.since}
	switch e := e.(type) {
	case Listed:
		k.history, k.since = value.List[value.FeedRecord]{}, e.Changes.Revision
	case Changed:
		k = k.with(e.Changes.Records)
	case Failed, Ticked:
	}
	f.record(e, old.view, k.view)
	// Whoever sees the new view finds everything that follows from it.
	f.OnView(old.view, k.view)
	f.known.Store(k)
	if r := k.state.Revision(); r > old.state.Revision() {
		f.announce(r)
	}
}

// with returns the knowledge with more history.
func (k *knowledge) with(records []value.FeedRecord) *knowledge {
	k.history = k.history.Append(records...)
	for k.history.Len() > historyMost {
		k.since = k.history.At(0).Revision()
		k.history = k.history.Without(0)
	}
	return k
}

// record logs what has changed.
func (f *Follower) record(e Event, old, v *View) {
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
