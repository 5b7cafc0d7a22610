package proof

import (
	"context"
	"syscall"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

const (
	// leaveLimit is the time after which a leaving server receives no new work, from invariant I6.
	leaveLimit = 3 * hoist.Second
	// readinessLag is the time after which a load balancer has noticed that a router is not ready.
	readinessLag = 300 * hoist.Millis(1)
	// freezeLength exceeds the time after which a silent router counts as failed.
	freezeLength = 6 * hoist.Second
)

// plannedStop drains the router that owns the engines' shard.
func plannedStop(ctx context.Context, t *trial) {
	victim, err := t.owner(ctx, enginePool)
	if !t.must(err, "find the owner") {
		return
	}
	x := t.traffic(ctx, 7*hoist.Second)
	t.pause(2 * hoist.Second)
	told := t.clock.Now()
	go func() {
		t.pause(readinessLag)
		x.retarget(t.without(victim)...)
	}()
	t.must(victim.drain(), "drain")
	t.figure("drain_ms", t.clock.Now()-told)
	records := x.wait()
	// A request that reaches the router after the signal is refused as not run, and its caller sends it elsewhere.
	late := func(r record) bool { return r.router == victim && (r.begun >= told || r.outcome == load.NotRun) }
	lateToken := func(r record) bool { return r.plain && r.issuer == victim && r.begun >= told-2*hoist.Second }
	t.whole(records, func(r record) bool { return late(r) || lateToken(r) })
	for _, r := range records {
		if late(r) && !r.plain {
			t.check(r.outcome == load.Complete || r.outcome == load.NotRun || r.outcome == load.Unreached, "%v", r)
		}
	}
	t.once(ctx, x, records)
	t.must(t.start(victim), "start the router again")
	t.must(t.settle(ctx), "routers agree after the scenario")
}

// plannedLeave lists an engine as leaving.
func plannedLeave(ctx context.Context, t *trial) {
	x := t.traffic(ctx, 8*hoist.Second)
	t.pause(2 * hoist.Second)
	e := t.engines[0]
	t.check(e.startsAfter(0) > 0, "%s got no work before it was to leave", e.name)
	t.must(t.mark(ctx, e.name, true), "list the engine as leaving")
	told := t.clock.Now()
	records := x.wait()
	t.whole(records, nobody)
	t.once(ctx, x, records)
	n := e.startsAfter(told + leaveLimit)
	t.check(n == 0, "%s got %d requests more than %d ms after it was listed as leaving", e.name, n, leaveLimit)
	t.figure("starts_after_leave", e.startsAfter(told))
	t.must(t.mark(ctx, e.name, false), "list the engine again")
}

// routerCrash kills the router that owns the engines' shard.
func routerCrash(ctx context.Context, t *trial) {
	victim, err := t.owner(ctx, enginePool)
	if !t.must(err, "find the owner") {
		return
	}
	x := t.traffic(ctx, 9*hoist.Second)
	t.pause(2 * hoist.Second)
	victim.kill()
	killed := t.clock.Now()
	x.retarget(t.without(victim)...)
	t.must(t.await(ctx, "new owner", func() error {
		_, err := t.owner(ctx, enginePool)
		return err
	}), "the shard gets a new owner")
	t.figure("owner_after_ms", t.clock.Now()-killed)
	records := x.wait()
	t.whole(records, func(r record) bool { return r.touches(victim) })
	t.once(ctx, x, records)
	t.must(t.start(victim), "start the router again")
	t.must(t.settle(ctx), "routers agree after the scenario")
}

// routerFreeze stops the process of the router that owns the engines' shard for several seconds.
func routerFreeze(ctx context.Context, t *trial) {
	victim, err := t.owner(ctx, enginePool)
	if !t.must(err, "find the owner") {
		return
	}
	x := t.traffic(ctx, 12*hoist.Second)
	t.pause(2 * hoist.Second)
	if !t.must(victim.signal(syscall.SIGSTOP), "freeze the owner") {
		return
	}
	t.pause(freezeLength)
	t.must(victim.signal(syscall.SIGCONT), "wake the owner")
	records := x.wait()
	t.whole(records, func(r record) bool { return r.touches(victim) })
	t.once(ctx, x, records)
	t.must(t.settle(ctx), "routers agree after the scenario")
}
