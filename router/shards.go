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

// shardRunner is the running updater of one shard.
type shardRunner struct {
	*shard.Updater
	stop context.CancelFunc
	// done is closed when the updater is stopped.
	done <-chan struct{}
	// controller is set for engine shards that this router owns.
	controller *engineController
	// stopController stops the controller when the shard is released.
	stopController context.CancelFunc
	// owned is false after the shard was released; the updater then only tracks the attempts still in progress.
	owned atomic.Bool
}

// updaters is an immutable map from shard key to running updater.
type updaters map[string]*shardRunner

// syncShards updates the running shards after the membership view or the configuration has changed.
func (d *dispatcher) syncShards(old, view *member.View) {
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
			d.configureShard(u, cfg, pool, s)
		}
		if l := (*d.local.Load())[s.Key]; l != nil {
			l.Post(d.fallbackEvent(cfg, pool, s, view))
		}
	}
	d.queryMovedShards(old, view)
}

// configureShard updates one owned shard and starts its engine controller if it needs one.
func (d *dispatcher) configureShard(u *shardRunner, cfg *config.View, pool value.Pool, s member.Shard) {
	u.Post(configuredEvent(cfg, pool, s))
	if u.controller == nil && u.owned.Load() && pool.Kind() == value.PoolKindEngine {
		ctx, cancel := context.WithCancel(d.context)
		u.stopController = cancel
		u.controller = newEngineController(d.Router, u)
		d.spawn(func() { u.controller.run(ctx) })
	}
	if u.controller != nil {
		share := order.ShareOf(d.fleet.instances.Load().Instances(), s.Servers)
		u.controller.configure(order.Configured{View: cfg, Pool: pool, Instances: s.Servers, Share: share})
	}
}

// enterPhase moves a shard to the next phase of ownership.
func (d *dispatcher) enterPhase(x member.EnterPhase, view *member.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	u := (*d.owned.Load())[x.Shard]
	switch x.Phase {
	case member.PhaseAcquiring:
		if u == nil {
			u = d.startUpdater(x.Shard, d.selfDispatcher())
			d.setOwned(x.Shard, u)
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
			d.releaseShard(u)
		}
	case member.PhaseNone:
		// The updater continues to run until the attempts that it granted have ended.
		if u != nil && isIdle(u) {
			u.stop()
			d.setOwned(x.Shard, nil)
		}
	}
}

// isIdle reports whether no request is queued or running in the shard of the updater.
func isIdle(u *shardRunner) bool {
	s := u.State()
	for x := range s.Table().Servers().All() {
		if x.Running().Len() > 0 {
			return false
		}
	}
	return s.Queue().Len() == 0
}

// setOwned publishes a copy of the owned map with one entry changed; nil removes it.
func (d *dispatcher) setOwned(key string, u *shardRunner) {
	next := maps.Clone(*d.owned.Load())
	if u == nil {
		delete(next, key)
	} else {
		next[key] = u
	}
	d.owned.Store(&next)
}

// acquire makes this router the owner of the shard.
func (d *dispatcher) acquire(u *shardRunner, key string, view *member.View) {
	u.owned.Store(true)
	u.Post(sched.ShardAcquired{})
	d.log.Write(event.ShardOwned, logrus.Fields{"shard": key})
	cfg := d.config.view()
	if cfg == nil {
		return
	}
	for _, s := range view.Shards() {
		if pool, ok := cfg.Pool(s.Pool); ok && s.Key == key {
			d.configureShard(u, cfg, pool, s)
		}
	}
}

// serverLeaving informs every shard that a backend server is leaving.
func (d *dispatcher) serverLeaving(server string) {
	for _, us := range []updaters{*d.owned.Load(), *d.local.Load()} {
		for _, u := range us {
			u.Post(sched.ServerLeaving{Server: server})
		}
	}
}

// configuredEvent returns the event that updates the configuration and the servers of a shard.
func configuredEvent(cfg *config.View, pool value.Pool, s member.Shard) sched.Configured {
	return sched.Configured{View: cfg, Pool: pool, Instances: s.Servers}
}

// startUpdater starts the updater of a shard.
func (d *dispatcher) startUpdater(key string, from gate.Dispatcher) *shardRunner {
	ctx, cancel := context.WithCancel(d.context)
	u := &shardRunner{Updater: shard.New(key, d.clock, d.deliverTo(from)), stop: cancel, done: ctx.Done()}
	d.spawn(func() { u.Run(ctx) })
	return u
}

// releaseShard ends the ownership and tells the gateways of queued requests to send their placement requests to the
// new owner.
func (d *dispatcher) releaseShard(u *shardRunner) {
	u.owned.Store(false)
	if u.controller != nil {
		u.stopController()
		u.controller = nil
	}
	d.log.Write(event.ShardReleased, logrus.Fields{"shard": u.State().Shard()})
	deliver := d.deliverTo(d.selfDispatcher())
	for w := range u.State().Queue().All() {
		a := w.Ask().Attempt()
		u.Post(sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(a).WithShard(w.Ask().Shard())})
		deliver(value.Refusal{}.WithAttempt(a).WithReason(value.RefusalReasonMoved))
	}
}

// hasQueued reports whether requests are queued in the shards of this router.
func (d *dispatcher) hasQueued() bool {
	for _, u := range *d.owned.Load() {
		if u.State().Queue().Len() > 0 {
			return true
		}
	}
	return false
}

// states returns the current states of the shards that this router owns, ordered by key. Shards that were released
// are left out although their updaters may still run, because the new owner reports them.
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
