package proof

import (
	"context"
	"net"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

// cutLength exceeds the time after which a silent router counts as failed, so that both parts choose owners.
const cutLength = 6 * hoist.Second

// parts returns the routers of the first data centre and those of the others.
func (t *trial) parts() (inside, outside []*router) {
	for _, r := range t.routers {
		if r.datacentre == 0 {
			inside = append(inside, r)
		} else {
			outside = append(outside, r)
		}
	}
	return inside, outside
}

// ports returns the ports of the routers' peer listeners.
func ports(rs []*router) []string {
	var list []string
	for _, r := range rs {
		_, p, _ := net.SplitHostPort(r.advertised)
		list = append(list, p)
	}
	return list
}

// partition cuts the first data centre off from the others.
func partition(ctx context.Context, t *trial) {
	t.divide(ctx, true)
}

// oneWayPartition refuses the connections that the first data centre opens, and accepts those of the others.
func oneWayPartition(ctx context.Context, t *trial) {
	t.divide(ctx, false)
}

// divide plays a partition between the data centres.
func (t *trial) divide(ctx context.Context, both bool) {
	inside, outside := t.parts()
	forwarded := 0
	for _, r := range t.routers {
		forwarded += r.tunnel.forwarded()
	}
	t.check(forwarded > 0, "no peer traffic goes through the forwarders")
	x := t.traffic(ctx, 11*hoist.Second)
	t.pause(2 * hoist.Second)
	for _, r := range inside {
		r.tunnel.sever(ports(outside)...)
	}
	if both {
		for _, r := range outside {
			r.tunnel.sever(ports(inside)...)
		}
	}
	begun := t.clock.Now()
	t.pause(cutLength)
	if both {
		t.divided(ctx, inside, outside)
	}
	for _, r := range t.routers {
		r.tunnel.heal()
	}
	healed := t.clock.Now()
	t.must(t.settle(ctx), "views merge after the partition")
	t.figure("merged_ms", t.clock.Now()-healed)
	records := x.wait()
	// A call whose token names a router of the other part can't run, because only its issuer may run it.
	t.whole(records, func(r record) bool { return r.plain && r.issuer != r.router && r.begun >= begun-2*hoist.Second })
	for _, part := range [][]*router{inside, outside} {
		t.check(served(records, part, begun, healed), "a part of the fleet served nothing during the partition")
	}
	t.once(ctx, x, records)
}

// divided checks that each part sees only itself.
func (t *trial) divided(ctx context.Context, parts ...[]*router) {
	for _, part := range parts {
		for _, r := range part {
			s, err := t.status(ctx, r)
			t.check(err == nil && int(s.GetRouters()) == len(part), "%s sees %d routers, its part has %d", r.name, s.GetRouters(), len(part))
		}
	}
}

// served reports whether a part answered a request of the time.
func served(records []record, part []*router, from, to hoist.Millis) bool {
	for _, r := range records {
		for _, p := range part {
			if r.router == p && r.begun >= from && r.begun < to && r.outcome == load.Complete {
				return true
			}
		}
	}
	return false
}
