package quota

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// ownerlessAfter is the time without an answer after which a router counts as without an owner. It is
// longer than the quiet time of a new owner, which does not yet know the routers that ask another one.
const ownerlessAfter = 2 * LeaseDuration

// forgetAfter is the time without use after which a limit counts as inactive and is no longer reported.
const forgetAfter = 10 * hoist.Second

// HolderEvent is something that happened to the allowances of one router.
//
//sumtype:decl
type HolderEvent interface{ isHolderEvent() }

// HolderConfigured carries the limits and the number of listed routers after either has changed.
type HolderConfigured struct {
	View    *config.View
	Routers int
}

// DemandSampled carries the demand since the last sample; it comes once in ReportInterval.
type DemandSampled struct{ Demands value.List[Demand] }

// LeaseReceived is the answer of a limit's owner.
type LeaseReceived struct{ Lease value.Lease }

func (HolderConfigured) isHolderEvent() {}
func (DemandSampled) isHolderEvent()    {}
func (LeaseReceived) isHolderEvent()    {}

// HolderEffect is a consequence of a holder's decision.
//
//sumtype:decl
type HolderEffect interface{ isHolderEffect() }

// SendUsage is a message to the owner of the limit.
type SendUsage struct{ Usage value.Usage }

// SetAllowance changes what the router may use.
type SetAllowance struct {
	Key       string
	Allowance Allowance
}

func (SendUsage) isHolderEffect()    {}
func (SetAllowance) isHolderEffect() {}

// holding is the state of one limit at one router.
type holding struct {
	// asked is the time of the first report that no lease has answered, or zero.
	asked hoist.Millis
	// used is the time of the last demand.
	used      hoist.Millis
	lease     Rates
	until     hoist.Millis
	allowance Allowance
}

// Holder is the immutable state of one router's allowances.
type Holder struct {
	limits  map[string]Rates
	routers int
	active  map[string]holding
}

// Decide returns the state after the event and the effects that it causes.
func (h Holder) Decide(event HolderEvent, now hoist.Millis) (Holder, []HolderEffect) {
	switch e := event.(type) {
	case HolderConfigured:
		return h.change(e, now)
	case DemandSampled:
		return h.sample(e.Demands, now)
	case LeaseReceived:
		return h.leased(e.Lease, now)
	}
	return h, nil
}

// change takes over new limits; a lease that was granted under an old limit ends.
func (h Holder) change(e HolderConfigured, now hoist.Millis) (Holder, []HolderEffect) {
	old := h
	h.limits, h.routers = limits(e.View), e.Routers
	kept := map[string]holding{}
	var effects []HolderEffect
	for _, key := range slices.Sorted(maps.Keys(h.limits)) {
		x, ok := h.active[key]
		before := old.allowance(key, x, now)
		if h.limits[key] != old.limits[key] {
			x.until = 0
		}
		x.allowance = h.allowance(key, x, now)
		if ok {
			kept[key] = x
		}
		if x.allowance != before {
			effects = append(effects, SetAllowance{key, x.allowance})
		}
	}
	h.active = kept
	return h, effects
}

// sample reports the demand at active limits and moves to the share without an owner when no answer has come.
func (h Holder) sample(demands value.List[Demand], now hoist.Millis) (Holder, []HolderEffect) {
	h.active = maps.Clone(h.active)
	if h.active == nil {
		h.active = map[string]holding{}
	}
	latest := map[string]Demand{}
	for d := range demands.All() {
		if _, ok := h.limits[d.Key]; ok {
			latest[d.Key] = d
			x := h.active[d.Key]
			x.used = now
			h.active[d.Key] = x
		}
	}
	var effects []HolderEffect
	for _, key := range slices.Sorted(maps.Keys(h.active)) {
		x := h.active[key]
		if now-x.used > forgetAfter {
			delete(h.active, key)
			effects = append(effects, SetAllowance{key, h.allowance(key, holding{}, now)})
			continue
		}
		x.asked = cmp.Or(x.asked, now)
		effects = append(effects, SendUsage{usage(key, latest[key], now)})
		x, effects = h.allow(key, x, now, effects)
		h.active[key] = x
	}
	return h, effects
}

// leased takes over a lease unless it is late, or foreign to the limits in force.
func (h Holder) leased(l value.Lease, now hoist.Millis) (Holder, []HolderEffect) {
	x, ok := h.active[l.Key()]
	until := hoist.Millis(l.StampMs() + l.LengthMs())
	if !ok || until <= now || until <= x.until {
		return h, nil
	}
	x.asked, x.until = 0, until
	x.lease = Rates{l.Requests(), l.Tokens(), l.Concurrent()}.min(h.limits[l.Key()])
	x, effects := h.allow(l.Key(), x, now, nil)
	h.active = maps.Clone(h.active)
	h.active[l.Key()] = x
	return h, effects
}

// allow adds the effect of a changed allowance.
func (h Holder) allow(key string, x holding, now hoist.Millis, effects []HolderEffect) (holding, []HolderEffect) {
	if a := h.allowance(key, x, now); a != x.allowance {
		x.allowance = a
		effects = append(effects, SetAllowance{key, a})
	}
	return x, effects
}

// allowance returns what the router may use of the limit.
func (h Holder) allowance(key string, x holding, now hoist.Millis) Allowance {
	limit := h.limits[key]
	first := starter(limit, h.routers)
	switch {
	case now < x.until:
		return Allowance{Rates: x.lease.plus(first), Until: x.until, Fallback: first}
	case x.asked > 0 && now-x.asked >= ownerlessAfter:
		return Allowance{Fallback: limit.over(int64(h.routers))}
	default:
		return Allowance{Fallback: first}
	}
}

// starter returns the allowance of a router without a lease.
func starter(limit Rates, routers int) Rates {
	return limit.minus(limit.share(leasedPermille, 1000)).over(int64(routers))
}

// usage returns the report of a demand.
func usage(key string, d Demand, now hoist.Millis) value.Usage {
	return value.Usage{}.WithKey(key).WithRequests(d.Rates.requests).WithTokens(d.Rates.tokens).
		WithConcurrent(d.Rates.concurrent).WithRunning(d.Running * milli).WithStampMs(int64(now))
}
