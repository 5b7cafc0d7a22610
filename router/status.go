package router

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// Status implements admin.Router.
func (r *Router) Status() value.RouterStatus {
	v := r.config.version()
	s := value.RouterStatus{}.WithName(r.settings.Name()).WithIncarnation(strconv.FormatUint(r.incarnation, 16)).
		WithRegion(r.settings.Region()).WithDatacentre(r.settings.Datacentre()).WithPhase(r.phase()).
		WithGeneration(v.Generation).WithDigest(hex(v.Digest)).WithRequests(r.gateway.Active()).
		WithShards(int32(len(r.fleet.view().OwnedShards()))).WithRouters(int32(len(r.fleet.view().Members()))).
		WithUptimeMs(int64(r.clock.Now() - r.startedAt)).WithPlatformAgeMs(-1)
	if at := r.platformResponseAt.Load(); at > 0 {
		s = s.WithPlatformAgeMs(int64(r.clock.Now()) - at)
	}
	return s
}

// phase returns the phase of the process.
func (r *Router) phase() value.Phase {
	switch {
	case r.Draining():
		return value.PhaseDraining
	case r.Ready():
		return value.PhaseReady
	default:
		return value.PhaseStarting
	}
}

// hex formats a digest or fingerprint as 16 hexadecimal digits.
func hex(n uint64) string { return fmt.Sprintf("%016x", n) }

// Instances implements admin.Router.
func (r *Router) Instances() value.InstanceReport {
	view := r.fleet.view()
	var rows []value.InstanceRow
	for _, m := range view.Members() {
		rows = append(rows, value.InstanceRow{}.WithName(m.Name()).WithKind(member.KindRouter).
			WithAddress(m.Address()).WithRegion(m.Region()).WithDatacentre(m.Datacentre()).
			WithState(instanceState(m.Leaving())).WithIncarnation(strconv.FormatUint(m.Incarnation(), 16)).
			WithGeneration(m.Generation()).WithDigest(hex(m.Digest())))
	}
	for _, s := range view.Shards() {
		for i := range s.Servers.All() {
			rows = append(rows, value.InstanceRow{}.WithName(i.Name()).WithKind(i.Kind()).WithAddress(i.Address()).
				WithRegion(i.Region()).WithDatacentre(i.Datacentre()).WithState(instanceState(i.Leaving())))
		}
	}
	slices.SortFunc(rows, func(a, b value.InstanceRow) int { return cmp.Compare(a.Name(), b.Name()) })
	return value.InstanceReport{}.WithInstances(value.ListOf(rows...))
}

// instanceState returns the state of a listed instance.
func instanceState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// Servers implements admin.Router.
func (r *Router) Servers() value.ServerReport {
	var rows []value.ServerRow
	now := r.clock.Now()
	for _, s := range r.dispatcher.states() {
		for x := range s.Table().Servers().All() {
			rows = append(rows, serverRow(s, x, now))
		}
	}
	return value.ServerReport{}.WithServers(value.ListOf(rows...))
}

// serverRow returns the row of one server.
func serverRow(s sched.State, x place.Server, now hoist.Millis) value.ServerRow {
	first, _ := x.FirstTokenRatio()
	between, _ := x.InterTokenMs()
	row := value.ServerRow{}.WithName(x.Name()).WithPool(x.Instance().Pool()).WithShard(s.Shard()).
		WithDatacentre(x.Instance().Datacentre()).WithState(x.Status().String()).WithReason(x.Reason().String()).
		WithBusy(int32(x.Running().Len())).WithLimit(x.ConcurrencyLimit()).
		WithFirstTokenPermille(int64(first * 1000)).WithInterTokenPermille(int64(between * 1000)).WithReportAgeMs(-1)
	if at := x.LastReport(); at > 0 {
		row = row.WithReportAgeMs(int64(now - at))
	}
	return row
}

// queueKey identifies the queue of one class in one shard.
type queueKey struct {
	rank         int32
	shard, class string
}

// Queues implements admin.Router.
func (r *Router) Queues() value.QueueReport {
	rows := map[queueKey]value.QueueRow{}
	now := r.clock.Now()
	for _, s := range r.dispatcher.states() {
		for w := range s.Queue().All() {
			k := queueKey{w.Class().Rank, s.Shard(), w.Class().Name()}
			row := rows[k]
			rows[k] = row.WithWaiting(row.Waiting() + 1).WithOldestMs(max(row.OldestMs(), int64(now-w.Since())))
		}
		for x := range s.Table().Servers().All() {
			for run := range x.Running().All() {
				k := queueKey{run.Rank(), s.Shard(), run.Ask().Class()}
				row := rows[k]
				rows[k] = row.WithRunning(row.Running() + 1)
			}
		}
	}
	list := make([]value.QueueRow, 0, len(rows))
	for k, row := range rows {
		list = append(list, row.WithShard(k.shard).WithRank(k.rank).WithClass(k.class))
	}
	slices.SortFunc(list, func(a, b value.QueueRow) int {
		return cmp.Or(cmp.Compare(a.Shard(), b.Shard()), cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.Class(), b.Class()))
	})
	return value.QueueReport{}.WithQueues(value.ListOf(list...))
}

// Request implements admin.Router.
func (r *Router) Request(id string) (value.RequestRecord, bool) { return r.gateway.Record(id) }

// Quarantines implements admin.Router.
func (r *Router) Quarantines() value.QuarantineReport {
	var rows []value.QuarantineRow
	for q := range r.guard.state.Load().Suspects().Items(r.clock.Now()).All() {
		if r.guard.quarantined(q.Fingerprint()) {
			rows = append(rows, value.QuarantineRow{}.WithFingerprint(hex(q.Fingerprint())).
				WithCrashes(q.Crashes()).WithRemainingMs(q.RemainingMs()))
		}
	}
	slices.SortFunc(rows, func(a, b value.QuarantineRow) int { return cmp.Compare(a.Fingerprint(), b.Fingerprint()) })
	return value.QuarantineReport{}.WithQuarantines(value.ListOf(rows...))
}

// Drain implements admin.Router.
func (r *Router) Drain() {
	r.stopOnce.Do(func() { close(r.stopping) })
}
