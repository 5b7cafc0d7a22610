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

// quotas holds this router's share of the fleet-wide limits, and grants leases for the limits that it owns.
//
// Requests use limiter without a lock; the other fields are accessed only by the goroutine of fleet.run.
type quotas struct {
	*Router
	limiter       *quota.Limiter
	listedRouters atomic.Int32
	holder        quota.Holder
	owner         quota.Owner
	lastSample    hoist.Millis
	// configuredView and configuredRouters are the inputs of the last reconfigure.
	configuredView    *config.View
	configuredRouters int32
}

// newQuotas returns quotas without limits.
func newQuotas(r *Router) *quotas { return &quotas{Router: r, limiter: quota.NewLimiter()} }

// countRouters stores the number of routers on the instance list.
func (q *quotas) countRouters(instances value.List[value.Instance]) {
	n := int32(0)
	for i := range instances.All() {
		if i.Kind() == member.KindRouter {
			n++
		}
	}
	q.listedRouters.Store(max(n, 1))
}

// reconfigure updates the limits if the configuration or the number of routers has changed.
func (q *quotas) reconfigure() {
	view, routers := q.config.view(), max(q.listedRouters.Load(), 1)
	if view == nil || (view == q.configuredView && routers == q.configuredRouters) {
		return
	}
	q.configuredView, q.configuredRouters = view, routers
	now := q.clock.Now()
	q.limiter.Configure(view, int(routers), now)
	q.owner, _ = q.owner.Decide(quota.OwnerConfigured{View: view, Routers: int(routers)}, now)
	q.decideHolder(quota.HolderConfigured{View: view, Routers: int(routers)})
}

// sampleDemand reports the demand on the limits once per report interval.
func (q *quotas) sampleDemand() {
	q.releaseMoved()
	now := q.clock.Now()
	if now-q.lastSample < quota.ReportInterval {
		return
	}
	q.lastSample = now
	q.decideHolder(quota.DemandSampled{Demands: value.ListOf(q.limiter.Sample(now)...)})
}

// decideHolder applies an event to the state of this router as a lease holder and carries out the effects.
func (q *quotas) decideHolder(e quota.HolderEvent) {
	now := q.clock.Now()
	holder, effects := q.holder.Decide(e, now)
	q.holder = holder
	for _, x := range effects {
		switch x := x.(type) {
		case quota.SetAllowance:
			q.limiter.Apply(x, now)
		case quota.SendUsage:
			q.sendUsage(x.Usage)
		}
	}
}

// ownerOf returns the router that owns a limit; it returns an empty name if there is none.
func (q *quotas) ownerOf(key string) string {
	live := lo.FilterMap(q.fleet.view().Members(), func(m value.Member, _ int) (string, bool) {
		return m.Name(), !m.Leaving()
	})
	if len(live) == 0 {
		return ""
	}
	return member.Rank(live, key)[0]
}

// releaseMoved drops the limits that are now owned by another router, because this router does not know the leases
// that the new owner grants.
func (q *quotas) releaseMoved() {
	moved := lo.Filter(q.owner.Keys(), func(key string, _ int) bool { return q.ownerOf(key) != q.settings.Name() })
	if len(moved) > 0 {
		q.owner, _ = q.owner.Decide(quota.OwnershipLost{Keys: value.ListOf(moved...)}, q.clock.Now())
	}
}

// sendUsage sends a usage report to the owner of its limit.
func (q *quotas) sendUsage(u value.Usage) {
	owner := q.ownerOf(u.Key())
	if owner == "" {
		return
	}
	if owner == q.settings.Name() {
		q.handleUsage(owner, u)
		return
	}
	q.fleet.deferEvent(member.ItemPublished{Body: u, Recipient: owner})
}

// handleUsage handles the usage report of a router as the owner of the limit. A report that was sent to this router
// by mistake is dropped.
func (q *quotas) handleUsage(holder string, u value.Usage) {
	q.releaseMoved()
	if q.ownerOf(u.Key()) != q.settings.Name() {
		return
	}
	owner, leases := q.owner.Decide(quota.UsageReported{Router: holder, Usage: u}, q.clock.Now())
	q.owner = owner
	for _, l := range leases {
		if l.Holder() == q.settings.Name() {
			q.handleLease(l)
			continue
		}
		q.fleet.deferEvent(member.ItemPublished{Body: l, Recipient: l.Holder()})
	}
}

// handleLease applies a lease from the owner of a limit if it is granted to this router.
func (q *quotas) handleLease(l value.Lease) {
	if l.Holder() == q.settings.Name() {
		q.decideHolder(quota.LeaseReceived{Lease: l})
	}
}

// Admit implements front.Router.
func (r *Router) Admit(class config.Class, workspace value.Workspace, tokens int32) (value.Refusal, bool) {
	v := r.quotas.limiter.Admit(class.Name(), workspace.Name(), int64(tokens), r.clock.Now())
	switch v := v.(type) {
	case quota.Limited:
		return value.Refusal{}.WithReason(value.RefusalReasonLimit).WithRetryMs(int64(v.RetryAfter)), false
	case quota.Admitted:
	}
	return value.Refusal{}, true
}

// Release implements front.Router.
func (r *Router) Release(class config.Class, workspace value.Workspace, tokens int32) {
	r.quotas.limiter.Release(class.Name(), workspace.Name(), int64(tokens), r.clock.Now())
}
