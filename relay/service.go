package relay

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/spread"
	"chicoryhoist.example/hoist/value"
)

// serversPerShard is the target number of servers per shard. A shard of a dozen servers or more absorbs bursts as
// well as a larger one, and its owner handles a bounded number of requests.
const serversPerShard = 24

// service is one service with the dispatchers of its shards.
type service struct {
	dispatchers []*dispatcher
	// spec is what the configuration says about the servers.
	spec value.ServiceSpec
	// active is the number of dispatchers that get new requests. The others are of a time when the service had more servers;
	// requests may wait there.
	active int
	// shards describes the active dispatchers if requests are divided among them by load, and is empty otherwise.
	shards []spread.Shard
}

// shardCount returns the number of shards for a number of servers.
func shardCount(servers int) int { return max(1, (servers+serversPerShard/2)/serversPerShard) }

// shardIndex returns the index of the shard that the server belongs to.
func shardIndex(id string, n int) int { return int(xxhash.Sum64String(id) % uint64(n)) }

// Follow applies a new store view; it must be called from one goroutine only.
func (r *Relay) Follow(old, v *feed.View) {
	servers := map[string][]value.BackendServer{}
	addresses := map[string]bool{}
	for s := range v.Servers.All() {
		servers[s.Service()] = append(servers[s.Service()], s)
		addresses[s.Address()] = true
	}
	next := maps.Clone(*r.services.Load())
	if v.Table != nil {
		for _, n := range v.Table.Services() {
			if _, ok := next[n]; !ok {
				next[n] = nil
			}
		}
	}
	// A service without a route is followed too, because its requests may wait, or be sent again after a server has failed.
	for n, s := range next {
		var spec value.ServiceSpec
		if v.Table != nil {
			spec = v.Table.Spec(n)
		}
		u := assign.ServersUpdated{Servers: value.ListOf(servers[n]...)}
		if s != nil && s.active != shardCount(len(servers[n])) {
			// Servers move to other shards.
			u.Kept = keptServers(old, v)
		}
		next[n] = r.withShards(n, s, spec, u, r.balances(v.Table, n))
		r.setRules(n, next[n], v.Table)
	}
	r.services.Store(&next)
	r.retainLoads(next)
	hoist.Update(&r.notices, func(n assign.Notices) assign.Notices { return n.Retained(v.Servers) })
	r.Client.Retain(func(a string) bool { return addresses[a] })
	r.attributeLost(v)
}

// withShards returns the service with its servers divided among its shards. It keeps the dispatchers of the old service,
// which may be nil.
func (r *Relay) withShards(name string, old *service, spec value.ServiceSpec, u assign.ServersUpdated, balanced bool) *service {
	s := &service{active: shardCount(u.Servers.Len()), spec: spec}
	if old != nil {
		s.dispatchers = slices.Clone(old.dispatchers)
	}
	for i := len(s.dispatchers); i < s.active; i++ {
		s.dispatchers = append(s.dispatchers, r.newDispatcher(fmt.Sprintf("%s/%d", name, i)))
	}
	// A state needs the limits to tell how long a server that it has not known stays cold.
	r.limitCold(s)
	lists := divide(u.Servers, s.active)
	// The servers of an inactive shard are also in an active one.
	if n := len(s.dispatchers); n > s.active {
		lists = append(lists, divide(u.Servers, n)[s.active:]...)
	}
	for i, d := range s.dispatchers {
		d.balanced.Store(balanced)
		if balanced && i < s.active {
			s.shards = append(s.shards, spread.Shard{Name: d.shard, Servers: usable(lists[i])})
		}
		d.post(assign.ServersUpdated{Servers: value.ListOf(lists[i]...), Kept: u.Kept})
	}
	r.limitRetries(s)
	return s
}

// divide divides the servers among n shards.
func divide(servers value.List[value.BackendServer], n int) [][]value.BackendServer {
	lists := make([][]value.BackendServer, n)
	for x := range servers.All() {
		i := shardIndex(x.Id(), n)
		lists[i] = append(lists[i], x)
	}
	return lists
}

// limitRetries passes the limits of retries to the dispatchers of the service, which depend on the shards that this
// instance owns and on the number of instances.
func (r *Relay) limitRetries(s *service) {
	instances := 1
	if v := r.members.Load(); v != nil {
		instances = len(v.Members())
	}
	slack, shards := r.Settings.Retries().Slack(), s.active
	for _, d := range s.dispatchers {
		d.limitRetries(assign.OwnerRetryLimits(slack, r.retryPermille(), shards), assign.LocalRetryLimits(slack, r.retryPermille(), shards, instances))
	}
}

