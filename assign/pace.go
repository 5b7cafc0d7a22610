package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Shares of the limit of a cold server, in tenths. Two instances may own a shard during a partition, and others may reach
// neither: 4 + 4 + 2 is the whole limit.
const (
	ownerColdTenths = 4
	localColdTenths = 2
	// ownerAnyTenths is the share for every server, because one may become cold without a sign until its next entry. A smaller
	// share would send requests from warm servers that cache their prompts to others: on a day with bursts, 160 of 679
	// requests of rank 0 were late with 8, and 115 with 10.
	ownerAnyTenths = 10
)

const (
	// maxGrantBurst is the number of grants to a cold server in two regular intervals.
	maxGrantBurst = 2
	// maxGrantWindow is the longest interval between the grants of an instance to a cold server; an instance whose share is
	// less grants it nothing.
	maxGrantWindow = 10 * hoist.Second
	// maxGrantsLogged bounds the grants that are kept for one server.
	maxGrantsLogged = 4096
	// rateTolerance makes up for the rounding of a share that is a whole number.
	rateTolerance = 1e-9
)

// GrantRate limits the grants to one server: at most Count in any Window. The zero value sets no limit, and a Window without
// a Count allows nothing.
type GrantRate struct {
	Count  int
	Window hoist.Millis
	// Offset and Slot select the part of each Window, counted from the time at which the server became cold, in which the
	// instance may grant. They keep the instances from granting in the same second. Slot is zero if any time is allowed.
	Offset, Slot hoist.Millis
}

// grantRate returns the limit for a number of grants per second.
func grantRate(perSecond float64) GrantRate {
	window := hoist.Millis(math.Ceil(float64(hoist.Second) / max(perSecond, rateTolerance)))
	switch {
	case perSecond+rateTolerance >= 1:
		return GrantRate{Count: int(min(perSecond+rateTolerance, maxGrantsLogged)), Window: hoist.Second}
	case window <= maxGrantWindow:
		return GrantRate{Count: 1, Window: window}
	default:
		return GrantRate{Window: hoist.Second}
	}
}

// ColdLimits are the limits on the grants to servers that may be cold. The zero value sets none.
type ColdLimits struct {
	// Enforced is set if the deployment limits the requests to cold servers.
	Enforced bool
	// Start is the time for which a server is cold after its start.
	Start hoist.Millis
	// Cold limits the grants to each cold server, Any those to each server.
	Cold, Any GrantRate
	// logged is the number of grants to each server that are kept. It is the same for owners and others, so that a new owner
	// counts its earlier grants.
	logged int
}

// coldLimit returns the number of requests that a cold server of the service may get in any second, or zero if the
// deployment sets no limit. Without an overage, the tolerated rate itself counts.
func coldLimit(s value.ServiceSpec, overage, slack float64) float64 {
	if s.ColdRate() <= 0 || overage <= 0 && slack <= 0 {
		return 0
	}
	if overage <= 0 {
		overage = 1
	}
	return s.ColdRate()*overage + max(slack, 0)
}

// OwnerColdLimits returns the limits of the owner of a shard of the service; overage and slack are those of the deployment.
func OwnerColdLimits(s value.ServiceSpec, overage, slack float64) ColdLimits {
	limit := coldLimit(s, overage, slack)
	if limit <= 0 {
		return ColdLimits{}
	}
	atAny := grantRate(limit * ownerAnyTenths / 10)
	return ColdLimits{
		Enforced: true, Start: hoist.Millis(s.ColdStartMs()), logged: max(atAny.Count, 1),
		Cold: grantRate(limit * ownerColdTenths / 10), Any: atAny,
	}
}

