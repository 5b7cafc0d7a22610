package router

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/gate"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/shard"
	"chicoryhoist.example/hoist/value"
)

// running is the updater of one shard and its end.
type running struct {
	*shard.Updater
	stop context.CancelFunc
	// ended is closed when the updater is stopped.
	ended <-chan struct{}
	// backend is set for shards that this router owns.
	backend *backend
	// release ends the work of the backend when the shard moves.
	release context.CancelFunc
	// owned is false after the shard has moved; the updater then only accounts for what still runs.
	owned atomic.Bool
}

// updaters is an immutable map from shard key to updater.
type updaters map[string]*running

// sync brings the running shards up to date after the view or the configuration has changed.
func (d *dispatcher) sync(old, view *member.View) {
	cfg := d.config.view()
	if cfg == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range view.Shards() {
		pool, ok := cfg.Pool(s.Pool)
		if !ok {
			continue
		}
		if u := (*d.owned.Load())[s.Key]; u != nil {
			d.configure(u, cfg, pool, s)
		}
		if l := (*d.local.Load())[s.Key]; l != nil {
			l.Post(d.share(cfg, pool, s, view))
		}
	}
	d.rehome(old, view)
}

// configure brings one owned shard up to date.
func (d *dispatcher) configure(u *running, cfg *config.View, pool value.Pool, s member.Shard) {
	u.Post(configured(cfg, pool, s))
	if u.backend == nil && u.owned.Load() && pool.Kind() == value.PoolKindEngine {
		ctx, cancel := context.WithCancel(d.context)
		u.release = cancel
		u.backend = newBackend(d.Router, u)
		d.spawn(func() { u.backend.run(ctx) })
	}
	if u.backend != nil {
		share := order.ShareOf(d.fleet.instances.Load().Instances(), s.Servers)
		u.backend.configure(order.Configured{View: cfg, Pool: pool, Instances: s.Servers, Share: share})
	}
}

// enter moves a shard to a phase of ownership.
func (d *dispatcher) enter(x member.EnterPhase, view *member.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	u := (*d.owned.Load())[x.Shard]
	switch x.Phase {
	case member.PhaseAcquiring:
		if u == nil {
			u = d.start(x.Shard, d.selfRoute())
			d.replace(x.Shard, u)
		}
		d.acquire(u, x.Shard, view)
	case member.PhaseServing:
		if u != nil {
			u.owned.Store(true)
		}
	case member.PhaseSuspended:
		if u != nil {
			u.owned.Store(false)
		}
	case member.PhaseDraining:
		if u != nil {
			d.yield(u)
		}
	case member.PhaseNone:
		// The updater stays while attempts that it granted are in progress, to account for their ends.
		if u != nil && idle(u) {
			u.stop()
			d.replace(x.Shard, nil)
		}
	}
}

// idle reports whether no request waits or runs in the updater's shard.
func idle(u *running) bool {
	s := u.State()
	for x := range s.Table().Servers().All() {
		if x.Running().Len() > 0 {
			return false
		}
	}
	return s.Queue().Len() == 0
}

// replace publishes the map of owned updaters with one entry changed; nil removes it.
func (d *dispatcher) replace(key string, u *running) {
	next := maps.Clone(*d.owned.Load())
	if u == nil {
		delete(next, key)
	} else {
		next[key] = u
	}
	d.owned.Store(&next)
}

// acquire makes this router the owner of the updater's shard.
func (d *dispatcher) acquire(u *running, key string, view *member.View) {
	u.owned.Store(true)
	u.Post(sched.ShardAcquired{})
	d.log.Write(event.ShardOwned, logrus.Fields{"shard": key})
	cfg := d.config.view()
	if cfg == nil {
		return
	}
	for _, s := range view.Shards() {
		if pool, ok := cfg.Pool(s.Pool); ok && s.Key == key {
			d.configure(u, cfg, pool, s)
		}
	}
}

// departed tells every shard that a backend server is leaving.
func (d *dispatcher) departed(server string) {
	for _, us := range []updaters{*d.owned.Load(), *d.local.Load()} {
		for _, u := range us {
			u.Post(sched.ServerLeaving{Server: server})
		}
	}
}

// configured returns the event that brings a shard up to date.
func configured(cfg *config.View, pool value.Pool, s member.Shard) sched.Configured {
	return sched.Configured{View: cfg, Pool: pool, Instances: s.Servers}
}

// start runs an updater.
func (d *dispatcher) start(key string, from gate.Dispatcher) *running {
	ctx, cancel := context.WithCancel(d.context)
	u := &running{Updater: shard.New(key, d.clock, d.deliver(from)), stop: cancel, ended: ctx.Done()}
	d.spawn(func() { u.Run(ctx) })
	return u
}

// yield ends the ownership and tells the gateways of waiting requests to ask the new owner.
func (d *dispatcher) yield(u *running) {
	u.owned.Store(false)
	if u.backend != nil {
		u.release()
		u.backend = nil
	}
	d.log.Write(event.ShardReleased, logrus.Fields{"shard": u.State().Shard()})
	deliver := d.deliver(d.selfRoute())
	for w := range u.State().Queue().All() {
		a := w.Ask().Attempt()
		u.Post(sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(a).WithShard(w.Ask().Shard())})
		deliver(value.Refusal{}.WithAttempt(a).WithReason(value.RefusalReasonMoved))
	}
}

// busy reports whether other gateways still wait in the queues of this router.
func (d *dispatcher) busy() bool {
	for _, u := range *d.owned.Load() {
		if u.State().Queue().Len() > 0 {
			return true
		}
	}
	return false
}

// states returns the latest states of the shards that this router owns, in the order of their keys.
//
// A shard that has moved keeps its updater while attempts run, but its new owner speaks for it.
func (d *dispatcher) states() []sched.State {
	owned := *d.owned.Load()
	states := make([]sched.State, 0, len(owned))
	for _, key := range slices.Sorted(maps.Keys(owned)) {
		if u := owned[key]; u.owned.Load() {
			states = append(states, u.State())
		}
	}
	return states
}
