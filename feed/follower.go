package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
)

const (
	// listTime bounds one list of the store, and answerTime the answer of a watch beyond its wait.
	listTime   = 3 * hoist.Second
	answerTime = hoist.Second
	// pauseLeast and pauseMost bound the pause after a failed question.
	pauseLeast = 100 * hoist.Millis(1)
	pauseMost  = hoist.Second
)

// Follower keeps the view of one process current in a single goroutine.
type Follower struct {
	source Source
	clock  hoist.Clock
	log    *event.Log
	wait   hoist.Millis
	view   atomic.Pointer[View]
	// OnView is called after each change of the view, from the goroutine of Run.
	OnView func(old, v *View)
	// Asked and Unanswered count the questions to the store and those without an answer.
	Asked, Unanswered atomic.Int64
	state             State
	listed            bool
	unreachable       bool
}

// NewFollower returns a follower whose watches wait for the time.
func NewFollower(s Source, c hoist.Clock, l *event.Log, wait hoist.Millis) *Follower {
	f := &Follower{source: s, clock: c, log: l, wait: wait, state: NewState(), OnView: func(_, _ *View) {}}
	f.view.Store(f.state.View())
	return f
}

// View returns the latest view.
func (f *Follower) View() *View { return f.view.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := pauseLeast
	for ctx.Err() == nil {
		e, err := f.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		f.apply(e)
		if err == nil {
			pause = pauseLeast
			continue
		}
		if errors.Is(err, ErrCompacted) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, pauseMost)
	}
}

// ask puts the next question to the store.
func (f *Follower) ask(ctx context.Context) (Event, error) {
	asked := f.clock.Now()
	f.Asked.Add(1)
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTime.Duration())
		defer cancel()
		c, err := f.source.List(ctx)
		if err != nil {
			return Failed{}, err
		}
		f.listed = true
		return Listed{c, asked}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, (f.wait + answerTime).Duration())
	defer cancel()
	c, err := f.source.Watch(ctx, f.state.Revision(), f.wait)
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
		f.log.Write(event.StoreBack, nil)
	case errors.Is(err, ErrCompacted):
		f.log.Write(event.StoreCompacted, logrus.Fields{"revision": f.state.Revision()})
	case err != nil:
		f.Unanswered.Add(1)
		if !f.unreachable {
			f.unreachable = true
			f.log.Write(event.StoreLost, logrus.Fields{"error": err.Error(), "revision": f.state.Revision(), "age_ms": f.View().Age(f.clock.Now())})
		}
	}
}

// apply takes an event over and publishes the view.
func (f *Follower) apply(e Event) {
	f.state = f.state.Decide(e, f.clock.Now())
	old, v := f.view.Load(), f.state.View()
	f.view.Store(v)
	f.record(e, old, v)
	f.OnView(old, v)
}

// record logs what has changed.
func (f *Follower) record(e Event, old, v *View) {
	if v.Table != nil && (old.Table == nil || old.Table.Version() != v.Table.Version()) {
		f.log.Write(event.RoutesInForce, logrus.Fields{"version": v.Table.Version(), "revision": f.state.Revision(), "age_ms": v.Age(f.clock.Now())})
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
		switch b := r.Body.(type) {
		case Unreadable:
			f.log.Write(event.EntryUnreadable, logrus.Fields{"key": r.Key, "revision": r.Revision, "error": b.Why})
		case Server:
			f.log.Write(event.ServerListed, logrus.Fields{"server": b.Server.Id(), "service": b.Server.Service(), "address": b.Server.Address(), "leaving": b.Server.Leaving(), "revision": r.Revision})
		case Gone:
			f.log.Write(event.ServerGone, logrus.Fields{"key": r.Key, "revision": r.Revision})
		case Table, Other:
		}
	}
}
