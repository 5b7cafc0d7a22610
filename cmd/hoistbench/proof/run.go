// Package proof runs router processes against stand-ins and checks the guarantees of the system while parts of it fail.
package proof

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
)

const (
	// scenarioTimeout bounds one scenario.
	scenarioTimeout = 75 * time.Second
	// runTimeout bounds one round of all scenarios.
	runTimeout = 6 * time.Minute
)

// scenario is one kind of failure with its checks.
type scenario struct {
	name string
	// partitioned is set if the scenario needs forwarders between the routers.
	partitioned bool
	run         func(ctx context.Context, t *testRun)
}

// scenarios lists the scenarios in the order in which they run.
var scenarios = []scenario{
	{"stop", false, plannedRouterStop},
	{"leave", false, plannedEngineStop},
	{"kill", false, routerCrash},
	{"freeze", false, routerFreeze},
	{"engines", false, engineFailures},
	{"poison", false, crashInducingContent},
	{"frames", false, mismatchedFrames},
	{"publish", false, publishGenerations},
	{"outage", false, platformOutage},
	{"rivals", false, concurrentOperators},
	{"partition", true, partition},
	{"oneway", true, oneWayPartition},
}

// standardFleet describes the fleet of the scenarios.
var standardFleet = fleetSpec{
	routers: routers, engines: engines, datacentres: datacentres, slots: engineSlots,
	speed: llmsrv.Speed{TokenMs: 10, PromptTokensPerMs: 8},
}

// Options are the options of a run.
type Options struct {
	// Program is the path of the router program.
	Program string
	// Rounds is the number of times that the scenarios run.
	Rounds int
	// Only names the scenarios to run; if it is empty, all run.
	Only []string
}

// Run runs the scenarios and prints one line for each; it returns the number of violations.
func Run(ctx context.Context, w io.Writer, o Options) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(1, o.Rounds))*runTimeout)
	defer cancel()
	total := 0
	for range max(1, o.Rounds) {
		for _, partitioned := range []bool{false, true} {
			n, err := o.runGroup(ctx, w, partitioned)
			total += n
			if err != nil {
				return total, err
			}
		}
	}
	return total, nil
}

// runGroup runs the selected scenarios that need forwarders, or those that don't, on a fleet of their own.
func (o Options) runGroup(ctx context.Context, w io.Writer, partitioned bool) (violations int, err error) {
	s := standardFleet
	s.tunnels = partitioned
	var f *fleet
	offsets := map[string]int64{}
	for _, x := range scenarios {
		if x.partitioned != partitioned || !o.selected(x.name) {
			continue
		}
		if f == nil {
			f, err = newFleet(ctx, o.Program, s)
			defer func() {
				f.stop(violations > 0 || err != nil)
				if violations > 0 || err != nil {
					_, _ = fmt.Fprintf(w, "# logs are in %s\n", f.folder)
				}
			}()
			if err != nil {
				return violations, err
			}
		}
		violations += f.runScenario(ctx, w, x, offsets)
		if ctx.Err() != nil {
			return violations, eris.Wrap(ctx.Err(), "scenarios")
		}
	}
	return violations, nil
}

// selected reports whether the scenario is to run.
func (o Options) selected(name string) bool {
	for _, n := range o.Only {
		if n == name {
			return true
		}
	}
	return len(o.Only) == 0
}

// runScenario runs one scenario and returns the number of its violations.
func (f *fleet) runScenario(ctx context.Context, w io.Writer, x scenario, offsets map[string]int64) int {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	t := &testRun{fleet: f, name: x.name}
	startedAt := f.clock.Now()
	if t.checkStep(f.awaitSettled(ctx), "wait until the routers agree before the scenario") {
		watchCtx, stop := context.WithCancel(ctx)
		watchDone := make(chan struct{})
		go func() {
			defer close(watchDone)
			t.watchGenerations(watchCtx)
		}()
		x.run(ctx, t)
		stop()
		<-watchDone
	}
	t.check(ctx.Err() == nil, "the scenario exceeded its timeout")
	t.checkReports(offsets)
	t.figure("elapsed_ms", f.clock.Now()-startedAt)
	t.print(w)
	return t.violations
}
