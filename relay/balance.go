package relay

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/spread"
	"chicoryhoist.example/hoist/value"
)

// balances reports whether requests of the service are divided among its shards by their load.
func (r *Relay) balances(t *route.Table, service string) bool {
	return t != nil && assign.Limited(t.Spec(service), r.Settings.Balance())
}

// usable returns the number of servers that get new requests.
func usable(servers []value.BackendServer) int {
	n := 0
	for _, s := range servers {
		if !s.Leaving() && !s.Evacuated() {
			n++
		}
	}
	return n
}

// balancedDispatcher returns the dispatcher of the shard that the next attempt goes to. Further attempts stay with the shard
// of the first, whose owner knows what the request has done to servers, unless it has no usable server.
func (j *job) balancedDispatcher(s *service) *dispatcher {
	i := slices.Index(s.dispatchers[:s.active], j.dispatcher)
	if i >= 0 && s.shards[i].Servers > 0 {
		return j.dispatcher
	}
	now, first := j.Clock.Now(), j.dispatcher == nil
	q := spread.Request{Key: shardKey(j.request), RereadMs: assign.RereadingMs(sharedTokens(j.request)), Draw: 1}
	if first {
		q.Draw = rand.Float64()
	}
	c := j.loads.Load().Choose(s.shards, q, now)
	if c.Index < 0 {
		return s.dispatcherFor(j.request)
	}
	if first {
		j.choice = &c
	}
	d := s.dispatchers[c.Index]
	hoist.Update(&j.loads, func(l spread.Loads) spread.Loads {
		return l.WithPlacement(d.shard, assign.ReadingMs(ownTokens(j.request)), now)
	})
	return d
}

// shardKey returns the hash that chooses the shard of the request: that of its last shared prompt part, or else of its ID.
func shardKey(q Request) uint64 {
	if n := q.Parts.Len(); n > 1 {
		return assign.PartHash(q.Parts.At(n - 2).Id())
	}
	return xxhash.Sum64String(q.ID)
}

// sharedTokens returns the number of tokens in the prompt parts that other requests may share: all but the last one.
func sharedTokens(q Request) int32 {
	var n int32
	for i := range q.Parts.Len() - 1 {
		n += q.Parts.At(i).Tokens()
	}
	return n
}

// ownTokens returns the number of tokens in the last part of the prompt.
func ownTokens(q Request) int32 {
	if n := q.Parts.Len(); n > 0 {
		return q.Parts.At(n - 1).Tokens()
	}
	return 0
}

// learnLoad records the load of the shard in the answer to a placement request that was first sent at the time. The
// load may be older by statedLoadTTL, which is short against the time between two answers.
func (j *job) learnLoad(a value.PlaceAnswer, sentAt hoist.Millis) {
	if d := j.dispatcher; a.Load().Servers() > 0 && d.balanced.Load() {
		hoist.Update(&j.loads, func(l spread.Loads) spread.Loads { return l.WithReport(d.shard, a.Load(), sentAt) })
	}
}

// retainLoads drops what is known of shards that get no new requests by load.
func (r *Relay) retainLoads(services map[string]*service) {
	kept := map[string]bool{}
	for _, s := range services {
		for _, x := range s.shards {
			kept[x.Name] = true
		}
	}
	hoist.Update(&r.loads, func(l spread.Loads) spread.Loads { return l.Retained(func(s string) bool { return kept[s] }) })
}

// Imbalance returns the largest ratio, over the services that are balanced by load, of the load of one shard to the mean, as
// this instance knows it. It is 1 if nothing is known.
func (r *Relay) Imbalance() float64 {
	largest, now := 1.0, r.Clock.Now()
	for _, s := range *r.services.Load() {
		largest = max(largest, r.loads.Load().Imbalance(s.shards, now))
	}
	return largest
}
