// Package member determines which routers are live, how the backend servers are divided into shards, and which router
// owns each shard.
package member

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist/value"
)

// KindRouter is the instance kind of routers.
const KindRouter = "router"

// View is an immutable snapshot of the live routers, the shards and their owners; readers share it through an atomic
// pointer.
type View struct {
	self    value.Member
	stale   bool
	members []value.Member
	shards  []Shard
	pools   map[string][]Shard
	owners  map[string]string
	byName  map[string]value.Member
	watcher string
}

// NewView returns the view of the router self over the live routers and the instance list.
//
// Self is live whether or not it is among the members.
func NewView(self value.Member, live []value.Member, instances value.List[value.Instance]) *View {
	return newView(self, live, Layout(instances))
}

// newView returns the view over shards that are already computed.
func newView(self value.Member, live []value.Member, shards []Shard) *View {
	v := &View{shards: shards, owners: map[string]string{}}
	v.setMembers(self, live)
	v.pools = map[string][]Shard{}
	for _, s := range shards {
		v.pools[s.Pool] = append(v.pools[s.Pool], s)
	}
	for _, ss := range v.pools {
		slices.SortStableFunc(ss, func(a, b Shard) int { return v.distance(a) - v.distance(b) })
	}
	candidatesByRegion := map[string][]candidate{}
	for _, c := range candidates(v.members) {
		if !c.member.Leaving() {
			candidatesByRegion[c.member.Region()] = append(candidatesByRegion[c.member.Region()], c)
		}
	}
	for _, s := range shards {
		if m, ok := heaviest(candidatesByRegion[s.Region], s.Key); ok {
			v.owners[s.Key] = m.Name()
		}
	}
	return v
}

// setMembers sets the routers of the view, ordered by name.
func (v *View) setMembers(self value.Member, live []value.Member) {
	v.self = self
	v.members = []value.Member{self}
	for _, m := range live {
		if m.Name() != self.Name() {
			v.members = append(v.members, m)
		}
	}
	slices.SortFunc(v.members, func(a, b value.Member) int { return cmp.Compare(a.Name(), b.Name()) })
	v.byName = make(map[string]value.Member, len(v.members))
	for _, m := range v.members {
		v.byName[m.Name()] = m
	}
	v.watcher = v.chooseWatcher()
}

// chooseWatcher returns the router of the local data centre that watches the platform: the one with the greatest
// rendezvous weight for the watch.
func (v *View) chooseWatcher() string {
	var local []value.Member
	for _, m := range v.members {
		if m.Datacentre() == v.self.Datacentre() {
			local = append(local, m)
		}
	}
	m, _ := Choose(local, watchKey)
	return m.Name()
}

// distance is 0 for a shard of the local region and 1 for any other.
func (v *View) distance(s Shard) int {
	if s.Region == v.self.Region() {
		return 0
	}
	return 1
}

// Shards returns all shards, ordered by key; the result must not be modified.
func (v *View) Shards() []Shard { return v.shards }

// PoolShards returns the shards of a pool, those of the local region first; the result must not be modified.
func (v *View) PoolShards(pool string) []Shard { return v.pools[pool] }

// Owner returns the router that owns the shard, or false when its region has no live router.
//
// In a stale view this router does not count as the owner of its shards, because another router may have acquired them
// during the pause.
func (v *View) Owner(shard string) (value.Member, bool) {
	name, ok := v.owners[shard]
	if !ok || (v.stale && name == v.self.Name()) {
		return value.Member{}, false
	}
	return v.byName[name], true
}

// Members returns the live routers including self, ordered by name; the result must not be modified.
func (v *View) Members() []value.Member { return v.members }

// Member returns the live router with the name.
func (v *View) Member(name string) (value.Member, bool) {
	m, ok := v.byName[name]
	return m, ok
}

// Self returns the router that holds the view.
func (v *View) Self() value.Member { return v.self }

// Stale reports whether the router has just started, or has been paused and its peers have not responded since.
func (v *View) Stale() bool { return v.stale }

// OwnedShards returns the keys of the shards that self owns, in order; it returns none for a stale view.
func (v *View) OwnedShards() []string {
	var keys []string
	for _, s := range v.shards {
		if m, ok := v.Owner(s.Key); ok && m.Name() == v.self.Name() {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// Watcher returns the router that watches the platform for the local data centre.
func (v *View) Watcher() (value.Member, bool) {
	m, ok := v.byName[v.watcher]
	return m, ok
}
