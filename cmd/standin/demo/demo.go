// Package demo starts a small fleet on loopback, sends a mixed load through it and checks every response.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

const (
	// demoTimeout leaves time to stop the processes within the stated limit of 60 s for the demo.
	demoTimeout = 55 * time.Second
	// loadDuration is the time during which requests are sent.
	loadDuration = 20 * hoist.Second
	// loadRate is the number of requests per second; it is below the capacity of the engines.
	loadRate = 60
	// publishAt and leaveAt are the times of the operators' actions after the start of the load; the leave is later by the
	// time that the publication takes. drainDelay is the delay from the leave to the drain.
	publishAt  = 4 * hoist.Second
	leaveAt    = 5 * hoist.Second
	drainDelay = 4 * hoist.Second
	// maxInForceDelay bounds the time from the publication of a configuration until it is in force on all routers.
	maxInForceDelay = 5 * hoist.Second
	// newGeneration is the generation that the demo publishes during the load.
	newGeneration = 2
)

// Run runs the demo; program is the path of the stand-in program, which it starts for each stand-in.
func Run(ctx context.Context, w io.Writer, program, routerProgram string, clock hoist.Clock) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	f, err := startFleet(ctx, program, routerProgram, clock)
	if f != nil {
		defer func() {
			f.stop(err != nil)
			if err != nil {
				_, _ = fmt.Fprintf(w, "# logs are in %s\n", f.dir)
			}
		}()
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "# started %d routers, %d engines, 1 plain service\n", routers, engines)
	l := load.New(load.Settings{Model: model, Rate: loadRate, Duration: loadDuration, Seed: 1, Callers: callers},
		clock, f.targets())
	done := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(done)
	}()
	operateErr := f.operate(ctx, w, l)
	<-done
	l.Tally().Print(w)
	return lo.CoalesceOrEmpty(operateErr, f.checkResults(ctx, w, l))
}

// targets returns the base URLs of the routers.
func (f *fleet) targets() []string {
	return lo.Map(f.routers, func(r router, _ int) string { return "http://" + r.callers })
}

// operate performs the operators' actions during the load: it publishes a configuration, lets an engine leave and drains
// a router.
func (f *fleet) operate(ctx context.Context, w io.Writer, l *load.Generator) error {
	<-f.clock.After(publishAt)
	if err := f.publishConfiguration(ctx, w); err != nil {
		return err
	}
	<-f.clock.After(leaveAt - publishAt)
	if err := f.markLeaving(ctx, "engine-1"); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w, "# engine-1 leaves through the instance list")
	<-f.clock.After(drainDelay)
	last := f.routers[len(f.routers)-1]
	l.SetTargets(f.targets()[:len(f.routers)-1])
	startedAt := f.clock.Now()
	if err := last.drain(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "router_drain %d ms\n", f.clock.Now()-startedAt)
	return f.removeInstance(ctx, last.name)
}

// publishConfiguration publishes a configuration and waits until it is in force on all routers.
func (f *fleet) publishConfiguration(ctx context.Context, w io.Writer) error {
	startedAt := f.clock.Now()
	if err := f.control(ctx, "PUT", "http://"+f.platform+"/publish/hoist", []byte(snapshotTOML(newGeneration))); err != nil {
		return err
	}
	for _, r := range f.routers {
		if err := f.awaitReady(ctx, r.name, func() error {
			g, err := f.generationInForce(ctx, r)
			if err == nil && g < newGeneration {
				return eris.Errorf("%s has generation %d in force", r.name, g)
			}
			return err
		}); err != nil {
			return err
		}
	}
	took := f.clock.Now() - startedAt
	_, _ = fmt.Fprintf(w, "configuration_in_force %d ms\n", took)
	if took > maxInForceDelay {
		return eris.Errorf("configuration was in force after %d ms, the limit is %d ms", took, maxInForceDelay)
	}
	return nil
}

// checkResults returns an error if a response was wrong, truncated or missing, a class was not served, or a call ran twice.
func (f *fleet) checkResults(ctx context.Context, w io.Writer, l *load.Generator) error {
	runs, err := f.executions(ctx)
	if err != nil {
		return err
	}
	callsRunTwice := 0
	for _, x := range runs {
		if x.GetRuns() > 1 {
			callsRunTwice++
		}
	}
	_, _ = fmt.Fprintf(w, "calls_sent_twice %d calls\ncalls_run_twice %d calls\n", l.RepeatedCalls(), callsRunTwice)
	t := l.Tally()
	names := lo.Map(callers, func(c load.Caller, _ int) string { return c.Class })
	badResponses := t.Count(load.Wrong) + t.Count(load.Truncated) + t.Count(load.Unreached)
	switch {
	case badResponses > 0:
		return eris.Errorf("%d responses were wrong, truncated or missing", badResponses)
	case callsRunTwice > 0:
		return eris.Errorf("%d calls ran twice", callsRunTwice)
	case !t.Served(names...):
		return eris.Errorf("not every class of %v was served", slices.Sorted(slices.Values(names)))
	default:
		return nil
	}
}
