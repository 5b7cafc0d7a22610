package proof

import (
	"context"
	"syscall"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

const (
	// departureLimit is the time after which a leaving server must receive no new work (invariant I6).
	departureLimit = 3 * hoist.Second
	// readinessLag is the time until a load balancer notices that a router isn't ready.
	readinessLag = 300 * hoist.Millis(1)
	// freezeDuration exceeds the time after which a silent router counts as failed.
	freezeDuration = 6 * hoist.Second
)

// plannedRouterStop drains the router that owns the engines' shard.
func plannedRouterStop(ctx context.Context, t *testRun) {
	owner, err := t.owner(ctx, enginePool)
	if !t.checkStep(err, "find the owner") {
		return
	}
	x := t.startTraffic(ctx, 7*hoist.Second)
	t.wait(2 * hoist.Second)
	drainStart := t.clock.Now()
	go func() {
		t.wait(readinessLag)
		x.setTargets(t.otherRouters(owner)...)
	}()
	t.checkStep(owner.drain(), "drain")
	t.figure("drain_ms", t.clock.Now()-drainStart)
	records := x.wait()
	// A request that reaches the router after the signal is refused as not run, so its caller can send it to another router.
	// Every request that the router reports as not run is excused, including those that started before the signal.
	arrivedLate := func(r record) bool {
		return r.router == owner && (r.startedAt >= drainStart || r.outcome == load.NotRun)
	}
	issuedLate := func(r record) bool {
		return r.plainCall && r.issuer == owner && r.startedAt >= drainStart-2*hoist.Second
	}
	t.checkComplete(records, func(r record) bool { return arrivedLate(r) || issuedLate(r) })
	for _, r := range records {
		if arrivedLate(r) && !r.plainCall {
			t.check(r.outcome == load.Complete || r.outcome == load.NotRun || r.outcome == load.Unreached, "%v", r)
		}
	}
	t.checkAtMostOnce(ctx, x, records)
	t.checkStep(t.startRouter(owner), "start the router again")
	t.checkStep(t.awaitSettled(ctx), "wait until the routers agree after the scenario")
}

// plannedEngineStop lists an engine as leaving.
func plannedEngineStop(ctx context.Context, t *testRun) {
	x := t.startTraffic(ctx, 8*hoist.Second)
	t.wait(2 * hoist.Second)
	e := t.engines[0]
	t.check(e.requestsAfter(0) > 0, "%s received no request before it was listed as leaving", e.name)
	t.checkStep(t.setLeaving(ctx, e.name, true), "list the engine as leaving")
	leavingAt := t.clock.Now()
	records := x.wait()
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
	n := e.requestsAfter(leavingAt + departureLimit)
	t.check(n == 0, "%s received %d requests more than %d ms after it was listed as leaving", e.name, n, departureLimit)
	t.figure("starts_after_leave", e.requestsAfter(leavingAt))
	t.checkStep(t.setLeaving(ctx, e.name, false), "list the engine as live")
}

// routerCrash kills the router that owns the engines' shard.
func routerCrash(ctx context.Context, t *testRun) {
	owner, err := t.owner(ctx, enginePool)
	if !t.checkStep(err, "find the owner") {
		return
	}
	x := t.startTraffic(ctx, 9*hoist.Second)
	t.wait(2 * hoist.Second)
	owner.kill()
	killedAt := t.clock.Now()
	x.setTargets(t.otherRouters(owner)...)
	t.checkStep(t.await(ctx, "new owner", func() error {
		_, err := t.owner(ctx, enginePool)
		return err
	}), "wait until the shard has a new owner")
	t.figure("owner_after_ms", t.clock.Now()-killedAt)
	records := x.wait()
	t.checkComplete(records, func(r record) bool { return r.dependsOn(owner) })
	t.checkAtMostOnce(ctx, x, records)
	t.checkStep(t.startRouter(owner), "start the router again")
	t.checkStep(t.awaitSettled(ctx), "wait until the routers agree after the scenario")
}

// routerFreeze suspends the process of the router that owns the engines' shard for several seconds.
func routerFreeze(ctx context.Context, t *testRun) {
	owner, err := t.owner(ctx, enginePool)
	if !t.checkStep(err, "find the owner") {
		return
	}
	x := t.startTraffic(ctx, 12*hoist.Second)
	t.wait(2 * hoist.Second)
	if !t.checkStep(owner.signal(syscall.SIGSTOP), "suspend the owner") {
		return
	}
	t.wait(freezeDuration)
	t.checkStep(owner.signal(syscall.SIGCONT), "resume the owner")
	records := x.wait()
	t.checkComplete(records, func(r record) bool { return r.dependsOn(owner) })
	t.checkAtMostOnce(ctx, x, records)
	t.checkStep(t.awaitSettled(ctx), "wait until the routers agree after the scenario")
}
