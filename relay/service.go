package relay

import (
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// shardServers is the number of servers of one shard that the division of a service aims at; a shard of a dozen servers
// or more serves bursts as well as a larger one, and its owner decides about a bounded number of requests.
const shardServers = 24

// service is one service with its shards and its budget of repeats.
type service struct {
	desks  []*desk
	budget atomic.Pointer[retry.Bucket]
}

// shards returns the number of shards for a number of servers.
func shards(servers int) int { return max(1, (servers+shardServers/2)/shardServers) }

// shardOf returns the shard of a server.
func shardOf(id string, n int) int { return int(xxhash.Sum64String(id) % uint64(n)) }

// Follow takes over a new view of the store; it is called from one goroutine.
func (r *Relay) Follow(_, v *feed.View) {
	servers := map[string][]value.BackendServer{}
	addresses := map[string]bool{}
	for s := range v.Servers.All() {
		servers[s.Service()] = append(servers[s.Service()], s)
		addresses[s.Address()] = true
	}
	var names []string
	if v.Table != nil {
		names = v.Table.Services()
	}
	old := *r.services.Load()
	next := make(map[string]*service, len(names))
	for k, s := range old {
		next[k] = s
	}
	for _, n := range names {
		next[n] = r.divide(n, next[n], servers[n])
	}
	r.services.Store(&next)
	r.Client.Retain(func(a string) bool { return addresses[a] })
}

// divide returns the service with its servers in their shards; desks and budget of the former one stay.
func (r *Relay) divide(name string, old *service, servers []value.BackendServer) *service {
	n := shards(len(servers))
	s := old
	if s == nil || len(s.desks) != n {
		s = &service{}
		b := retry.NewBucket(r.burst(), r.burst())
		s.budget.Store(&b)
		if old != nil {
			s.budget.Store(old.budget.Load())
			s.desks = slices.Clone(old.desks[:min(n, len(old.desks))])
		}
		for i := len(s.desks); i < n; i++ {
			s.desks = append(s.desks, r.newDesk(fmt.Sprintf("%s/%d", name, i)))
		}
	}
	lists := make([][]value.BackendServer, n)
	for _, x := range servers {
		i := shardOf(x.Id(), n)
		lists[i] = append(lists[i], x)
	}
	for i, d := range s.desks {
		d.post(assign.ServersUpdated{Servers: value.ListOf(lists[i]...)})
	}
	return s
}

// burst returns the number of repeats that this instance may make at once: its part of the slack among the live instances.
func (r *Relay) burst() int64 {
	members := 1
	if v := r.members.Load(); v != nil {
		members = len(v.Members())
	}
	return min(max(r.Settings.Retries().Slack()/int64(burstPart*members), 1), burstMost)
}

// newDesk returns a running desk.
func (r *Relay) newDesk(shard string) *desk {
	d := &desk{
		shard: shard, self: r.Settings.Name(), clock: r.Clock, log: r.Log, mesh: r.Mesh,
		inbox: make(chan assign.Event, deskInbox), replies: &r.replies, ended: r.ctx.Done(),
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

// desk returns the desk whose servers probably hold the beginning of the prompt; other requests are spread by their id.
func (s *service) desk(q Request) *desk {
	if len(s.desks) == 1 {
		return s.desks[0]
	}
	key := xxhash.Sum64String(q.ID)
	if n := q.Parts.Len(); n > 1 {
		key = assign.PartHash(q.Parts.At(n - 2).Id())
	}
	return s.desks[key%uint64(len(s.desks))]
}

// earn adds the share of one request to the budget of repeats.
func (s *service) earn(permille int64) {
	hoist.Update(&s.budget, func(b retry.Bucket) retry.Bucket { return b.Filled(1, permille) })
}

// charge takes one repeat out of the budget.
func (s *service) charge() bool {
	allowed := false
	hoist.Update(&s.budget, func(b retry.Bucket) retry.Bucket {
		b, allowed = b.Taken(1)
		return b
	})
	return allowed
}

// ownerOf returns the instance that owns the shard in the view; a stale view names none.
func ownerOf(v *member.View, shard string) string {
	if v.Stale() {
		return ""
	}
	m, _ := member.Choose(v.Members(), shard)
	return m.Name()
}

// UpdateMembers takes over a new view of the live instances.
func (r *Relay) UpdateMembers(old, v *member.View) {
	r.members.Store(v)
	var vanished []string
	if old != nil {
		for _, m := range old.Members() {
			if _, ok := v.Member(m.Name()); !ok {
				vanished = append(vanished, m.Name())
			}
		}
	}
	for _, s := range *r.services.Load() {
		hoist.Update(&s.budget, func(b retry.Bucket) retry.Bucket { return b.WithCapacity(r.burst()) })
		for _, d := range s.desks {
			d.own(ownerOf(v, d.shard))
			for _, n := range vanished {
				d.post(assign.InstanceLost{Origin: n})
			}
		}
	}
}

// Receive takes a message of another instance.
func (r *Relay) Receive(sender string, b value.DatagramBody) {
	switch b := b.(type) {
	case value.PlaceAnswer:
		if c, ok := r.replies.Load(b.Id()); ok {
			offer(c, b)
		} else if d, ok := r.deskOf(b.Shard()); ok && b.Verdict() == value.PlaceVerdictGranted && !d.state.Load().Runs(b.Id()) {
			d.tell(sender, value.PlaceNote{}.WithId(b.Id()).WithChange(value.PlaceChangeWithdrawn))
		}
	case value.PlaceAsk:
		r.forward(sender, b.Shard(), b)
	case value.PlaceNote:
		r.forward(sender, b.Shard(), b)
	case value.PlaceHolding:
		r.forward(sender, b.Shard(), b)
	default:
	}
}

// forward hands a message to the desk of a shard; a shard that this instance doesn't know yet is answered by its asker's timeout.
func (r *Relay) forward(sender, shard string, b value.DatagramBody) {
	if d, ok := r.deskOf(shard); ok {
		d.receive(sender, b)
	}
}

// deskOf returns the desk of a shard.
func (r *Relay) deskOf(shard string) (*desk, bool) {
	for _, s := range *r.services.Load() {
		for _, d := range s.desks {
			if d.shard == shard {
				return d, true
			}
		}
	}
	return nil, false
}
