// Package proof runs real router processes against stand-ins and checks what must hold while parts of them fail.
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
	// runTimeout bounds all scenarios together.
	runTimeout = 6 * time.Minute
)

// scenario is one run of failures.
type scenario struct {
	name string
	// split scenarios need forwarders between the routers.
	split bool
	run   func(ctx context.Context, t *trial)
}

// scenarios are played in this order.
var scenarios = []scenario{
	{"stop", false, plannedStop},
	{"leave", false, plannedLeave},
	{"kill", false, routerCrash},
	{"freeze", false, routerFreeze},
	{"engines", false, engineFailures},
	{"poison", false, poisonedContent},
	{"frames", false, strayFrames},
	{"publish", false, publishing},
	{"outage", false, platformOutage},
	{"rivals", false, rivalOperators},
	{"partition", true, partition},
	{"oneway", true, oneWayPartition},
}

// standard is the fleet of the scenarios.
var standard = shape{
	routers: routers, engines: engines, datacentres: datacentres, slots: engineSlots,
	speed: llmsrv.Speed{TokenMs: 10, PromptTokensPerMs: 8},
}

// Options of a run.
type Options struct {
	// Program is the path of the router program.
	Program string
	// Rounds is the number of times that the scenarios are played.
	Rounds int
	// Only names the scenarios that are played; empty means all.
	Only []string
}

// Run plays the scenarios and prints one line for each; it returns the number of violations.
func Run(ctx context.Context, w io.Writer, o Options) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(max(1, o.Rounds))*runTimeout)
	defer cancel()
	total := 0
	for range max(1, o.Rounds) {
		for _, split := range []bool{false, true} {
			n, err := o.play(ctx, w, split)
			total += n
			if err != nil {
				return total, err
			}
		}
	}
	return total, nil
}

// play plays the scenarios of one kind on a fleet of their own.
func (o Options) play(ctx context.Context, w io.Writer, split bool) (violations int, err error) {
	s := standard
	s.tunnels = split
	var f *fleet
	offsets := map[string]int64{}
	for _, x := range scenarios {
		if x.split != split || !o.chosen(x.name) {
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
		violations += f.trial(ctx, w, x, offsets)
		if ctx.Err() != nil {
			return violations, eris.Wrap(ctx.Err(), "scenarios")
		}
	}
	return violations, nil
}

// chosen reports whether the scenario is to be played.
func (o Options) chosen(name string) bool {
	for _, n := range o.Only {
		if n == name {
			return true
		}
	}
	return len(o.Only) == 0
}

// trial plays one scenario and returns its violations.
func (f *fleet) trial(ctx context.Context, w io.Writer, x scenario, offsets map[string]int64) int {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	t := &trial{fleet: f, name: x.name}
	begun := f.clock.Now()
	if t.must(f.settle(ctx), "routers agree before the scenario") {
		watched, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			t.watch(watched)
		}()
		x.run(ctx, t)
		stop()
		<-ended
	}
	t.check(ctx.Err() == nil, "scenario ran out of time")
	t.audit(offsets)
	t.figure("elapsed_ms", f.clock.Now()-begun)
	t.write(w)
	return t.violations
}
