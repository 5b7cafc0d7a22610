// Package member decides which routers are live, how the backend servers are divided into shards,
// and which router owns each shard.
package member

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist/value"
)

// KindRouter is the kind of routers in the instance list.
const KindRouter = "router"

// View is an immutable view of the live routers and of the shards; readers share it through an atomic pointer.
type View struct {
	self    value.Member
	stale   bool
	members []value.Member
	shards  []Shard
	pools   map[string][]Shard
	owners  map[string]string
	named   map[string]value.Member
	watcher string
}

// NewView returns the view of the router self over the live routers and the instance list.
//
// Self counts as live whether or not it is among the members.
func NewView(self value.Member, live []value.Member, instances value.List[value.Instance]) *View {
	return newView(self, live, Layout(instances))
}

// newView returns the view over shards that are already laid out.
func newView(self value.Member, live []value.Member, shards []Shard) *View {
	v := &View{shards: shards, owners: map[string]string{}}
	v.seat(self, live)
	v.pools = map[string][]Shard{}
	for _, s := range shards {
		v.pools[s.Pool] = append(v.pools[s.Pool], s)
	}
	for _, ss := range v.pools {
		slices.SortStableFunc(ss, func(a, b Shard) int { return v.distance(a) - v.distance(b) })
	}
	regions := map[string][]candidate{}
	for _, c := range candidates(v.members) {
		if !c.member.Leaving() {
			regions[c.member.Region()] = append(regions[c.member.Region()], c)
		}
	}
	for _, s := range shards {
		if m, ok := first(regions[s.Region], s.Key); ok {
			v.owners[s.Key] = m.Name()
		}
	}
	return v
}

// seat sets the routers of the view, in the order of their names.
func (v *View) seat(self value.Member, live []value.Member) {
	v.self = self
	v.members = []value.Member{self}
	for _, m := range live {
		if m.Name() != self.Name() {
			v.members = append(v.members, m)
		}
	}
	slices.SortFunc(v.members, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	v.named = make(map[string]value.Member, len(v.members))
	for _, m := range v.members {
		v.named[m.Name()] = m
	}
	v.watcher = v.chooseWatcher()
}

// chooseWatcher returns the router of the own data centre with the greatest weight for the watch.
func (v *View) chooseWatcher() string {
	var near []value.Member
	for _, m := range v.members {
		if m.Datacentre() == v.self.Datacentre() {
			near = append(near, m)
		}
	}
	m, _ := Choose(near, watchKey)
	return m.Name()
}

// distance is 0 for a shard of the router's own region and 1 for any other.
func (v *View) distance(s Shard) int {
	if s.Region == v.self.Region() {
		return 0
	}
	return 1
}

// Shards returns all shards in the order of their keys; the result must not be modified.
func (v *View) Shards() []Shard { return v.shards }

// PoolShards returns the shards of a pool, those of the own region first; the result must not be modified.
func (v *View) PoolShards(pool string) []Shard { return v.pools[pool] }

// Owner returns the router that owns the shard; false when its region has no live router.
//
// In a stale view a router does not count as the owner of its own shards, because others
// may have taken them over while it was paused.
func (v *View) Owner(shard string) (value.Member, bool) {
	name, ok := v.owners[shard]
	if !ok || (v.stale && name == v.self.Name()) {
		return value.Member{}, false
	}
	return v.named[name], true
}

// Members returns the live routers, self among them, in the order of their names; the result must not be modified.
func (v *View) Members() []value.Member { return v.members }

// Member returns the live router with the name.
func (v *View) Member(name string) (value.Member, bool) {
	m, ok := v.named[name]
	return m, ok
}

// Self returns the router that holds the view.
func (v *View) Self() value.Member { return v.self }

// Stale reports whether the router has been paused and has not heard from its peers since.
func (v *View) Stale() bool { return v.stale }

// OwnedShards returns the keys of the shards that self owns, in order; none in a stale view.
func (v *View) OwnedShards() []string {
	var keys []string
	for _, s := range v.shards {
		if m, ok := v.Owner(s.Key); ok && m.Name() == v.self.Name() {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// Watcher returns the router that holds the watch on the platform for the own data centre.
func (v *View) Watcher() (value.Member, bool) {
	m, ok := v.named[v.watcher]
	return m, ok
}
