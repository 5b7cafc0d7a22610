package member

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// takeover is the time in which gateways answer a QueryAttempts; a new owner grants nothing before.
	takeover = 300 * hoist.Millis(1)
	// handover is the longer time when the former owner is live, so that it learns of the
	// change by a heartbeat and stops granting.
	handover = 1 * hoist.Second
	// parting is the time in which a former owner still answers asks with the news that the shard moved.
	parting = 5 * hoist.Second
)

// Phase is the part of a shard's ownership that a router is in.
type Phase int

// Phases.
const (
	// PhaseNone means that the router has nothing to do with the shard.
	PhaseNone Phase = iota
	// PhaseAcquiring owners queue asks and collect what gateways hold; they grant nothing yet.
	PhaseAcquiring
	// PhaseServing owners grant.
	PhaseServing
	// PhaseSuspended owners have a stale view and grant nothing until it is fresh.
	PhaseSuspended
	// PhaseDraining routers own the shard no more and refuse asks as moved.
	PhaseDraining
)

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	return [...]string{"none", "acquiring", "serving", "suspended", "draining"}[p]
}

// OwnershipEffect is something that the runtime does for a shard.
//
//sumtype:decl
type OwnershipEffect interface{ isClaimEffect() }

// QueryAttempts asks gateways for their attempts in progress on the shard.
type QueryAttempts struct {
	Shard    string
	Gateways []value.Member
}

// EnterPhase moves a shard to a phase.
type EnterPhase struct {
	Shard string
	Phase Phase
}

func (QueryAttempts) isClaimEffect() {}
func (EnterPhase) isClaimEffect()    {}

// claim is the phase of one shard and the time at which it ends.
type claim struct {
	phase Phase
	until hoist.Millis
}

// Ownership is the immutable state of the shards that one router owns, acquires or gives up.
//
// Two routers can claim a shard at once while their views differ. Each follows its own
// view, in which the hash names one owner, so the claims agree once the views do.
type Ownership struct {
	shards map[string]claim
	view   *View
}

// Phase returns the phase of a shard.
func (c Ownership) Phase(shard string) Phase { return c.shards[shard].phase }

// NextDeadline returns the earliest time at which a phase ends, or false.
func (c Ownership) NextDeadline() (hoist.Millis, bool) {
	var at hoist.Millis
	for _, x := range c.shards {
		if x.until != 0 && (at == 0 || x.until < at) {
			at = x.until
		}
	}
	return at, at != 0
}

// Decide returns the claims under the view at the time now, and the effects of the changes.
//
// It is called with each new view, and with the present one when the time of NextDeadline has come.
func (c Ownership) Decide(view *View, now hoist.Millis) (Ownership, []OwnershipEffect) {
	before := c.view
	next := Ownership{maps.Clone(c.shards), view}
	if next.shards == nil {
		next.shards = map[string]claim{}
	}
	owned := map[string]bool{}
	for _, s := range view.shards {
		owned[s.Key] = view.owners[s.Key] == view.self.Name()
	}
	keys := slices.Collect(maps.Keys(owned))
	for k := range c.shards {
		if !owned[k] {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	joined := joinedSince(before, view)
	var effects []OwnershipEffect
	for _, k := range slices.Compact(keys) {
		old := c.shards[k]
		x := old.next(owned[k], view.stale, graceOf(before, view, k), now)
		if x.phase == PhaseNone {
			delete(next.shards, k)
		} else {
			next.shards[k] = x
		}
		effects = append(effects, changeOf(k, old, x, view, joined)...)
	}
	return next, effects
}

// next returns the claim after the view or the time has changed.
func (x claim) next(owned, stale bool, grace, now hoist.Millis) claim {
	over := x.until != 0 && now >= x.until
	switch {
	case owned && stale:
		if x.phase == PhaseNone || x.phase == PhaseDraining {
			return x.expire(over)
		}
		return claim{phase: PhaseSuspended}
	case owned && x.phase == PhaseServing:
		return x
	case owned && x.phase == PhaseAcquiring:
		if over {
			return claim{phase: PhaseServing}
		}
		return x
	case owned:
		return claim{PhaseAcquiring, now + grace}
	case x.phase == PhaseNone || x.phase == PhaseDraining:
		return x.expire(over)
	}
	return claim{PhaseDraining, now + parting}
}

// expire returns no claim when its time is over.
func (x claim) expire(over bool) claim {
	if over {
		return claim{}
	}
	return x
}

// changeOf returns the effects of a shard's change; a new owner asks all gateways, and one
// that keeps serving asks those that have joined, because another owner may have served them.
func changeOf(shard string, old, x claim, view *View, joined []value.Member) []OwnershipEffect {
	switch {
	case x.phase == PhaseAcquiring && (old.phase != PhaseAcquiring):
		return []OwnershipEffect{EnterPhase{shard, x.phase}, QueryAttempts{shard, view.Members()}}
	case x.phase != old.phase:
		return []OwnershipEffect{EnterPhase{shard, x.phase}}
	case (x.phase == PhaseServing || x.phase == PhaseAcquiring) && len(joined) > 0:
		return []OwnershipEffect{QueryAttempts{shard, joined}}
	}
	return nil
}

// joinedSince returns the routers that are live now and were not before.
func joinedSince(before, view *View) []value.Member {
	var ms []value.Member
	if before == nil || before == view {
		return nil
	}
	for _, m := range view.Members() {
		if old, ok := before.Member(m.Name()); !ok || old.Incarnation() != m.Incarnation() {
			ms = append(ms, m)
		}
	}
	return ms
}

// graceOf returns the time that a new owner waits before it grants.
func graceOf(before, view *View, shard string) hoist.Millis {
	if before == nil {
		return takeover
	}
	name, ok := before.owners[shard]
	if !ok || name == view.self.Name() {
		return takeover
	}
	if _, live := view.Member(name); live {
		return handover
	}
	return takeover
}
