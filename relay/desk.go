package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// deskInbox bounds the events that wait for the goroutine of a desk.
const deskInbox = 1024

// desk runs the assignment of one service in a single goroutine.
type desk struct {
	clock   hoist.Clock
	inbox   chan assign.Event
	state   atomic.Pointer[assign.State]
	budget  atomic.Pointer[retry.Bucket]
	replies sync.Map
	ended   <-chan struct{}
}

// newDesk returns a desk that runs until ctx ends.
func newDesk(ctx context.Context, clock hoist.Clock, s assign.State, budget retry.Bucket) *desk {
	d := &desk{clock: clock, inbox: make(chan assign.Event, deskInbox), ended: ctx.Done()}
	d.state.Store(&s)
	d.budget.Store(&budget)
	go d.run()
	return d
}

// run processes events until the desk ends.
func (d *desk) run() {
	var wake <-chan hoist.Millis
	for {
		var e assign.Event
		select {
		case <-d.ended:
			return
		case e = <-d.inbox:
		case <-wake:
			wake, e = nil, assign.Ticked{}
		}
		now := d.clock.Now()
		s, effects := d.state.Load().Decide(e, now)
		d.state.Store(&s)
		for _, x := range effects {
			d.deliver(x)
		}
		if at, ok := s.Wake(now); ok && wake == nil {
			wake = d.clock.After(max(at-now, 1))
		}
	}
}

// deliver hands an effect to the request that waits for it.
func (d *desk) deliver(x assign.Effect) {
	var id uint64
	switch x := x.(type) {
	case assign.Grant:
		id = x.ID
	case assign.Refuse:
		id = x.ID
	}
	if c, ok := d.replies.LoadAndDelete(id); ok {
		c.(chan assign.Effect) <- x
	}
}

// post passes an event to the desk.
func (d *desk) post(e assign.Event) {
	select {
	case d.inbox <- e:
	case <-d.ended:
	}
}

// ask waits for a server; it returns nil when ctx ends first.
func (d *desk) ask(ctx context.Context, w value.Work) assign.Effect {
	reply := make(chan assign.Effect, 1)
	d.replies.Store(w.Id(), reply)
	d.post(assign.Asked{Work: w})
	select {
	case x := <-reply:
		return x
	case <-ctx.Done():
	case <-d.ended:
	}
	// The desk may have granted a server a moment ago; both events together undo either case.
	d.replies.Delete(w.Id())
	d.post(assign.Withdrawn{ID: w.Id()})
	d.post(assign.Ended{ID: w.Id(), Result: assign.Left})
	return nil
}

// earn adds the share of one request to the budget of repeats.
func (d *desk) earn(permille int64) {
	hoist.Update(&d.budget, func(b retry.Bucket) retry.Bucket { return b.Filled(1, permille) })
}

// charge takes one repeat out of the budget.
func (d *desk) charge() bool {
	allowed := false
	hoist.Update(&d.budget, func(b retry.Bucket) retry.Bucket {
		b, allowed = b.Taken(1)
		return b
	})
	return allowed
}