// setRules passes the rules of the service in the table to its dispatchers. Without a table, or for a service that the table
// does not describe, the rules in force stay.
func (r *Relay) setRules(name string, s *service, t *route.Table) {
	if t == nil {
		return
	}
	rules := assign.RulesFor(name, t.Specs(), r.Settings.Balance())
	for _, d := range s.dispatchers {
		d.updateRules(func(assign.Rules) assign.Rules { return rules })
	}
}

// retryPermille returns the number of retries that a thousand requests earn; more than one retry of each request serves
// nobody.
func (r *Relay) retryPermille() int64 {
	return int64(min(r.Settings.Retries().Share(), 1) * retry.FullShare * budgetTenths / 10)
}

// newDispatcher starts a dispatcher.
func (r *Relay) newDispatcher(shard string) *dispatcher {
	d := &dispatcher{
		shard: shard, self: r.Settings.Name(), clock: r.Clock, log: r.Log, mesh: r.Mesh,
		inbox: make(chan assign.Event, dispatcherInboxSize), waiters: &r.waiters, guard: r.guard, notices: &r.notices, done: r.ctx.Done(),
		metrics: r.Metrics,
	}
	s := assign.New()
	d.state.Store(&s)
	owner := ""
	if v := r.members.Load(); v != nil {
		owner = ownerOf(v, shard)
	}
	d.owner.Store(&owner)
	go d.run()
	return d
}

// dispatcherFor returns the dispatcher of the shard whose servers probably cache the beginning of the prompt.
// Requests without shared parts are distributed by their IDs.
func (s *service) dispatcherFor(q Request) *dispatcher {
	if s.active == 1 {
		return s.dispatchers[0]
	}
	return s.dispatchers[shardKey(q)%uint64(s.active)]
}

// ownerOf returns the owner of the shard in the view; it returns an empty name if the view is stale.
func ownerOf(v *member.View, shard string) string {
	if v.Stale() {
		return ""
	}
	m, _ := member.Choose(v.Members(), shard)
	return m.Name()
}

// UpdateMembers applies a new membership view.
func (r *Relay) UpdateMembers(old, v *member.View) {
	r.members.Store(v)
	var lost []string
	if old != nil {
		for _, m := range old.Members() {
			if _, ok := v.Member(m.Name()); !ok {
				lost = append(lost, m.Name())
			}
		}
	}
	for _, s := range *r.services.Load() {
		for _, d := range s.dispatchers {
			d.setOwner(ownerOf(v, d.shard))
			d.updateRules(func(x assign.Rules) assign.Rules { return x })
			for _, n := range lost {
				d.post(assign.InstanceLost{Origin: n})
			}
		}
		r.limitRetries(s)
		r.limitCold(s)
	}
}

// Receive handles a message of another instance.
func (r *Relay) Receive(sender string, b value.DatagramBody) {
	switch b := b.(type) {
	case value.PlaceAnswer:
		c, waits := r.waiters.Load(b.Id())
		if _, local := c.(localResponses); waits && !local {
			trySend(c, b)
		} else if d, ok := r.dispatcherOf(b.Shard()); ok && b.Verdict() == value.PlaceVerdictGranted && (local || !d.state.Load().Runs(b.Id())) {
			d.notify(sender, value.PlaceNote{}.WithId(b.Id()).WithChange(value.PlaceChangeWithdrawn))
		}
	case value.PlaceAsk:
		r.forwardToShard(sender, b.Shard(), b)
	case value.PlaceNote:
		r.forwardToShard(sender, b.Shard(), b)
	case value.PlaceCrash:
		r.forwardToShard(sender, b.Shard(), b)
	case value.PlaceHolding:
		r.forwardToShard(sender, b.Shard(), b)
	default:
	}
}

// forwardToShard passes a message to the dispatcher of the shard. If this instance does not know the shard yet, the
// message is dropped and the sender runs into its timeout.
func (r *Relay) forwardToShard(sender, shard string, b value.DatagramBody) {
	if d, ok := r.dispatcherOf(shard); ok {
		d.handleMessage(sender, b)
	}
}

// dispatcherOf returns the dispatcher of a shard.
func (r *Relay) dispatcherOf(shard string) (*dispatcher, bool) {
	for _, s := range *r.services.Load() {
		for _, d := range s.dispatchers {
			if d.shard == shard {
				return d, true
			}
		}
	}
	return nil, false
}
