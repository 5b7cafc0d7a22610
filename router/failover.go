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

// ownerBackoff is the time for which a router gets no placement requests after its stream broke or it rejected one as
// the former owner. The membership follows within about two seconds, and the local fallback queue serves until then.
const ownerBackoff = hoist.Second

// errUnknownShard is returned for a shard that the current membership view does not contain.
var errUnknownShard = errors.New("unknown shard")

// backOff stops placement requests to a router that is unreachable or no longer owns its shards, until the membership
// view has changed.
func (d *dispatcher) backOff(owner value.Member) {
	d.backoffUntil.Store(owner.Name(), d.clock.Now()+ownerBackoff)
}

// isBackedOff reports whether the router gets no placement requests at the moment.
func (d *dispatcher) isBackedOff(owner value.Member) bool {
	until, ok := d.backoffUntil.Load(owner.Name())
	if !ok {
		return false
	}
	if d.clock.Now() < until.(hoist.Millis) {
		return true
	}
	d.backoffUntil.Delete(owner.Name())
	return false
}

// localDispatcher returns the dispatcher of the fallback queues that this router runs while the owner of a shard is
// unreachable.
func (d *dispatcher) localDispatcher() gate.Dispatcher {
	r := d.selfDispatcher()
	r.Local = true
	return r
}

// queryGateways asks the gateways for their attempts in progress on a shard that this router has acquired.
func (d *dispatcher) queryGateways(x member.QueryAttempts) {
	q := value.Query{}.WithShard(x.Shard)
	for _, m := range x.Gateways {
		if m.Name() == d.settings.Name() {
			d.gateway.Deliver(d.selfDispatcher(), q)
			continue
		}
		// A gateway without a stream reports its attempts on its own once its view contains the new owner.
		_ = d.server.Send(m.Incarnation(), q)
	}
}

// gatewaysLost frees the slots of lost gateways and fails over the requests that were queued at them as owners.
func (d *dispatcher) gatewaysLost(old, view *member.View) {
	for _, m := range old.Members() {
		if now, ok := view.Member(m.Name()); ok && now.Incarnation() == m.Incarnation() {
			continue
		}
		for _, u := range *d.owned.Load() {
			u.Post(sched.GatewayLost{Incarnation: m.Incarnation()})
		}
		d.gateway.DispatcherLost(remoteDispatcher(m))
	}
}

// fallbackEvent returns the configuration event of a fallback queue, which may use only this router's share of the
// slots.
func (d *dispatcher) fallbackEvent(cfg *config.View, pool value.Pool, s member.Shard, view *member.View) sched.Configured {
	n := int32(max(len(view.Members()), 1))
	return configuredEvent(cfg, pool.WithSlots(max(pool.Slots()/n, 1)), s)
}

// queryMovedShards makes the gateway report its attempts to the new owner of each shard whose owner has changed.
func (d *dispatcher) queryMovedShards(old, view *member.View) {
	for _, s := range view.Shards() {
		oldOwner, hadOwner := old.Owner(s.Key)
		newOwner, ok := view.Owner(s.Key)
		if !ok || !hadOwner || oldOwner.Name() == newOwner.Name() && oldOwner.Incarnation() == newOwner.Incarnation() {
			continue
		}
		route := remoteDispatcher(newOwner)
		if newOwner.Name() == d.settings.Name() {
			route = d.selfDispatcher()
		}
		d.gateway.Deliver(route, value.Query{}.WithShard(s.Key))
	}
}

// fallbackUpdater returns the updater of the fallback queue of a shard whose owner is unreachable, and starts it if
// necessary.
func (d *dispatcher) fallbackUpdater(key string) (*shardRunner, error) {
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
			u := d.startUpdater(key, d.localDispatcher())
			u.Post(d.fallbackEvent(cfg, pool, s, view))
			next := maps.Clone(*d.local.Load())
			next[key] = u
			d.local.Store(&next)
			return u, nil
		}
	}
	return nil, errUnknownShard
}
