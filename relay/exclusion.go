package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/value"
)

const (
	// excludedRetryAfter is the delay after which a caller should try again if no server is permitted: evacuations end by an
	// operator's act, so a caller gains nothing by trying at once.
	excludedRetryAfter = hoist.Second
	// viewAgeDivisor divides the time within which evacuations must be in force into the age of the view above which a request
	// waits for a newer one. The age of a view that is confirmed at all stays below half of the default of 5 s.
	viewAgeDivisor = 2
	// refreshWait is the time for which a request waits for a newer view: that of a failed request to the store or to another
	// instance, and of the next one.
	refreshWait = 300 * hoist.Millis(1)
)

// commonRegions returns the regions that a route and a workspace both allow; an empty list allows all. It returns false if
// both have a list and no region is in both.
func commonRegions(route, workspace value.List[string]) (value.List[string], bool) {
	switch {
	case route.Len() == 0:
		return workspace, true
	case workspace.Len() == 0:
		return route, true
	}
	allowed := slices.Collect(workspace.All())
	var common []string
	for r := range route.All() {
		if slices.Contains(allowed, r) {
			common = append(common, r)
		}
	}
	return value.ListOf(common...), len(common) > 0
}

// viewBeforeSending returns the view by which a granted server is checked.
//
// A process that was suspended may hold a view from before an evacuation, and its requests go on at once. It gets newer
// content within a moment, so a request waits up to refreshWait for it. If none comes, the store is away; then no request
// waits for that view again, because the last known state stays in force.
func (j *job) viewBeforeSending(ctx context.Context) *feed.View {
	limit := hoist.MillisOfFloat(j.Settings.Bounds().EvacuateMs()) / viewAgeDivisor
	v, replaced := j.Follower.Next()
	if limit <= 0 || v.Age(j.Clock.Now()) <= limit || j.refreshMissed.Load() == int64(v.ConfirmedAt) {
		return v
	}
	end := j.Clock.After(refreshWait)
	for v.Age(j.Clock.Now()) > limit {
		select {
		case <-replaced:
			v, replaced = j.Follower.Next()
		case <-end:
			j.refreshMissed.Store(int64(v.ConfirmedAt))
			return v
		case <-ctx.Done():
			return v
		}
	}
	return v
}

// restrict sets the regions of the request by its route and workspace.
func (j *job) restrict(r value.Route, h value.KeyHolder) {
	var ok bool
	j.regions, ok = commonRegions(r.Regions(), h.Regions())
	j.noRegion = !ok
}

// isExcluded reports whether the view or the regions of the request exclude the server.
func (j *job) isExcluded(v *feed.View, s value.BackendServer) bool {
	return !assign.Permitted(v.Marked(s), j.regions)
}

// avoidExcluded adds the servers of the shard that this instance excludes to those that the request avoids, so that an owner
// with an older view grants another one at the next attempt.
func (j *job) avoidExcluded(v *feed.View) {
	avoided := slices.Collect(j.avoid.All())
	for s := range j.dispatcher.state.Load().Servers() {
		if j.isExcluded(v, s) && !slices.Contains(avoided, s.Id()) {
			avoided = append(avoided, s.Id())
		}
	}
	j.avoid = value.ListOf(avoided...)
}

// excludesAll reports whether every listed server of the request's service is excluded.
func (j *job) excludesAll() bool {
	v := j.Follower.View()
	listed := false
	for s := range v.Servers.All() {
		if s.Service() != j.serviceName {
			continue
		}
		if !j.isExcluded(v, s) {
			return false
		}
		listed = true
	}
	return listed
}

// permitting returns the dispatcher, or the next one with a permitted server if it has none, so that a shard whose servers
// are all excluded does not refuse requests that another one can take.
func (s *service) permitting(d *dispatcher, regions value.List[string]) *dispatcher {
	at := max(slices.Index(s.dispatchers, d), 0)
	for i := range s.active {
		if next := s.dispatchers[(at+i)%s.active]; next.state.Load().Permits(regions) {
			return next
		}
	}
	return d
}

// movesShard reports whether a request that was refused by a shard without a permitted server is to be placed at another one
// that has some. It moves once, because the shards of a service change only with its servers.
func (j *job) movesShard(a value.PlaceAnswer) bool {
	s, ok := (*j.services.Load())[j.serviceName]
	if j.moved || !ok || a.Verdict() != value.PlaceVerdictRefused || a.Overload() || s.permitting(j.dispatcher, j.regions) == j.dispatcher {
		return false
	}
	j.moved = true
	return true
}

// datacentreRuns counts the running attempts by the data centre of their server.
type datacentreRuns struct{ counts sync.Map }

// start counts an attempt until the returned function is called.
func (d *datacentreRuns) start(datacentre string) (end func()) {
	c, _ := d.counts.LoadOrStore(datacentre, new(atomic.Int64))
	n := c.(*atomic.Int64)
	n.Add(1)
	return func() { n.Add(-1) }
}

// count returns the number of running attempts in the data centre.
func (d *datacentreRuns) count(datacentre string) int64 {
	if c, ok := d.counts.Load(datacentre); ok {
		return c.(*atomic.Int64).Load()
	}
	return 0
}

// ActiveEvacuated returns the number of requests of this instance that run at servers of evacuated data centres.
func (r *Relay) ActiveEvacuated() int64 {
	var n int64
	for d := range r.Follower.View().Evacuated.All() {
		n += r.runs.count(d)
	}
	return n
}
