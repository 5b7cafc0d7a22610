package proof

import (
	"context"
	"fmt"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
	"chicoryhoist.example/hoist/cmd/standin/message"
)

const (
	// poisonSends is the number of times that a crash-inducing request is sent, from section 1.4 of the design page.
	poisonSends = 20
	// poisonCrashes is the number of engines that it may crash in the whole fleet.
	poisonCrashes = 2
	// poison is the content that crashes an engine.
	poison = "POISON"
)

// crash returns the fault that crashes a stand-in at once, or when content holds the text.
func crash(text string, down hoist.Millis) *message.Fault {
	c := &message.Crash{}
	c.SetText(text)
	c.SetMs(int64(down))
	m := &message.Fault{}
	m.SetCrash(c)
	return m
}

// clear returns the command that ends every fault.
func clear() *message.Fault {
	m := &message.Fault{}
	m.SetClear(&message.Clear{})
	return m
}

// cut returns the fault that cuts off one answer.
func cut(after int32) *message.Fault {
	c := &message.Cut{}
	c.SetAfter(after)
	c.SetCount(1)
	m := &message.Fault{}
	m.SetCut(c)
	return m
}

// everywhere puts a fault in force at all engines.
func (t *trial) everywhere(ctx context.Context, m *message.Fault) {
	for _, e := range t.engines {
		t.must(t.disturb(ctx, e.address, m), "disturb "+e.name)
	}
}

// crashes returns the number of engine crashes so far.
func (t *trial) crashes() int64 {
	n := int64(0)
	for _, e := range t.engines {
		n += e.Crashes()
	}
	return n
}

// engineFailures cuts answers off and crashes engines in the middle of answers.
func engineFailures(ctx context.Context, t *trial) {
	x := t.traffic(ctx, 8*hoist.Second)
	t.pause(1500)
	t.everywhere(ctx, cut(10))
	t.pause(2 * hoist.Second)
	before := t.crashes()
	for _, e := range []*server{t.engines[1], t.engines[2]} {
		e.Crash(1500)
		t.pause(1500)
	}
	records := x.wait()
	t.check(t.crashes() == before+2, "%d engines crashed instead of 2", t.crashes()-before)
	t.whole(records, nobody)
	t.once(ctx, x, records)
	t.everywhere(ctx, clear())
}

// poisonedContent sends a request that crashes each engine which runs it, one send after the other.
func poisonedContent(ctx context.Context, t *trial) {
	t.everywhere(ctx, crash(poison, 1500))
	x := t.traffic(ctx, 10*hoist.Second)
	t.pause(hoist.Second)
	before := t.crashes()
	text := fmt.Sprintf("%s of %s at %d", poison, t.name, t.clock.Now())
	for i := range poisonSends {
		r := t.routers[i%len(t.routers)]
		o, note := x.complete(ctx, r, text)
		t.check(o == load.NotRun || o == load.Unknown || o == load.Truncated, "crash-inducing request through %s: %s %s", r.name, o, note)
	}
	n := t.crashes() - before
	t.check(n >= 1, "the request crashed no engine")
	t.check(n <= poisonCrashes, "the request crashed %d engines", n)
	t.figure("crashes", n)
	records := x.wait()
	t.whole(records, nobody)
	t.once(ctx, x, records)
	t.everywhere(ctx, clear())
}

// strayFrames lets engines add frames of other requests and of other attempts to their answers.
func strayFrames(ctx context.Context, t *trial) {
	foreign := &message.Foreign{}
	foreign.SetCount(20)
	m := &message.Fault{}
	m.SetForeign(foreign)
	t.everywhere(ctx, m)
	for _, e := range t.engines {
		e.late.Store(true)
	}
	before := t.counter(ctx, "foreign_frames_total")
	x := t.traffic(ctx, 4*hoist.Second)
	records := x.wait()
	t.whole(records, nobody)
	t.once(ctx, x, records)
	dropped := t.counter(ctx, "foreign_frames_total") - before
	t.check(dropped > 0, "the routers dropped no foreign frame")
	t.figure("dropped", dropped)
	for _, e := range t.engines {
		e.late.Store(false)
	}
	t.everywhere(ctx, clear())
}
