package relay

import (
	"context"

	"chicoryhoist.example/hoist"
)

// drainAcceptTime is the time after the start of a drain for which all requests are accepted; within it, the load balancer
// and the callers move to other instances.
const drainAcceptTime = 3 * hoist.Second

// Drain is the planned stop of an instance.
type Drain struct {
	// Start is the time at which it began, and End the time by which every accepted request has its response.
	Start, End hoist.Millis
}

// Admit returns the deadline of a request that would have the given one otherwise, or false if the request is to be refused:
// late in the drain, only requests are accepted that surely end in time.
func (d Drain) Admit(deadline, now hoist.Millis) (hoist.Millis, bool) {
	if now-d.Start > drainAcceptTime && deadline > d.End {
		return deadline, false
	}
	return min(deadline, d.End), now < d.End
}

// StartDrain starts a planned stop, unless one has started.
func (r *Relay) StartDrain(d Drain) { r.drain.CompareAndSwap(nil, &d) }

// Draining reports whether a planned stop has started.
func (r *Relay) Draining() bool { return r.drain.Load() != nil }

// EndRequests ends the requests in progress as if their deadlines had passed, so that those whose response has not begun
// get one before the process ends.
func (r *Relay) EndRequests() { r.endRequests() }

// withDeadline returns a context that ends with errDeadline at the time or with EndRequests.
func (r *Relay) withDeadline(ctx context.Context, deadline hoist.Millis) (context.Context, func()) {
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, (deadline - r.Clock.Now()).Duration(), errDeadline)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.allRequests, func() { cancel(errDeadline) })
	return ctx, func() {
		stop()
		cancel(nil)
		cancelTimeout()
	}
}
