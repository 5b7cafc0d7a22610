package llmsrv

import (
	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// ErrStaleFence reports an order with an old fencing number.
var ErrStaleFence = eris.New("order carries an old fencing number")

// ErrOrderPending reports an order that arrives while another one is pending.
var ErrOrderPending = eris.New("another order is under way")

// Orders is the immutable state of an engine's weights and role, and of the order that changes them.
type Orders struct {
	state      value.EngineState
	fenced     bool
	loadTime   hoist.Millis
	pending    value.Order
	completeAt hoist.Millis
}

// NewOrders returns the state of an engine that has loaded the models; loadMs is the time that loading weights takes.
func NewOrders(models []string, fenced bool, loadMs hoist.Millis) Orders {
	var l value.List[value.Loaded]
	for _, m := range models {
		l = l.Append(value.Loaded{}.WithKind("model").WithName(m).WithVersion("1"))
	}
	return Orders{state: value.EngineState{}.WithLoaded(l).WithRole("mixed"), fenced: fenced, loadTime: loadMs}
}

// Advance returns the state at the time; it applies the pending order if that completes by then.
func (o Orders) Advance(now hoist.Millis) Orders {
	if o.state.Pending() == "" || now < o.completeAt {
		return o
	}
	x := o.pending
	s := o.state.WithPending("")
	switch x.Kind() {
	case "load":
		s = s.WithLoaded(without(s.Loaded(), x).Append(
			value.Loaded{}.WithKind(x.Target()).WithName(x.Name()).WithVersion(x.Version())))
	case "unload":
		s = s.WithLoaded(without(s.Loaded(), x))
	case "role":
		s = s.WithRole(x.Name())
	}
	o.state = s
	return o
}

// Accept starts an order. A fenced engine refuses fencing numbers below the highest that it has accepted.
func (o Orders) Accept(x value.Order, now hoist.Millis) (Orders, error) {
	o = o.Advance(now)
	if o.fenced && x.Fence() < o.state.Fence() {
		return o, ErrStaleFence
	}
	if o.state.Pending() != "" {
		return o, ErrOrderPending
	}
	o.state = o.state.WithPending(x.Id()).WithFence(max(x.Fence(), o.state.Fence()))
	o.pending, o.completeAt = x, now
	if x.Kind() == "load" {
		o.completeAt += o.loadTime
	}
	return o.Advance(now), nil
}

// State returns the loaded weights, the role and the pending order.
func (o Orders) State() value.EngineState { return o.state }

// Loaded reports whether the model or adapter is in memory.
func (o Orders) Loaded(name string) bool {
	for l := range o.state.Loaded().All() {
		if l.Name() == name {
			return true
		}
	}
	return false
}

// without returns the list without the model or adapter that the order names.
func without(l value.List[value.Loaded], x value.Order) value.List[value.Loaded] {
	for i := range l.Len() {
		if l.At(i).Kind() == x.Target() && l.At(i).Name() == x.Name() {
			return l.Without(i)
		}
	}
	return l
}
