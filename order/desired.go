package order

import (
	"fmt"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	// DefaultDelay is the order delay, the longest time until an order reaches its engine, if the policy sets none.
	DefaultDelay = 30 * hoist.Second
	// DefaultEjectPermille is the share of servers that may be out of service at once, in thousandths, if the policy sets none.
	DefaultEjectPermille = 200
)

// weights is a model or adapter that every server of a pool must have loaded.
type weights struct {
	value.Loaded
	mib float64
}

// desiredState is the desired state of the servers of one pool according to a snapshot, with the limits of its orders.
type desiredState struct {
	generation        uint64
	loaded            []weights
	role              string
	fenced            bool
	fence             uint64
	orderDelay        hoist.Millis
	storeMibPerSecond float64
	ejectPermille     int
}

// desiredStateOf returns the desired state of the pool; the fencing number is the published one.
func desiredStateOf(v *config.View, p value.Pool) desiredState {
	policy := v.Policy()
	d := desiredState{
		generation:        v.Version().Generation,
		role:              p.Role(),
		fenced:            p.Fenced(),
		fence:             p.Fence(),
		orderDelay:        hoist.Millis(policy.OrderDelayMs()),
		storeMibPerSecond: float64(policy.WeightStoreMibPerSecond()),
		ejectPermille:     int(policy.EjectPermille()),
	}
	if d.orderDelay <= 0 {
		d.orderDelay = DefaultDelay
	}
	if d.ejectPermille <= 0 {
		d.ejectPermille = DefaultEjectPermille
	}
	for m := range v.Models().All() {
		if slices.Contains(slices.Collect(p.Models().All()), m.Name()) {
			l := value.Loaded{}.WithKind("model").WithName(m.Name()).WithVersion(m.Version())
			d.loaded = append(d.loaded, weights{l, float64(m.WeightMib())})
		}
	}
	for a := range v.Adapters().All() {
		if slices.Contains(slices.Collect(p.Adapters().All()), a.Name()) {
			l := value.Loaded{}.WithKind("adapter").WithName(a.Name())
			d.loaded = append(d.loaded, weights{l, float64(a.WeightMib())})
		}
	}
	return d
}

// step is the next order to a server and the size of the weights that it fetches.
type step struct {
	order value.Order
	mib   float64
	// takesOut means that the server is out of service while it carries out the order.
	takesOut bool
}

// next returns the next order that brings the engine closer to the desired state, or false if there is none.
//
// The role is set first, because the layout of weights may depend on it. Unloads come last, so that a
// version is unloaded only after its successor is loaded.
func (d desiredState) next(e value.EngineState) (step, bool) {
	if d.role != "" && e.Role() != d.role {
		return step{order: d.order("role", value.Loaded{}.WithName(d.role)), takesOut: true}, true
	}
	for _, w := range d.loaded {
		if !hasLoaded(e, w.Loaded) {
			return step{order: d.order("load", w.Loaded), mib: w.mib, takesOut: true}, true
		}
	}
	for l := range e.Loaded().All() {
		if !slices.ContainsFunc(d.loaded, func(w weights) bool { return sameWeights(w.Loaded, l) }) {
			return step{order: d.order("unload", l)}, true
		}
	}
	return step{}, false
}

// order returns the order of the kind for the weights or role.
//
// The id is derived from the generation and the content, so that two owners give the same order the same id.
func (d desiredState) order(kind string, l value.Loaded) value.Order {
	id := fmt.Sprintf("%d.%s.%s.%s.%s", d.generation, kind, l.Kind(), l.Name(), l.Version())
	return value.Order{}.WithId(id).WithKind(kind).WithTarget(l.Kind()).WithName(l.Name()).
		WithVersion(l.Version()).WithFence(d.fence)
}

// heaviestMib returns the size of the largest weights in mebibytes.
func (d desiredState) heaviestMib() float64 {
	heaviest := 0.0
	for _, w := range d.loaded {
		heaviest = max(heaviest, w.mib)
	}
	return heaviest
}

// hasLoaded reports whether the engine has loaded the weights.
func hasLoaded(e value.EngineState, want value.Loaded) bool {
	for l := range e.Loaded().All() {
		if sameWeights(want, l) {
			return true
		}
	}
	return false
}

// sameWeights reports whether the loaded weights are the wanted ones; adapters have no version of their own.
func sameWeights(want, l value.Loaded) bool {
	return want.Kind() == l.Kind() && want.Name() == l.Name() && (want.Kind() == "adapter" || want.Version() == l.Version())
}

// opposite reports whether one order undoes the other, so that the result would depend on which arrives first.
func opposite(a, b value.Order) bool {
	if a.Target() != b.Target() {
		return false
	}
	if a.Kind() == "role" || b.Kind() == "role" {
		return a.Kind() == b.Kind() && a.Name() != b.Name()
	}
	if a.Name() != b.Name() {
		return false
	}
	if a.Kind() == b.Kind() {
		return a.Kind() == "load" && a.Version() != b.Version()
	}
	return a.Version() == b.Version() || a.Target() == "adapter"
}
