package relay

import (
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/value"
)

const (
	// coldNoteTolerance is the difference between the stated and the known cold time from which on a response is reported.
	coldNoteTolerance = 200 * hoist.Millis(1)
	// maxColdStatement bounds the cold time that a response states.
	maxColdStatement = 10 * hoist.Minute
)

// keptServers returns the IDs of the servers that both views list with the same start time.
func keptServers(old, v *feed.View) map[string]bool {
	if old == nil {
		return nil
	}
	born := make(map[string]int64, old.Servers.Len())
	for s := range old.Servers.All() {
		born[s.Id()] = s.Born()
	}
	kept := map[string]bool{}
	for s := range v.Servers.All() {
		if b, ok := born[s.Id()]; ok && b == s.Born() {
			kept[s.Id()] = true
		}
	}
	return kept
}

// limitCold passes the limits of requests to cold servers to the dispatchers of the service.
func (r *Relay) limitCold(s *service) {
	index, instances := 0, 1
	if v := r.members.Load(); v != nil {
		names := make([]string, 0, len(v.Members()))
		for _, m := range v.Members() {
			names = append(names, m.Name())
		}
		slices.Sort(names)
		instances = max(len(names), 1)
		index = max(slices.Index(names, r.Settings.Name()), 0)
	}
	overage, slack := r.Settings.Bounds().ColdOverage(), r.Settings.Bounds().ColdSlack()
	for _, d := range s.dispatchers {
		d.limitCold(assign.OwnerColdLimits(s.spec, overage, slack), assign.LocalColdLimits(s.spec, overage, slack, index, instances))
	}
}

// Cold returns the number of cold servers of the shards that this instance owns.
func (r *Relay) Cold() int {
	n := 0
	for _, s := range *r.services.Load() {
		for _, d := range s.dispatchers[:s.active] {
			if *d.owner.Load() == d.self {
				n += d.state.Load().Cold(d.clock.Now())
			}
		}
	}
	return n
}

// HeldBack returns the number of requests that wait here only because of the limits on cold servers.
func (r *Relay) HeldBack() int {
	n := 0
	for _, s := range *r.services.Load() {
		for _, d := range s.dispatchers {
			n += d.state.Load().HeldBack()
		}
	}
	return n
}

// limitCold sets the limits of requests to cold servers that this instance keeps as the owner of the shard, and otherwise.
func (d *dispatcher) limitCold(owner, local assign.ColdLimits) {
	d.limitsMu.Lock()
	defer d.limitsMu.Unlock()
	l := local
	if *d.owner.Load() == d.self {
		l = owner
	}
	if d.coldLimits != l {
		d.coldLimits = l
		d.post(assign.ColdLimitsChanged{Limits: l})
	}
}

// readCold reports how long the server stays cold by its response.
func (j *job) readCold(s value.BackendServer, resp *http1.Response) {
	if ms, err := strconv.ParseInt(resp.Header.Get(j.Dialect.Cold()), 10, 64); err == nil && ms > 0 {
		j.dispatcher.cold(s, hoist.Millis(ms))
	}
}

// cold records that a server has stated how long it stays cold, and tells the owner if this instance did not know.
func (d *dispatcher) cold(s value.BackendServer, left hoist.Millis) {
	now, state := d.clock.Now(), d.state.Load()
	left = min(left, maxColdStatement)
	if !state.LimitsCold() || left < state.ColdFor(s.Id(), now)+coldNoteTolerance {
		return
	}
	d.post(assign.ColdReported{Server: s.Id(), Left: left})
	if owner, ok := d.remoteOwner(now); ok {
		d.notify(owner, value.PlaceNote{}.WithChange(value.PlaceChangeCold).WithServer(s.Id()).WithColdMs(int64(left)))
	}
}

// down records that a server has refused a connection or has crashed, and tells the owner.
func (d *dispatcher) down(s value.BackendServer) {
	if !d.state.Load().LimitsCold() {
		return
	}
	d.post(assign.DownReported{Server: s.Id()})
	if owner, ok := d.remoteOwner(d.clock.Now()); ok {
		d.notify(owner, value.PlaceNote{}.WithChange(value.PlaceChangeDown).WithServer(s.Id()))
	}
}

// logCold logs that a server is taken as cold, if this instance places requests at it.
func (d *dispatcher) logCold(x assign.TakenCold) {
	if _, remote := d.remoteOwner(d.clock.Now()); !remote {
		d.log.Write(event.ServerCold, logrus.Fields{
			"server": x.Server.Id(), "address": x.Server.Address(), "shard": d.shard, "reason": x.Reason.String(), "remaining_ms": x.Left,
		})
	}
}
