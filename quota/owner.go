package quota

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

// OwnerEvent is something that happened to the limits that one router owns.
//
//sumtype:decl
type OwnerEvent interface{ isOwnerEvent() }

// OwnerConfigured carries the limits and the number of listed routers after either has changed.
type OwnerConfigured struct {
	View    *config.View
	Routers int
}

// UsageReported is the usage report of a router for a limit that this router owns.
type UsageReported struct {
	Router string
	Usage  value.Usage
}

// OwnershipLost means that the limits of the keys have moved to another router.
type OwnershipLost struct{ Keys value.List[string] }

func (OwnerConfigured) isOwnerEvent() {}
func (UsageReported) isOwnerEvent()   {}
func (OwnershipLost) isOwnerEvent()   {}

// grant is one lease as its owner records it.
type grant struct {
	rates Rates
	until hoist.Millis
}

// claim is the state of one holder at the owner.
type claim struct {
	demand Rates
	// running counts the requests in progress, which outlive a larger lease.
	running int64
	asked   hoist.Millis
	grants  value.List[grant]
}

// outstanding returns the most that the holder may use under its leases.
func (c claim) outstanding(now hoist.Millis) (Rates, bool) {
	var most Rates
	found := false
	for g := range c.grants.All() {
		if g.until > now {
			most, found = most.max(g.rates), true
		}
	}
	return most, found
}

// with returns a copy that holds the grant too; ended grants are dropped.
func (c claim) with(g grant, now hoist.Millis) claim {
	kept := []grant{g}
	for old := range c.grants.All() {
		if old.until > now {
			kept = append(kept, old)
		}
	}
	c.grants = value.ListOf(kept...)
	return c
}

const (
	// quietTime is the time after the first report in which an owner leases nothing: the leases of an
	// earlier owner, which may notice 2 s late that it has lost the limit, end within it.
	quietTime = LeaseDuration + 2*hoist.Second
	// gapTime is the time without any report after which the limit may have had another owner meanwhile.
	// Reports come every 2 s; one that is lost costs its holder no more than a late lease.
	gapTime = 2 * ReportInterval
)

// domain is the state of one limit at its owner.
type domain struct {
	// since is the time of the first report without a gap, last that of the latest one.
	since, last hoist.Millis
	claims      map[string]claim
}

// Owner is the immutable state of the limits that one router owns.
type Owner struct {
	limits  map[string]Rates
	routers int
	domains map[string]domain
}

// Keys returns the limits that routers have asked this one for, in order.
func (o Owner) Keys() []string { return slices.Sorted(maps.Keys(o.domains)) }

// Decide returns the state after the event and the leases that it causes.
func (o Owner) Decide(event OwnerEvent, now hoist.Millis) (Owner, []value.Lease) {
	switch e := event.(type) {
	case OwnerConfigured:
		o.limits, o.routers = limits(e.View), e.Routers
		return o, nil
	case UsageReported:
		return o.ask(e, now)
	case OwnershipLost:
		o.domains = maps.Clone(o.domains)
		for key := range e.Keys.All() {
			delete(o.domains, key)
		}
		return o, nil
	}
	return o, nil
}

// ask answers a usage report with a lease.
//
// After the first report, and after a time without any, leases of another owner may be in
// force, so reports are only recorded for a time.
func (o Owner) ask(e UsageReported, now hoist.Millis) (Owner, []value.Lease) {
	limit, ok := o.limits[e.Usage.Key()]
	if !ok {
		return o, nil
	}
	d, known := o.domains[e.Usage.Key()]
	if !known || now-d.last >= gapTime {
		d.since = now
	}
	d.last = now
	d.claims = maps.Clone(d.claims)
	if d.claims == nil {
		d.claims = map[string]claim{}
	}
	for _, name := range slices.Collect(maps.Keys(d.claims)) {
		if _, held := d.claims[name].outstanding(now); !held && now-d.claims[name].asked > LeaseDuration {
			delete(d.claims, name)
		}
	}
	c := d.claims[e.Router]
	c.demand = Rates{e.Usage.Requests(), e.Usage.Tokens(), e.Usage.Concurrent()}
	c.running, c.asked = e.Usage.Running(), now
	var leases []value.Lease
	if now-d.since >= quietTime {
		d.claims[e.Router] = c
		if _, held := c.outstanding(now); !held {
			// Until the lease arrives, the router may still use its share without an owner.
			c = c.with(grant{rates: limit.over(int64(o.routers)), until: now + LeaseDuration}, now)
		}
		g := grant{rates: o.part(limit, d, e.Router, now), until: now + LeaseDuration}
		c = c.with(g, now)
		leases = append(leases, value.Lease{}.WithKey(e.Usage.Key()).WithHolder(e.Router).WithRequests(g.rates.requests).
			WithTokens(g.rates.tokens).WithConcurrent(g.rates.concurrent).WithLengthMs(int64(LeaseDuration)).WithStampMs(e.Usage.StampMs()))
	}
	d.claims[e.Router] = c
	o.domains = maps.Clone(o.domains)
	if o.domains == nil {
		o.domains = map[string]domain{}
	}
	o.domains[e.Usage.Key()] = d
	return o, leases
}

// part returns the rates that the holder gets: its share by demand of what is leased, as far as other holders leave it.
//
// The first router to ask does not get everything: twice its demand, or an equal share, leaves
// room for the others, who would otherwise wait until its lease ends.
func (o Owner) part(limit Rates, d domain, holder string, now hoist.Millis) Rates {
	pool := limit.share(leasedPermille, 1000)
	var demand, others Rates
	for name, c := range d.claims {
		demand = demand.plus(c.demand)
		if name == holder {
			continue
		}
		held, ok := c.outstanding(now)
		if !ok {
			// Without an answer the router uses its share of the limit.
			held = limit.over(int64(o.routers))
		}
		held.concurrent = max(held.concurrent, c.running)
		others = others.plus(held)
	}
	own := d.claims[holder].demand
	want := Rates{
		portion(pool.requests, own.requests, demand.requests),
		portion(pool.tokens, own.tokens, demand.tokens),
		portion(pool.concurrent, own.concurrent, demand.concurrent),
	}
	most := own.plus(own).max(pool.over(int64(o.routers)))
	return want.min(most).min(pool.minus(others))
}
