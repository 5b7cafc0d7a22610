package quota

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// ownerTimeout is the time without a lease after which a router assumes that it has no owner. It is
// longer than the takeover delay of a new owner, which does not yet know the routers that ask another owner.
const ownerTimeout = 2 * LeaseDuration

// inactiveTimeout is the time without use after which a limit is inactive and no longer reported.
const inactiveTimeout = 10 * hoist.Second

// HolderEvent is an input of Holder.Decide.
//
//sumtype:decl
type HolderEvent interface{ isHolderEvent() }

// HolderConfigured carries the limits and the number of listed routers after a change of either.
type HolderConfigured struct {
	View    *config.View
	Routers int
}

// DemandSampled carries the demand since the last sample; it comes once per ReportInterval.
type DemandSampled struct{ Demands value.List[Demand] }

// LeaseReceived carries a lease from the limit's owner.
type LeaseReceived struct{ Lease value.Lease }

func (HolderConfigured) isHolderEvent() {}
func (DemandSampled) isHolderEvent()    {}
func (LeaseReceived) isHolderEvent()    {}

// HolderEffect is an output of Holder.Decide.
//
//sumtype:decl
type HolderEffect interface{ isHolderEffect() }

// SendUsage sends a usage report to the owner of the limit.
type SendUsage struct{ Usage value.Usage }

// SetAllowance changes what the router may use of a limit.
type SetAllowance struct {
	Key       string
	Allowance Allowance
}

func (SendUsage) isHolderEffect()    {}
func (SetAllowance) isHolderEffect() {}

// holderState is the state of one limit at a router that may hold a lease of it.
type holderState struct {
	// unansweredSince is the time of the first report that no lease has answered, or zero.
	unansweredSince hoist.Millis
	// lastUse is the time of the last demand.
	lastUse    hoist.Millis
	lease      Rates
	leaseUntil hoist.Millis
	allowance  Allowance
}

// Holder is the immutable state of one router's allowances.
type Holder struct {
	limits  map[string]Rates
	routers int
	active  map[string]holderState
}

// Decide returns the state after the event and its effects.
func (h Holder) Decide(event HolderEvent, now hoist.Millis) (Holder, []HolderEffect) {
	switch e := event.(type) {
	case HolderConfigured:
		return h.configure(e, now)
	case DemandSampled:
		return h.reportDemand(e.Demands, now)
	case LeaseReceived:
		return h.acceptLease(e.Lease, now)
	}
	return h, nil
}

// configure applies new limits; a lease that was granted under an old limit ends.
func (h Holder) configure(e HolderConfigured, now hoist.Millis) (Holder, []HolderEffect) {
	previous := h
	h.limits, h.routers = limits(e.View), e.Routers
	active := map[string]holderState{}
	var effects []HolderEffect
	for _, key := range slices.Sorted(maps.Keys(h.limits)) {
		state, ok := h.active[key]
		oldAllowance := previous.allowance(key, state, now)
		if h.limits[key] != previous.limits[key] {
			state.leaseUntil = 0
		}
		state.allowance = h.allowance(key, state, now)
		if ok {
			active[key] = state
		}
		if state.allowance != oldAllowance {
			effects = append(effects, SetAllowance{key, state.allowance})
		}
	}
	h.active = active
	return h, effects
}

// reportDemand reports the demand at active limits. Without a lease for ownerTimeout it falls back to an equal share
// of the limit.
func (h Holder) reportDemand(demands value.List[Demand], now hoist.Millis) (Holder, []HolderEffect) {
	h.active = maps.Clone(h.active)
	if h.active == nil {
		h.active = map[string]holderState{}
	}
	latest := map[string]Demand{}
	for d := range demands.All() {
		if _, ok := h.limits[d.Key]; ok {
			latest[d.Key] = d
			state := h.active[d.Key]
			state.lastUse = now
			h.active[d.Key] = state
		}
	}
	var effects []HolderEffect
	for _, key := range slices.Sorted(maps.Keys(h.active)) {
		state := h.active[key]
		if now-state.lastUse > inactiveTimeout {
			delete(h.active, key)
			effects = append(effects, SetAllowance{key, h.allowance(key, holderState{}, now)})
			continue
		}
		state.unansweredSince = cmp.Or(state.unansweredSince, now)
		effects = append(effects, SendUsage{usageReport(key, latest[key], now)})
		state, effects = h.updateAllowance(key, state, now, effects)
		h.active[key] = state
	}
	return h, effects
}

// acceptLease applies a lease unless it has expired, is older than the present one, or belongs to an inactive limit.
func (h Holder) acceptLease(l value.Lease, now hoist.Millis) (Holder, []HolderEffect) {
	state, ok := h.active[l.Key()]
	until := hoist.Millis(l.StampMs() + l.LengthMs())
	if !ok || until <= now || until <= state.leaseUntil {
		return h, nil
	}
	state.unansweredSince, state.leaseUntil = 0, until
	state.lease = Rates{l.Requests(), l.Tokens(), l.Concurrent()}.min(h.limits[l.Key()])
	state, effects := h.updateAllowance(l.Key(), state, now, nil)
	h.active = maps.Clone(h.active)
	h.active[l.Key()] = state
	return h, effects
}

// updateAllowance appends an effect if the allowance has changed.
func (h Holder) updateAllowance(key string, state holderState, now hoist.Millis, effects []HolderEffect) (holderState, []HolderEffect) {
	if a := h.allowance(key, state, now); a != state.allowance {
		state.allowance = a
		effects = append(effects, SetAllowance{key, a})
	}
	return state, effects
}

// allowance returns what the router may use of the limit.
func (h Holder) allowance(key string, state holderState, now hoist.Millis) Allowance {
	limit := h.limits[key]
	unleased := unleasedShare(limit, h.routers)
	switch {
	case now < state.leaseUntil:
		return Allowance{Rates: state.lease.plus(unleased), Until: state.leaseUntil, Fallback: unleased}
	case state.unansweredSince > 0 && now-state.unansweredSince >= ownerTimeout:
		return Allowance{Fallback: limit.dividedBy(int64(h.routers))}
	default:
		return Allowance{Fallback: unleased}
	}
}

// unleasedShare returns a router's equal part of the share that is not leased.
func unleasedShare(limit Rates, routers int) Rates {
	return limit.minus(limit.fraction(leasedPermille, 1000)).dividedBy(int64(routers))
}

// usageReport returns the report of a demand.
func usageReport(key string, d Demand, now hoist.Millis) value.Usage {
	return value.Usage{}.WithKey(key).WithRequests(d.Rates.requests).WithTokens(d.Rates.tokens).
		WithConcurrent(d.Rates.concurrent).WithRunning(d.Running * milli).WithStampMs(int64(now))
}
