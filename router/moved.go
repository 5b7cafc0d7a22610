package router

import (
	"errors"
	"maps"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// shunTime is the time for which a router gets no asks after its stream broke or it refused as former owner;
// membership follows within about two seconds, and the local queue serves until then.
const shunTime = hoist.Second

// errNoShard reports a shard that the current view does not hold.
var errNoShard = errors.New("unknown shard")

// shun stops asks to a router that cannot be reached or no longer owns its shards, until membership has followed.
func (d *dispatcher) shun(owner value.Member) {
	d.shunned.Store(owner.Name(), d.clock.Now()+shunTime)
}

// isShunned reports whether asks to the router are useless for now.
func (d *dispatcher) isShunned(owner value.Member) bool {
	until, ok := d.shunned.Load(owner.Name())
	if !ok {
		return false
	}
	if d.clock.Now() < until.(hoist.Millis) {
		return true
	}
	d.shunned.Delete(owner.Name())
	return false
}

// localRoute returns the route to the queues that this router runs when a shard has no owner in reach.
func (d *dispatcher) localRoute() gate.Dispatcher {
	r := d.selfRoute()
	r.Local = true
	return r
}

// query asks gateways for their attempts in progress on a shard that this router has taken over.
func (d *dispatcher) query(x member.QueryAttempts) {
	q := value.Query{}.WithShard(x.Shard)
	for _, m := range x.Gateways {
		if m.Name() == d.settings.Name() {
			d.gateway.Deliver(d.selfRoute(), q)
			continue
		}
		// A gateway without a stream reports by itself when its view names the new owner.
		_ = d.server.Send(m.Incarnation(), q)
	}
}

// lost frees the slots of gateways that are gone and tells requests that waited for them as owners.
func (d *dispatcher) lost(old, view *member.View) {
	for _, m := range old.Members() {
		if now, ok := view.Member(m.Name()); ok && now.Incarnation() == m.Incarnation() {
			continue
		}
		for _, u := range *d.owned.Load() {
			u.Post(sched.GatewayLost{Incarnation: m.Incarnation()})
		}
		d.gateway.DispatcherLost(remoteRoute(m))
	}
}

// share returns the event for a fallback queue, which may use this router's part of the slots only.
func (d *dispatcher) share(cfg *config.View, pool value.Pool, s member.Shard, view *member.View) sched.Configured {
	n := int32(max(len(view.Members()), 1))
	return configured(cfg, pool.WithSlots(max(pool.Slots()/n, 1)), s)
}

// rehome reports the attempts of this gateway to the new owner of each shard that has moved.
func (d *dispatcher) rehome(old, view *member.View) {
	for _, s := range view.Shards() {
		before, had := old.Owner(s.Key)
		now, ok := view.Owner(s.Key)
		if !ok || !had || before.Name() == now.Name() && before.Incarnation() == now.Incarnation() {
			continue
		}
		route := remoteRoute(now)
		if now.Name() == d.settings.Name() {
			route = d.selfRoute()
		}
		d.gateway.Deliver(route, value.Query{}.WithShard(s.Key))
	}
}

// fallback returns the local queue of a shard whose owner cannot be reached.
func (d *dispatcher) fallback(key string) (*running, error) {
	if u := (*d.local.Load())[key]; u != nil {
		return u, nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if u := (*d.local.Load())[key]; u != nil {
		return u, nil
	}
	view, cfg := d.fleet.view(), d.config.view()
	for _, s := range view.Shards() {
		if pool, ok := cfg.Pool(s.Pool); ok && s.Key == key {
			d.log.Write(event.OwnerUnreachable, logrus.Fields{"shard": key})
			u := d.start(key, d.localRoute())
			u.Post(d.share(cfg, pool, s, view))
			next := maps.Clone(*d.local.Load())
			next[key] = u
			d.local.Store(&next)
			return u, nil
		}
	}
	return nil, errNoShard
}
