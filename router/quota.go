package router

import (
	"sync/atomic"

	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/quota"
	"chicoryhoist.example/hoist/value"
)

// quotas holds this router's part of the fleet-wide limits and leases those that it owns.
//
// Requests use meters without a lock; the other fields belong to the goroutine of fleet.run.
type quotas struct {
	*Router
	meters  *quota.Limiter
	routers atomic.Int32
	holder  quota.Holder
	owner   quota.Owner
	sampled hoist.Millis
	// view and listed are what the limits were last set up from.
	view   *config.View
	listed int32
}

// newQuotas returns quotas without limits.
func newQuotas(r *Router) *quotas { return &quotas{Router: r, meters: quota.NewLimiter()} }

// count takes over the number of routers on the instance list.
func (q *quotas) count(instances value.List[value.Instance]) {
	n := int32(0)
	for i := range instances.All() {
		if i.Kind() == member.KindRouter {
			n++
		}
	}
	q.routers.Store(max(n, 1))
}

// changed sets up the limits again when the configuration or the number of routers has changed.
func (q *quotas) changed() {
	view, routers := q.config.view(), max(q.routers.Load(), 1)
	if view == nil || (view == q.view && routers == q.listed) {
		return
	}
	q.view, q.listed = view, routers
	now := q.clock.Now()
	q.meters.Configure(view, int(routers), now)
	q.owner, _ = q.owner.Decide(quota.OwnerConfigured{View: view, Routers: int(routers)}, now)
	q.hold(quota.HolderConfigured{View: view, Routers: int(routers)})
}

// tick reports the demand at the limits in use once in the report interval.
func (q *quotas) tick() {
	q.disown()
	now := q.clock.Now()
	if now-q.sampled < quota.ReportInterval {
		return
	}
	q.sampled = now
	q.hold(quota.DemandSampled{Demands: value.ListOf(q.meters.Sample(now)...)})
}

// hold passes an event to this router's allowances and performs the effects.
func (q *quotas) hold(e quota.HolderEvent) {
	now := q.clock.Now()
	holder, effects := q.holder.Decide(e, now)
	q.holder = holder
	for _, x := range effects {
		switch x := x.(type) {
		case quota.SetAllowance:
			q.meters.Apply(x, now)
		case quota.SendUsage:
			q.report(x.Usage)
		}
	}
}

// ownerOf returns the router that owns a limit, empty when none is known.
func (q *quotas) ownerOf(key string) string {
	live := lo.FilterMap(q.fleet.view().Members(), func(m value.Member, _ int) (string, bool) {
		return m.Name(), !m.Leaving()
	})
	if len(live) == 0 {
		return ""
	}
	return member.Rank(live, key)[0]
}

// disown forgets the limits that have moved to another router, whose leases this one does not know.
func (q *quotas) disown() {
	moved := lo.Filter(q.owner.Keys(), func(key string, _ int) bool { return q.ownerOf(key) != q.settings.Name() })
	if len(moved) > 0 {
		q.owner, _ = q.owner.Decide(quota.OwnershipLost{Keys: value.ListOf(moved...)}, q.clock.Now())
	}
}

// report sends a usage report to the owner of its limit.
func (q *quotas) report(u value.Usage) {
	owner := q.ownerOf(u.Key())
	if owner == "" {
		return
	}
	if owner == q.settings.Name() {
		q.asked(owner, u)
		return
	}
	q.fleet.later(member.ItemPublished{Body: u, Recipient: owner})
}

// asked answers the usage report of a router; one that takes this router for the owner by mistake gets no answer.
func (q *quotas) asked(holder string, u value.Usage) {
	q.disown()
	if q.ownerOf(u.Key()) != q.settings.Name() {
		return
	}
	owner, leases := q.owner.Decide(quota.UsageReported{Router: holder, Usage: u}, q.clock.Now())
	q.owner = owner
	for _, l := range leases {
		if l.Holder() == q.settings.Name() {
			q.leased(l)
			continue
		}
		q.fleet.later(member.ItemPublished{Body: l, Recipient: l.Holder()})
	}
}

// leased takes over a lease of a limit's owner.
func (q *quotas) leased(l value.Lease) {
	if l.Holder() == q.settings.Name() {
		q.hold(quota.LeaseReceived{Lease: l})
	}
}

// Admit implements front.Router.
func (r *Router) Admit(class config.Class, workspace value.Workspace, tokens int32) (value.Refusal, bool) {
	v := r.quotas.meters.Admit(class.Name(), workspace.Name(), int64(tokens), r.clock.Now())
	switch v := v.(type) {
	case quota.Limited:
		return value.Refusal{}.WithReason(value.RefusalReasonLimit).WithRetryMs(int64(v.RetryAfter)), false
	case quota.Admitted:
	}
	return value.Refusal{}, true
}

// Release implements front.Router.
func (r *Router) Release(class config.Class, workspace value.Workspace, tokens int32) {
	r.quotas.meters.Release(class.Name(), workspace.Name(), int64(tokens), r.clock.Now())
}
