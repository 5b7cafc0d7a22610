// Package invar counts and reports violations of the invariants that docs/design.md lists in section 1.3.
//
// A check costs one comparison if the invariant holds. A violation is counted and
// passed to the attached hooks; it never changes the decision in which it was found.
package invar

import (
	"sync/atomic"
)

// Invariant identifies an invariant.
type Invariant uint8

// Invariants, I1 to I8 on the design page.
const (
	// TierOrder (I1): no request of a higher tier is shed or preempted to serve a lower tier.
	TierOrder Invariant = iota + 1
	// WaitingBound (I2): every class is eventually served.
	WaitingBound
	// AnswerIdentity (I3): each caller receives the complete response to its hook request.
	AnswerIdentity
	// HonestOutcome (I4): a request that is reported as not run was not run.
	HonestOutcome
	// AtMostOnce (I5): an unrepeatable call is run at most once.
	AtMostOnce
	// Departure (I6): a leaving backend server receives no new work after 3 s.
	Departure
	// GracefulShutdown (I7): a planned stop interrupts no request in progress.
	GracefulShutdown
	// ConfigurationOrder (I8): the generation in force never decreases.
	ConfigurationOrder
)

// invariantCount is the number of invariants.
const invariantCount = int(ConfigurationOrder)

// String returns the identifier on the design page, such as I1.
func (i Invariant) String() string {
	return [invariantCount + 1]string{"none", "I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8"}[i]
}

// Title returns the short title of the invariant.
func (i Invariant) Title() string {
	return [invariantCount + 1]string{
		"none",
		"tier order",
		"waiting bound",
		"answer identity",
		"honest outcome",
		"at most once",
		"departure",
		"graceful shutdown",
		"configuration order",
	}[i]
}

// All returns all invariants in order.
func All() []Invariant {
	return []Invariant{TierOrder, WaitingBound, AnswerIdentity, HonestOutcome, AtMostOnce, Departure, GracefulShutdown, ConfigurationOrder}
}

// Hook is called for each violation, on the goroutine that found it; it must not block.
type Hook func(i Invariant, detail string)

var (
	counts [invariantCount + 1]atomic.Uint64
	hooks  atomic.Pointer[[]*Hook]
)

// Count returns the number of violations of the invariant since the process started.
func Count(i Invariant) uint64 { return counts[i].Load() }

// Report counts a violation of the invariant and calls the attached hooks.
func Report(i Invariant, detail string) {
	counts[i].Add(1)
	list := hooks.Load()
	if list == nil {
		return
	}
	for _, h := range *list {
		(*h)(i, detail)
	}
}

// Attach adds a hook and returns a function that removes it.
func Attach(h Hook) (detach func()) {
	hook := &h
	updateHooks(func(old []*Hook) []*Hook { return append(old, hook) })
	return func() {
		updateHooks(func(old []*Hook) []*Hook { return withoutHook(old, hook) })
	}
}

// updateHooks replaces the hook list by a changed copy; it retries if another goroutine has replaced the list meanwhile.
func updateHooks(change func([]*Hook) []*Hook) {
	for {
		old := hooks.Load()
		var list []*Hook
		if old != nil {
			list = append(list, *old...)
		}
		list = change(list)
		if hooks.CompareAndSwap(old, &list) {
			return
		}
	}
}

// withoutHook returns a copy of the list without the hook.
func withoutHook(list []*Hook, hook *Hook) []*Hook {
	others := make([]*Hook, 0, len(list))
	for _, h := range list {
		if h != hook {
			others = append(others, h)
		}
	}
	return others
}
