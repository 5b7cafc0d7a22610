package quota

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// OwnerEvent is an input of Owner.Decide.
//
//sumtype:decl
type OwnerEvent interface{ isOwnerEvent() }

// OwnerConfigured carries the limits and the number of listed routers after a change of either.
type OwnerConfigured struct {
	View    *config.View
	Routers int
}

// UsageReported carries a router's usage report for a limit that this router owns.
type UsageReported struct {
	Router string
	Usage  value.Usage
}

// OwnershipLost means that the limits of the keys have moved to another owner.
type OwnershipLost struct{ Keys value.List[string] }

func (OwnerConfigured) isOwnerEvent() {}
func (UsageReported) isOwnerEvent()   {}
func (OwnershipLost) isOwnerEvent()   {}

// leaseRecord is one lease as recorded by its owner.
type leaseRecord struct {
	rates      Rates
	validUntil hoist.Millis
}

// holderRecord is the state of one holder at the owner.
type holderRecord struct {
	demand Rates
	// running counts the requests in progress, which can exceed a smaller later lease.
	running    int64
	lastReport hoist.Millis
	leases     value.List[leaseRecord]
}

// outstanding returns the highest rates that the holder may use under its leases, and whether it holds any.
func (hr holderRecord) outstanding(now hoist.Millis) (Rates, bool) {
	var highest Rates
	found := false
	for lease := range hr.leases.All() {
		if lease.validUntil > now {
			highest, found = highest.max(lease.rates), true
		}
	}
	return highest, found
}

// with returns a copy with the lease added and expired leases dropped.
func (hr holderRecord) with(lease leaseRecord, now hoist.Millis) holderRecord {
	leases := []leaseRecord{lease}
	for old := range hr.leases.All() {
		if old.validUntil > now {
			leases = append(leases, old)
		}
	}
	hr.leases = value.ListOf(leases...)
	return hr
}

const (
	// takeoverDelay is the time after the first report in which an owner grants no leases. The leases of an
	// earlier owner, which may notice 2 s late that it has lost the limit, expire within it.
	takeoverDelay = LeaseDuration + 2*hoist.Second
	// maxReportGap is the time without any report after which the limit may have had another owner in between.
	// Reports come every 2 s from each router. If only one router reports, a single lost report can make a gap of 4 s;
	// the owner then grants no leases for takeoverDelay, which is longer than a lease.
	maxReportGap = 2 * ReportInterval
)

// limitState is the state of one limit at its owner.
type limitState struct {
	// since is the time of the first report without a gap, lastReport that of the latest one.
	since, lastReport hoist.Millis
	holders           map[string]holderRecord
}

// Owner is the immutable state of the limits that one router owns.
type Owner struct {
	limits  map[string]Rates
	routers int
	states  map[string]limitState
}

// Keys returns the limits for which routers have sent usage reports to this owner, in order.
func (o Owner) Keys() []string { return slices.Sorted(maps.Keys(o.states)) }

// Decide returns the state after the event and the leases to send.
func (o Owner) Decide(event OwnerEvent, now hoist.Millis) (Owner, []value.Lease) {
	switch e := event.(type) {
	case OwnerConfigured:
		o.limits, o.routers = limits(e.View), e.Routers
		return o, nil
	case UsageReported:
		return o.answerReport(e, now)
	case OwnershipLost:
		o.states = maps.Clone(o.states)
		for key := range e.Keys.All() {
			delete(o.states, key)
		}
		return o, nil
	}
	return o, nil
}

// answerReport answers a usage report with a lease.
//
// After the first report, and after a gap without reports, leases of another owner may be valid.
// Reports are then only recorded until takeoverDelay has passed.
func (o Owner) answerReport(e UsageReported, now hoist.Millis) (Owner, []value.Lease) {
	limit, ok := o.limits[e.Usage.Key()]
	if !ok {
		return o, nil
	}
	ls, known := o.states[e.Usage.Key()]
	if !known || now-ls.lastReport >= maxReportGap {
		ls.since = now
	}
	ls.lastReport = now
	ls.holders = maps.Clone(ls.holders)
	if ls.holders == nil {
		ls.holders = map[string]holderRecord{}
	}
	for _, name := range slices.Collect(maps.Keys(ls.holders)) {
		if _, holdsLease := ls.holders[name].outstanding(now); !holdsLease && now-ls.holders[name].lastReport > LeaseDuration {
			delete(ls.holders, name)
		}
	}
	hr := ls.holders[e.Router]
	hr.demand = Rates{e.Usage.Requests(), e.Usage.Tokens(), e.Usage.Concurrent()}
	hr.running, hr.lastReport = e.Usage.Running(), now
	var leases []value.Lease
	if now-ls.since >= takeoverDelay {
		ls.holders[e.Router] = hr
		if _, holdsLease := hr.outstanding(now); !holdsLease {
			// Until the lease arrives, the router may still use its equal share of the limit.
			hr = hr.with(leaseRecord{rates: limit.dividedBy(int64(o.routers)), validUntil: now + LeaseDuration}, now)
		}
		lease := leaseRecord{rates: o.leaseRates(limit, ls, e.Router, now), validUntil: now + LeaseDuration}
		hr = hr.with(lease, now)
		leases = append(leases, value.Lease{}.WithKey(e.Usage.Key()).WithHolder(e.Router).WithRequests(lease.rates.requests).
			WithTokens(lease.rates.tokens).WithConcurrent(lease.rates.concurrent).WithLengthMs(int64(LeaseDuration)).WithStampMs(e.Usage.StampMs()))
	}
	ls.holders[e.Router] = hr
	o.states = maps.Clone(o.states)
	if o.states == nil {
		o.states = map[string]limitState{}
	}
	o.states[e.Usage.Key()] = ls
	return o, leases
}

// leaseRates returns the rates of the holder's lease: its share by demand of the leased part, as far as other holders
// leave it free.
//
// The first router to ask does not get all of it. Twice its demand, or an equal share, leaves
// capacity for the others, which would otherwise wait until its lease expires.
func (o Owner) leaseRates(limit Rates, ls limitState, holder string, now hoist.Millis) Rates {
	leasable := limit.fraction(leasedPermille, 1000)
	var demand, others Rates
	for name, hr := range ls.holders {
		demand = demand.plus(hr.demand)
		if name == holder {
			continue
		}
		inUse, ok := hr.outstanding(now)
		if !ok {
			// Without a lease the router uses its equal share of the limit.
			inUse = limit.dividedBy(int64(o.routers))
		}
		inUse.concurrent = max(inUse.concurrent, hr.running)
		others = others.plus(inUse)
	}
	ownDemand := ls.holders[holder].demand
	share := Rates{
		proportion(leasable.requests, ownDemand.requests, demand.requests),
		proportion(leasable.tokens, ownDemand.tokens, demand.tokens),
		proportion(leasable.concurrent, ownDemand.concurrent, demand.concurrent),
	}
	highest := ownDemand.plus(ownDemand).max(leasable.dividedBy(int64(o.routers)))
	return share.min(highest).min(leasable.minus(others))
}
