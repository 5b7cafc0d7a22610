package member

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// acquireDelay is the time in which gateways respond to a QueryAttempts; a new owner grants nothing before its end.
	acquireDelay = 300 * hoist.Millis(1)
	// liveOwnerAcquireDelay is the longer delay if the former owner is live, so that a heartbeat informs it of the change and
	// it stops granting.
	liveOwnerAcquireDelay = 1 * hoist.Second
	// drainTime is the time in which a former owner still responds to placement requests with the information that the shard
	// has moved.
	drainTime = 5 * hoist.Second
)

// Phase is the state of a shard on one router.
type Phase int

// Phases.
const (
	// PhaseNone means that the router neither owns nor drains the shard.
	PhaseNone Phase = iota
	// PhaseAcquiring owners queue placement requests and collect the attempts of the gateways; they grant nothing yet.
	PhaseAcquiring
	// PhaseServing owners grant placement requests.
	PhaseServing
	// PhaseSuspended owners have a stale view and grant nothing until it is current.
	PhaseSuspended
	// PhaseDraining routers no longer own the shard and refuse placement requests as moved.
	PhaseDraining
)

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	return [...]string{"none", "acquiring", "serving", "suspended", "draining"}[p]
}

// OwnershipEffect is an action that the runtime performs for Ownership.
//
//sumtype:decl
type OwnershipEffect interface{ isOwnershipEffect() }

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

func (QueryAttempts) isOwnershipEffect() {}
func (EnterPhase) isOwnershipEffect()    {}

// shardPhase is the phase of one shard and the time at which it ends, or zero if it has no end.
type shardPhase struct {
	phase Phase
	until hoist.Millis
}

// Ownership is the immutable state of the shards that one router owns, acquires or drains.
//
// Two routers can own a shard at once while their views differ. Each follows its own view, in which rendezvous hashing names
// one owner, so ownership agrees once the views do.
type Ownership struct {
	shards map[string]shardPhase
	view   *View
}

// Phase returns the phase of a shard.
func (c Ownership) Phase(shard string) Phase { return c.shards[shard].phase }

// NextDeadline returns the earliest time at which a phase ends, or false when none ends.
func (c Ownership) NextDeadline() (hoist.Millis, bool) {
	var deadline hoist.Millis
	for _, p := range c.shards {
		if p.until != 0 && (deadline == 0 || p.until < deadline) {
			deadline = p.until
		}
	}
	return deadline, deadline != 0
}

// Decide returns the ownership under the view at the time now, and the effects of the change.
//
// The runtime calls it with each new view, and with the current one when the time of NextDeadline has come.
func (c Ownership) Decide(view *View, now hoist.Millis) (Ownership, []OwnershipEffect) {
	before := c.view
	next := Ownership{maps.Clone(c.shards), view}
	if next.shards == nil {
		next.shards = map[string]shardPhase{}
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
		p := old.advance(owned[k], view.stale, acquireDelayFor(before, view, k), now)
		if p.phase == PhaseNone {
			delete(next.shards, k)
		} else {
			next.shards[k] = p
		}
		effects = append(effects, phaseEffects(k, old, p, view, joined)...)
	}
	return next, effects
}

// advance returns the phase after a change of the view or of the time.
func (x shardPhase) advance(owned, stale bool, delay, now hoist.Millis) shardPhase {
	ended := x.until != 0 && now >= x.until
	switch {
	case owned && stale:
		if x.phase == PhaseNone || x.phase == PhaseDraining {
			return x.expire(ended)
		}
		return shardPhase{phase: PhaseSuspended}
	case owned && x.phase == PhaseServing:
		return x
	case owned && x.phase == PhaseAcquiring:
		if ended {
			return shardPhase{phase: PhaseServing}
		}
		return x
	case owned:
		return shardPhase{PhaseAcquiring, now + delay}
	case x.phase == PhaseNone || x.phase == PhaseDraining:
		return x.expire(ended)
	}
	return shardPhase{PhaseDraining, now + drainTime}
}

// expire returns the zero phase if the phase has ended.
func (x shardPhase) expire(ended bool) shardPhase {
	if ended {
		return shardPhase{}
	}
	return x
}

// phaseEffects returns the effects of a shard's change. A new owner queries all gateways; one that continues to serve queries
// those that have joined, because another owner may have served them.
func phaseEffects(shard string, old, p shardPhase, view *View, joined []value.Member) []OwnershipEffect {
	switch {
	case p.phase == PhaseAcquiring && (old.phase != PhaseAcquiring):
		return []OwnershipEffect{EnterPhase{shard, p.phase}, QueryAttempts{shard, view.Members()}}
	case p.phase != old.phase:
		return []OwnershipEffect{EnterPhase{shard, p.phase}}
	case (p.phase == PhaseServing || p.phase == PhaseAcquiring) && len(joined) > 0:
		return []OwnershipEffect{QueryAttempts{shard, joined}}
	}
	return nil
}

// joinedSince returns the routers that are live under a new incarnation since the previous view.
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

// acquireDelayFor returns the time that a new owner of the shard waits before it grants.
func acquireDelayFor(before, view *View, shard string) hoist.Millis {
	if before == nil {
		return acquireDelay
	}
	name, ok := before.owners[shard]
	if !ok || name == view.self.Name() {
		return acquireDelay
	}
	if _, live := view.Member(name); live {
		return liveOwnerAcquireDelay
	}
	return acquireDelay
}
