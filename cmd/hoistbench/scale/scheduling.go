package scale

import (
	"fmt"
	"io"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

const (
	// slotsPerServer is the number of requests that a model server runs at once.
	slotsPerServer = 16
	// scheduledRequests is the number of requests over which the cost of scheduling one is averaged.
	scheduledRequests = 20_000
	// progressReportsPerRequest is the number of progress reports for a response of 220 tokens.
	progressReportsPerRequest = 4
)

// tieredView returns a configuration with 6 tiers of one class each and one engine pool.
func tieredView() *config.View {
	snapshot := value.Snapshot{}.WithGeneration(1)
	for rank := range int32(6) {
		name := fmt.Sprintf("tier-%d", rank+1)
		snapshot = snapshot.WithTiers(snapshot.Tiers().Append(value.Tier{}.WithName(name).WithRank(rank + 1)))
		snapshot = snapshot.WithClasses(snapshot.Classes().Append(value.Class{}.WithName(name).WithTier(name).
			WithFirstTokenMs(690).WithInterTokenMs(33).WithFloorPermille(20).WithMaxWaitMs(60_000).WithBatch(rank > 3)))
	}
	snapshot = snapshot.WithModels(value.ListOf(value.Model{}.WithName("model")))
	return config.NewView(snapshot.WithPools(value.ListOf(enginePool())), 1)
}

// enginePool returns the pool of the measured shard.
func enginePool() value.Pool {
	return value.Pool{}.WithName("assistant").WithKind(value.PoolKindEngine).WithModels(value.ListOf("model")).
		WithSlots(slotsPerServer).WithLongCap(4).WithReservedSlots(2).WithTokensPerSecond(30)
}

// shardDriver drives the scheduling state of one shard with a constant load above its capacity, so that requests always wait.
type shardDriver struct {
	state       sched.State
	now         hoist.Millis
	lastRequest uint64
	running     []value.Attempt
	events      int
}

// newShardDriver returns a shard with n servers and placement requests for 5/4 of their slots.
func newShardDriver(n int) *shardDriver {
	d := &shardDriver{state: sched.New("assistant/region/0"), now: 1_000_000}
	var servers []value.Instance
	for i := range n {
		servers = append(servers, value.Instance{}.WithName(fmt.Sprintf("server-%02d", i)).WithKind("engine").
			WithAddress(fmt.Sprintf("10.0.0.%d:80", i)).WithPool("assistant").WithRegion("region").WithDatacentre("centre"))
	}
	d.decide(sched.Configured{View: tieredView(), Pool: enginePool(), Instances: value.ListOf(servers...)})
	for range n * slotsPerServer * 5 / 4 {
		d.requestPlacement()
	}
	return d
}

// decide passes an event to the shard and records the attempts that it grants.
func (d *shardDriver) decide(e sched.Event) {
	state, effects := d.state.Decide(e, d.now)
	d.state = state
	d.events++
	for _, x := range effects {
		if g, ok := x.(value.Grant); ok {
			d.running = append(d.running, g.Attempt())
		}
	}
}

// requestPlacement sends a placement request of the next tier in round-robin order.
func (d *shardDriver) requestPlacement() {
	d.lastRequest++
	ask := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(1).WithRequest(d.lastRequest).WithNumber(1)).
		WithShard("assistant/region/0").WithClass(fmt.Sprintf("tier-%d", d.lastRequest%6+1)).WithWorkspace("w").WithModel("model").
		WithPrefixes(value.ListOf(d.lastRequest%64, d.lastRequest%512, d.lastRequest)).WithFingerprint(d.lastRequest).
		WithPromptTokens(300).WithRepeatable(true).WithDatacentre("centre")
	d.decide(sched.MessageReceived{Body: ask})
}

// replaceOldest reports the progress of the oldest running request, ends it and requests placement for a new one.
func (d *shardDriver) replaceOldest() {
	d.now += 3
	if len(d.running) == 0 {
		d.requestPlacement()
		return
	}
	oldest := d.running[0]
	d.running = d.running[1:]
	for i := range int32(progressReportsPerRequest) {
		progress := value.Progress{}.WithAttempt(oldest).WithTokens(i*64 + 1).WithFirstTokenMs(80).WithInterTokenMs(30)
		d.decide(sched.MessageReceived{Body: progress})
	}
	d.decide(sched.MessageReceived{Body: value.End{}.WithAttempt(oldest).WithKind(value.EndKindFinished).WithTokens(220)})
	d.requestPlacement()
}

// measureScheduling measures the scheduler of one shard against its number of servers.
func measureScheduling(w io.Writer) {
	for _, n := range []int{12, 20, 32} {
		var d *shardDriver
		setupCost := measure(func() any {
			d = newShardDriver(n)
			return d
		})
		loadCost := measure(func() any {
			for range scheduledRequests {
				d.replaceOldest()
			}
			return d
		})
		name := fmt.Sprintf("shard.%d", n)
		report(w, name+".processor", loadCost.nanos/scheduledRequests/1000, "us/request")
		report(w, name+".memory", setupCost.heapBytes/(1<<10), "KiB")
		report(w, name+".queue", float64(d.state.Queue().Len()), "requests")
	}
}