// LocalColdLimits returns the limits of an instance that does not own the shard, for the time in which it reaches no owner:
// the instance at the index among all instances.
func LocalColdLimits(s value.ServiceSpec, overage, slack float64, index, instances int) ColdLimits {
	limit := coldLimit(s, overage, slack)
	if limit <= 0 {
		return ColdLimits{}
	}
	instances = max(instances, 1)
	r := grantRate(limit * localColdTenths / 10 / float64(instances))
	if r.Window > hoist.Second {
		n := hoist.Millis(instances)
		r.Offset, r.Slot = r.Window*hoist.Millis(index)/n, max(r.Window/n, 2*queuePollInterval)
	}
	kept := max(grantRate(limit*ownerAnyTenths/10).Count, 1)
	return ColdLimits{Enforced: true, Start: hoist.Millis(s.ColdStartMs()), logged: kept, Cold: r}
}

// allow reports whether the server may get one more request now.
func (l ColdLimits) allow(x server, now hoist.Millis) bool {
	switch {
	case !l.Enforced:
		return true
	case !l.Any.allow(x.grants, 0, now):
		return false
	default:
		return x.cold.remaining(l.Start, now) == 0 || l.Cold.allow(x.grants, x.cold.since, now) && l.Cold.spaced(x.grants, now) && l.Cold.inSlot(now-x.cold.since)
	}
}

// allow reports whether fewer than Count grants were made in the Window that ends now. Of a Window longer than a second, only
// the part counts in which the server was cold; instances that granted requests to the warm server would otherwise grant
// nothing for the whole cold time.
func (r GrantRate) allow(g grantLog, since, now hoist.Millis) bool {
	after := now - r.Window
	if r.Window > hoist.Second {
		after = max(after, since-1)
	}
	return r.Window == 0 || r.Count > 0 && g.fewer(r.Count, after)
}

// spaced reports whether a grant now keeps the grants evenly spaced, except for bursts of maxGrantBurst.
func (r GrantRate) spaced(g grantLog, now hoist.Millis) bool {
	if r.Count <= maxGrantBurst {
		return true
	}
	n := hoist.Millis(r.Count)
	return g.fewer(maxGrantBurst, now-(maxGrantBurst*r.Window+n-1)/n)
}

// inSlot reports whether the instance may grant a server that became cold the given time ago.
func (r GrantRate) inSlot(elapsed hoist.Millis) bool {
	if r.Slot == 0 {
		return true
	}
	at := elapsed % r.Window
	return at >= r.Offset && at < r.Offset+r.Slot
}

// grantLog is an immutable list of the times of the last grants to one server, in ascending order.
type grantLog struct{ times value.List[hoist.Millis] }

// fewer reports whether fewer than n grants were made after the time.
func (g grantLog) fewer(n int, after hoist.Millis) bool {
	return g.times.Len() < n || g.times.At(g.times.Len()-n) <= after
}

// with returns a copy with one more grant that keeps at most the given number.
func (g grantLog) with(at hoist.Millis, keep int) grantLog {
	i := g.times.Len()
	for i > 0 && g.times.At(i-1) > at {
		i--
	}
	g.times = g.times.Insert(i, at)
	for g.times.Len() > keep {
		g.times = g.times.Without(0)
	}
	return g
}

// withGrant returns a copy that counts the run against the limits. A request that this state did not grant is taken as
// sent now, or at its arrival if its response has begun: an owner that takes over a shard learns of many such at once.
func (s server) withGrant(r run, l ColdLimits) server {
	if l.Enforced {
		at := r.placedAt
		if r.responded {
			at = min(at, hoist.Millis(r.work.ArrivedMs()))
		}
		s.grants = s.grants.with(at, l.logged)
	}
	return s
}

// HeldBack returns the number of queued requests that a server could take but for the limits on cold servers.
func (s State) HeldBack() int { return s.heldBack }

// isHeldBack reports whether a server could take the request but for the limits on cold servers.
func (s State) isHeldBack(w value.Work, now hoist.Millis) bool {
	if !s.coldLimits.Enforced {
		return false
	}
	for x := range s.servers.All() {
		if available(x, w, ColdLimits{}, now) {
			return true
		}
	}
	return false
}
