// Package shard runs the scheduling state of one shard in a single updater goroutine.
package shard

import (
	"context"
	"fmt"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// inboxSize bounds the queued events to one second of events at the target rate.
const inboxSize = 2048

// maxLeavingGrantDelay is the time after which a leaving server must not be granted any more, according to invariant I6.
const maxLeavingGrantDelay = 3 * hoist.Second

// Updater owns the state of one shard; readers load immutable snapshots without a lock.
type Updater struct {
	clock   hoist.Clock
	deliver func(sched.Effect)
	inbox   chan sched.Event
	state   atomic.Pointer[sched.State]
	stopped chan struct{}
}

// New returns an updater of the shard; deliver must not block.
func New(key string, clock hoist.Clock, deliver func(sched.Effect)) *Updater {
	u := &Updater{
		clock:   clock,
		deliver: deliver,
		inbox:   make(chan sched.Event, inboxSize),
		stopped: make(chan struct{}),
	}
	s := sched.New(key)
	u.state.Store(&s)
	return u
}

// State returns the latest snapshot.
func (u *Updater) State() sched.State { return *u.state.Load() }

// Post queues an event for the updater and reports whether it did. After the updater has stopped, placement requests are refused as moved.
func (u *Updater) Post(e sched.Event) bool {
	select {
	case <-u.stopped:
		u.refuse(e)
		return false
	default:
	}
	select {
	case u.inbox <- e:
	case <-u.stopped:
		u.refuse(e)
		return false
	}
	select {
	case <-u.stopped:
		u.refuseQueued()
	default:
	}
	return true
}

// refuseQueued refuses the placement requests that are left in the inbox of the stopped updater.
func (u *Updater) refuseQueued() {
	for {
		select {
		case e := <-u.inbox:
			u.refuse(e)
		default:
			return
		}
	}
}

// refuse refuses a placement request that no updater will decide about, whose request would otherwise wait forever.
func (u *Updater) refuse(e sched.Event) {
	r, ok := e.(sched.MessageReceived)
	if !ok {
		return
	}
	if a, ok := r.Body.(value.Ask); ok {
		u.deliver(value.Refusal{}.WithAttempt(a.Attempt()).WithReason(value.RefusalReasonMoved))
	}
}

// checkGrant reports a violation of I6 if the server of a grant has been leaving for too long.
//
// It reads the status in the server table independently of the decision that led to the grant.
func (u *Updater) checkGrant(t place.Table, e sched.Effect, now hoist.Millis) {
	g, ok := e.(value.Grant)
	if !ok {
		return
	}
	s, ok := t.Server(g.Server())
	if ok && s.Status() == place.StatusLeaving && now-s.StatusSince() > maxLeavingGrantDelay {
		invar.Report(invar.Departure, fmt.Sprintf("shard %s grants server %s, which has been leaving for %d ms",
			u.State().Shard(), g.Server(), now-s.StatusSince()))
	}
}

// Run processes events until ctx is done.
func (u *Updater) Run(ctx context.Context) {
	defer u.refuseQueued()
	defer close(u.stopped)
	var wake <-chan hoist.Millis
	var wakeAt hoist.Millis
	for {
		var event sched.Event
		select {
		case <-ctx.Done():
			return
		case event = <-u.inbox:
		case <-wake:
			wake, event = nil, sched.Ticked{}
		}
		now := u.clock.Now()
		state, effects := u.State().Decide(event, now)
		u.state.Store(&state)
		for _, e := range effects {
			u.checkGrant(state.Table(), e, now)
			u.deliver(e)
		}
		if at, ok := state.Wake(); ok && (wake == nil || at < wakeAt) {
			wakeAt = at
			wake = u.clock.After(max(at-now, 1))
		}
	}
}
