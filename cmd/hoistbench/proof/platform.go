package proof

import (
	"context"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/message"
)

const (
	// inForceLimit is the time until a configuration is in force everywhere, and outageInForceLimit the same while the
	// platform is down for one data centre; both are from section 1.4 of the design page.
	inForceLimit       = 2 * hoist.Second
	outageInForceLimit = 5 * hoist.Second
	// platformDelayMs is the delay of each request to a slow platform.
	platformDelayMs = 500
)

// newestGeneration returns the highest generation in force on any router.
func (t *testRun) newestGeneration(ctx context.Context) int {
	n := 1
	for _, r := range t.routers {
		if g, err := t.inForce(ctx, r); err == nil {
			n = max(n, int(g.number))
		}
	}
	return n
}

// publishNext publishes the next generation and returns the time until it was in force on all routers.
func (t *testRun) publishNext(ctx context.Context, limit hoist.Millis) hoist.Millis {
	next := t.newestGeneration(ctx) + 1
	before := t.clock.Now()
	if !t.checkStep(t.publishConfiguration(ctx, snapshot(next, next)), "publish") {
		return 0
	}
	t.checkStep(t.await(ctx, "configuration", func() error {
		for _, r := range t.routers {
			g, err := t.inForce(ctx, r)
			if err != nil {
				return err
			}
			if int(g.number) < next {
				return eris.Errorf("%s has generation %d in force", r.name, g.number)
			}
		}
		return nil
	}), "wait until the configuration is in force")
	elapsed := t.clock.Now() - before
	t.check(elapsed < limit, "generation %d was in force after %d ms, the limit is %d ms", next, elapsed, limit)
	return elapsed
}

// publishGenerations publishes generations one after another, and then an older one, which must not come into force.
func publishGenerations(ctx context.Context, t *testRun) {
	x := t.startTraffic(ctx, 6*hoist.Second)
	slowest := hoist.Millis(0)
	for range 4 {
		slowest = max(slowest, t.publishNext(ctx, inForceLimit))
	}
	t.figure("in_force_ms", slowest)
	n := t.newestGeneration(ctx)
	t.checkStep(t.publishConfiguration(ctx, snapshot(n-2, n-2)), "publish an older generation")
	t.wait(hoist.Second)
	t.check(t.newestGeneration(ctx) == n, "an older generation replaced generation %d", n)
	t.checkStep(t.publishConfiguration(ctx, snapshot(n, n)), "publish the newest generation again")
	records := x.wait()
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
}

// platformOutage takes the platform down for one data centre, and then makes it slow, stale and down for all.
func platformOutage(ctx context.Context, t *testRun) {
	x := t.startTraffic(ctx, 16*hoist.Second)
	t.platforms[0].Crash(9 * hoist.Second)
	t.wait(500)
	t.figure("in_force_ms", t.publishNext(ctx, outageInForceLimit))
	// The router starts in the data centre whose platform is down.
	r := t.routers[0]
	x.setTargets(t.otherRouters(r)...)
	t.wait(readinessLag)
	drainStart := t.clock.Now()
	t.checkStep(r.drain(), "drain")
	t.checkStep(t.startRouter(r), "start a router while its platform is down")
	n := t.newestGeneration(ctx)
	t.checkStep(t.await(ctx, r.name, func() error {
		g, err := t.inForce(ctx, r)
		if err == nil && int(g.number) < n {
			err = eris.Errorf("%s has generation %d in force", r.name, g.number)
		}
		return err
	}), "wait until the router that starts has the configuration from its peers")
	s, err := t.routerStatus(ctx, r)
	t.check(err == nil && s.GetPlatformAgeMs() < 0, "the platform responded to the router that started")
	t.figure("started_ms", t.clock.Now()-drainStart)
	t.injectPlatformFaults(ctx)
	records := x.wait()
	t.checkComplete(records, func(x record) bool { return x.plainCall && x.issuer == r })
	t.checkAtMostOnce(ctx, x, records)
	t.checkStep(t.awaitSettled(ctx), "wait until the routers agree after the scenario")
}

// injectPlatformFaults makes the platform slow, then stale, then down for all data centres.
func (t *testRun) injectPlatformFaults(ctx context.Context) {
	slow := &message.Slow{}
	slow.SetFactor(platformDelayMs)
	slow.SetMs(2000)
	stale := &message.Stale{}
	stale.SetMs(2000)
	down := &message.Down{}
	down.SetMs(2000)
	faults := []*message.Fault{{}, {}, {}}
	faults[0].SetSlow(slow)
	faults[1].SetStale(stale)
	faults[2].SetDown(down)
	for _, m := range faults {
		t.checkStep(t.injectFault(ctx, t.operator.address, m), "inject fault at the platform")
		t.wait(2 * hoist.Second)
	}
}

// concurrentOperators publishes two contents of one generation, while one data centre can't reach the platform.
func concurrentOperators(ctx context.Context, t *testRun) {
	x := t.startTraffic(ctx, 5*hoist.Second)
	next := t.newestGeneration(ctx) + 1
	t.platforms[0].Crash(1500)
	t.wait(200)
	t.checkStep(t.publishConfiguration(ctx, snapshot(next, 1)), "publish")
	t.wait(100)
	t.checkStep(t.publishConfiguration(ctx, snapshot(next, 2)), "publish the same generation again")
	t.checkStep(t.await(ctx, "configuration", func() error {
		first, err := t.inForce(ctx, t.routers[0])
		if err != nil {
			return err
		}
		for _, r := range t.routers {
			g, err := t.inForce(ctx, r)
			if err != nil {
				return err
			}
			if int(g.number) != next || g != first {
				return eris.Errorf("%s has %v in force, %s has %v", r.name, g, t.routers[0].name, first)
			}
		}
		return nil
	}), "wait until the same content is in force everywhere")
	records := x.wait()
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
}
