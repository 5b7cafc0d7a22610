package router

import (
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// guard publishes the retry.Guard of this process.
type guard struct {
	*Router
	state atomic.Pointer[retry.Guard]
}

// newGuard returns a guard without suspected content.
func newGuard(r *Router) *guard {
	g := &guard{Router: r}
	s := retry.NewGuard(retry.Limits{})
	g.state.Store(&s)
	return g
}

// configure applies a policy.
func (g *guard) configure(p value.Policy) {
	hoist.Update(&g.state, func(s retry.Guard) retry.Guard { return s.WithPolicy(p) })
}

// quarantined reports whether the content is quarantined.
func (g *guard) quarantined(fingerprint uint64) bool {
	return g.state.Load().Quarantined(fingerprint, g.clock.Now())
}

// refuses reports whether a request is refused because its content is quarantined, and announces it then.
func (g *guard) refuses(fingerprint uint64) bool {
	if !g.quarantined(fingerprint) {
		return false
	}
	g.announce([]uint64{fingerprint})
	return true
}

// announce publishes the items of the quarantined contents that this router has not published lately.
func (g *guard) announce(fingerprints []uint64) {
	var items []value.Quarantine
	hoist.Update(&g.state, func(s retry.Guard) retry.Guard {
		s, items = s.Announce(fingerprints, g.clock.Now())
		return s
	})
	for _, q := range items {
		g.fleet.post(member.ItemPublished{Body: q})
	}
}

// merge merges an item that another router has published.
func (g *guard) merge(q value.Quarantine) {
	hoist.Update(&g.state, func(s retry.Guard) retry.Guard { return s.Merge(q, g.clock.Now()) })
}

// admit returns the placement request in the form in which it is queued, or its refusal.
func (g *guard) admit(a value.Ask) (ask value.GatewayMessageBody, refusal value.DispatcherMessageBody) {
	hoist.Update(&g.state, func(s retry.Guard) retry.Guard {
		s, ask, refusal = s.Admit(a, g.clock.Now())
		return s
	})
	if refusal != nil {
		g.announce(append(slices.Collect(a.Prefixes().All()), a.Fingerprint()))
	}
	return ask, refusal
}

// trialDropped ends the trial of an attempt that was rejected or withdrawn before it started.
func (g *guard) trialDropped(a value.Attempt) {
	if g.state.Load().HasTrials() {
		hoist.Update(&g.state, func(s retry.Guard) retry.Guard { return s.Dropped(a, g.clock.Now()) })
	}
}

// attemptEnded updates the guard after the end of an attempt; table is the server table before the end.
func (g *guard) attemptEnded(e value.End, table place.Table) {
	var items value.List[value.Quarantine]
	hoist.Update(&g.state, func(s retry.Guard) retry.Guard {
		s, items = s.Ended(e, table, g.clock.Now())
		return s
	})
	if e.Kind() == value.EndKindCrashed {
		_, name, _ := table.Find(e.Attempt())
		g.log.Write(event.ServerCrashed, logrus.Fields{"server": name, "suspects": items.Len()})
	}
	for q := range items.All() {
		g.fleet.post(member.ItemPublished{Body: q})
		if g.quarantined(q.Fingerprint()) {
			g.log.Write(event.ContentQuarantined, logrus.Fields{"fingerprint": q.Fingerprint()})
		}
	}
}
