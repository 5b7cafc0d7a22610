package proof

import (
	"context"
	"net"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

// partitionDuration exceeds the time after which a silent router counts as failed, so that both sides choose owners.
const partitionDuration = 6 * hoist.Second

// sides returns the routers of the first data centre and those of the other ones.
func (t *testRun) sides() (isolated, others []*router) {
	for _, r := range t.routers {
		if r.datacentre == 0 {
			isolated = append(isolated, r)
		} else {
			others = append(others, r)
		}
	}
	return isolated, others
}

// peerPorts returns the ports of the routers' peer listeners.
func peerPorts(rs []*router) []string {
	var list []string
	for _, r := range rs {
		_, p, _ := net.SplitHostPort(r.advertisedAddress)
		list = append(list, p)
	}
	return list
}

// partition separates the first data centre from the others.
func partition(ctx context.Context, t *testRun) {
	t.runPartition(ctx, true)
}

// oneWayPartition refuses the connections that the first data centre opens and accepts those of the others.
func oneWayPartition(ctx context.Context, t *testRun) {
	t.runPartition(ctx, false)
}

// runPartition runs a partition between the data centres, which heals after partitionDuration.
func (t *testRun) runPartition(ctx context.Context, bothWays bool) {
	isolated, others := t.sides()
	connections := 0
	for _, r := range t.routers {
		connections += r.tunnel.connectionCount()
	}
	t.check(connections > 0, "no peer traffic goes through the forwarders")
	x := t.startTraffic(ctx, 11*hoist.Second)
	t.wait(2 * hoist.Second)
	for _, r := range isolated {
		r.tunnel.block(peerPorts(others)...)
	}
	if bothWays {
		for _, r := range others {
			r.tunnel.block(peerPorts(isolated)...)
		}
	}
	startedAt := t.clock.Now()
	t.wait(partitionDuration)
	if bothWays {
		t.checkSides(ctx, isolated, others)
	}
	for _, r := range t.routers {
		r.tunnel.unblock()
	}
	healedAt := t.clock.Now()
	t.checkStep(t.awaitSettled(ctx), "views merge after the partition")
	t.figure("merged_ms", t.clock.Now()-healedAt)
	records := x.wait()
	// A call whose token names a router on the other side can't run, because only the issuer may run it.
	t.checkComplete(records, func(r record) bool {
		return r.plainCall && r.issuer != r.router && r.startedAt >= startedAt-2*hoist.Second
	})
	for _, side := range [][]*router{isolated, others} {
		t.check(servedBy(records, side, startedAt, healedAt), "one side completed no request during the partition")
	}
	t.checkAtMostOnce(ctx, x, records)
}

// checkSides checks that each router has exactly the routers of its own side in its view.
func (t *testRun) checkSides(ctx context.Context, sides ...[]*router) {
	for _, side := range sides {
		for _, r := range side {
			s, err := t.routerStatus(ctx, r)
			t.check(err == nil && int(s.GetRouters()) == len(side),
				"%s has %d routers in its view, its side has %d", r.name, s.GetRouters(), len(side))
		}
	}
}

// servedBy reports whether one of the routers completed a request that started in the period.
func servedBy(records []record, side []*router, from, to hoist.Millis) bool {
	for _, r := range records {
		for _, member := range side {
			if r.router == member && r.startedAt >= from && r.startedAt < to && r.outcome == load.Complete {
				return true
			}
		}
	}
	return false
}
