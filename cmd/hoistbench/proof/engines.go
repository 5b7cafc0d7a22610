package proof

import (
	"context"
	"fmt"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
	"chicoryhoist.example/hoist/cmd/standin/message"
)

const (
	// crashContentSends is the number of times that a crash-inducing request is sent, from section 1.4 of the design page.
	crashContentSends = 20
	// maxContentCrashes is the number of engines in the whole fleet that it may crash.
	maxContentCrashes = 2
	// crashText is the content that makes an engine crash.
	crashText = "POISON"
)

// crashFault returns the fault that crashes a stand-in at once, or when a request contains the text.
func crashFault(text string, downtime hoist.Millis) *message.Fault {
	c := &message.Crash{}
	c.SetText(text)
	c.SetMs(int64(downtime))
	m := &message.Fault{}
	m.SetCrash(c)
	return m
}

// clearFault returns the command that ends every fault.
func clearFault() *message.Fault {
	m := &message.Fault{}
	m.SetClear(&message.Clear{})
	return m
}

// interruptFault returns the fault that interrupts one response after a number of frames.
func interruptFault(after int32) *message.Fault {
	c := &message.Cut{}
	c.SetAfter(after)
	c.SetCount(1)
	m := &message.Fault{}
	m.SetCut(c)
	return m
}

// injectAtEngines activates a fault at all engines.
func (t *testRun) injectAtEngines(ctx context.Context, m *message.Fault) {
	for _, e := range t.engines {
		t.checkStep(t.injectFault(ctx, e.address, m), "inject fault at "+e.name)
	}
}

// crashCount returns the number of engine crashes so far.
func (t *testRun) crashCount() int64 {
	n := int64(0)
	for _, e := range t.engines {
		n += e.Crashes()
	}
	return n
}

// engineFailures interrupts responses and crashes engines while they send responses.
func engineFailures(ctx context.Context, t *testRun) {
	x := t.startTraffic(ctx, 8*hoist.Second)
	t.wait(1500)
	t.injectAtEngines(ctx, interruptFault(10))
	t.wait(2 * hoist.Second)
	before := t.crashCount()
	for _, e := range []*standin{t.engines[1], t.engines[2]} {
		e.Crash(1500)
		t.wait(1500)
	}
	records := x.wait()
	t.check(t.crashCount() == before+2, "%d engines crashed instead of 2", t.crashCount()-before)
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
	t.injectAtEngines(ctx, clearFault())
}

// crashInducingContent sends a request that crashes every engine that runs it, again after each failure.
func crashInducingContent(ctx context.Context, t *testRun) {
	t.injectAtEngines(ctx, crashFault(crashText, 1500))
	x := t.startTraffic(ctx, 10*hoist.Second)
	t.wait(hoist.Second)
	before := t.crashCount()
	text := fmt.Sprintf("%s of %s at %d", crashText, t.name, t.clock.Now())
	for i := range crashContentSends {
		r := t.routers[i%len(t.routers)]
		outcome, detail := x.sendCompletion(ctx, r, text)
		t.check(outcome == load.NotRun || outcome == load.Unknown || outcome == load.Truncated,
			"crash-inducing request through %s: %s %s", r.name, outcome, detail)
	}
	n := t.crashCount() - before
	t.check(n >= 1, "the request crashed no engine")
	t.check(n <= maxContentCrashes, "the request crashed %d engines", n)
	t.figure("crashes", n)
	records := x.wait()
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
	t.injectAtEngines(ctx, clearFault())
}

// mismatchedFrames makes engines add frames of other requests and of other attempts to their responses.
func mismatchedFrames(ctx context.Context, t *testRun) {
	mismatched := &message.Foreign{}
	mismatched.SetCount(20)
	m := &message.Fault{}
	m.SetForeign(mismatched)
	t.injectAtEngines(ctx, m)
	for _, e := range t.engines {
		e.addMismatched.Store(true)
	}
	before := t.sumCounter(ctx, "foreign_frames_total")
	x := t.startTraffic(ctx, 4*hoist.Second)
	records := x.wait()
	t.checkComplete(records, noneExcused)
	t.checkAtMostOnce(ctx, x, records)
	dropped := t.sumCounter(ctx, "foreign_frames_total") - before
	t.check(dropped > 0, "the routers dropped no mismatched frame")
	t.figure("dropped", dropped)
	for _, e := range t.engines {
		e.addMismatched.Store(false)
	}
	t.injectAtEngines(ctx, clearFault())
}
