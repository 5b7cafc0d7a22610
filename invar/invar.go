// Package invar counts and reports violations of the invariants that docs/design.md lists in section 1.3.
//
// A check costs one comparison while it holds. A violation is counted and
// passed to the attached hooks; it never changes the decision that it was found in.
package invar

import (
	"sync/atomic"
)

// Invariant names one invariant.
type Invariant uint8

// Checks, numbered as on the design page.
const (
	// TierOrder is tier order: no higher-tier request is shed or preempted to serve a lower tier.
	TierOrder Invariant = iota + 1
	// WaitingBound is the waiting bound: every class is eventually served.
	WaitingBound
	// AnswerIdentity is answer identity: each caller receives the whole answer to its own request.
	AnswerIdentity
	// HonestOutcome is the honest outcome: a request that is reported as not run was not run.
	HonestOutcome
	// AtMostOnce is at-most-once execution of calls that are marked as not repeatable.
	AtMostOnce
	// Departure is departure: a leaving backend server receives no new work after 3 s.
	Departure
	// GracefulShutdown is graceful shutdown: a planned stop interrupts no request in progress.
	GracefulShutdown
	// ConfigurationOrder is the configuration rule: the generation in force never goes back.
	ConfigurationOrder
)

// checks is the number of checks.
const checks = int(ConfigurationOrder)

// String returns the identifier on the design page.
func (c Invariant) String() string {
	return [checks + 1]string{"none", "I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8"}[c]
}

// Title returns the invariant in a few words.
func (c Invariant) Title() string {
	return [checks + 1]string{
		"none",
		"tier order",
		"waiting bound",
		"answer identity",
		"honest outcome",
		"at most once",
		"departure",
		"graceful shutdown",
		"configuration order",
	}[c]
}

// All returns every check in order.
func All() []Invariant {
	return []Invariant{TierOrder, WaitingBound, AnswerIdentity, HonestOutcome, AtMostOnce, Departure, GracefulShutdown, ConfigurationOrder}
}

// Hook receives each violation; it runs on the goroutine that found the violation and must not block.
type Hook func(check Invariant, detail string)

var (
	counts [checks + 1]atomic.Uint64
	hooks  atomic.Pointer[[]*Hook]
)

// Count returns the violations of the check since the process started.
func Count(c Invariant) uint64 { return counts[c].Load() }

// Report counts a violation and calls the attached hooks.
func Report(c Invariant, detail string) {
	counts[c].Add(1)
	list := hooks.Load()
	if list == nil {
		return
	}
	for _, h := range *list {
		(*h)(c, detail)
	}
}

// Attach adds a hook and returns a function that removes it.
func Attach(h Hook) (detach func()) {
	own := &h
	replace(func(old []*Hook) []*Hook { return append(old, own) })
	return func() {
		replace(func(old []*Hook) []*Hook { return without(old, own) })
	}
}

// replace publishes a changed copy of the hook list; it repeats when another goroutine published first.
func replace(change func([]*Hook) []*Hook) {
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

// without returns the list without the hook.
func without(list []*Hook, own *Hook) []*Hook {
	kept := make([]*Hook, 0, len(list))
	for _, h := range list {
		if h != own {
			kept = append(kept, h)
		}
	}
	return kept
}
