package soak

import (
	"maps"
	"slices"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/sched"
	"chicoryhoist.example/hoist/value"
)

// beat sends heartbeats, looks for silent peers and ends a drained process.
func (w *world) beat(p *process) {
	w.post(p, beatEvery, beats{})
	now := w.loop.Now()
	departed := value.ListOf(slices.Sorted(maps.Keys(p.departed))...)
	items := p.news(now)
	for _, q := range w.processes {
		if q != p {
			w.transmit(p, q.self(), beaten{p.record(w.site), p.config, departed, items})
		}
	}
	for _, i := range slices.Sorted(maps.Keys(p.peers)) {
		if x := p.peers[i]; now-x.heard > suspectAfter {
			delete(p.peers, i)
			w.gone(p, route{i, x.member.Incarnation(), false})
		}
	}
	w.refresh(p)
	if p.leaving && len(p.requests) == 0 && !p.busy() {
		w.replace(p, restartTime)
	}
}

// busy reports whether requests wait in the queues of the process.
func (p *process) busy() bool {
	for _, s := range p.owned {
		if s.state.Queue().Len() > 0 {
			return true
		}
	}
	return false
}

// gone handles the loss of a peer by its silence; the streams to and from it are closed, so that a peer
// which was only paused learns that its asks and attempts are forgotten.
func (w *world) gone(p *process, r route) {
	w.lose(p, r)
	w.unlink(p, r)
	w.transmit(p, r, lost{p.self()})
}

// heartbeat takes in what a peer spreads.
func (w *world) heartbeat(p *process, x beaten) {
	i := w.processNamed(x.member.Name()).index
	if old, ok := p.peers[i]; ok && old.member.Incarnation() != x.member.Incarnation() {
		if old.member.Incarnation() > x.member.Incarnation() {
			return
		}
		w.gone(p, route{i, old.member.Incarnation(), false})
	}
	p.peers[i] = peer{x.member, w.loop.Now()}
	w.adopt(p, x.view)
	for q := range x.items.All() {
		p.guard = p.guard.Merge(q, w.loop.Now().Millis())
	}
	for name := range x.departed.All() {
		w.learn(p, name)
	}
	w.refresh(p)
	w.relink(p, x.member)
}

// learn records that a server is leaving and tells the shards.
func (w *world) learn(p *process, name string) {
	if name == "" || p.departed[name] || !w.listedAlive(p, name) {
		return
	}
	p.departed[name] = true
	for _, local := range []bool{false, true} {
		for _, key := range slices.Sorted(maps.Keys(p.shards(local))) {
			w.decide(p, key, local, sched.ServerLeaving{Server: name})
		}
	}
}

// listedAlive reports whether the process's instance list shows the server as not leaving.
func (w *world) listedAlive(p *process, name string) bool {
	for i := range p.instances.All() {
		if i.Name() == name {
			return !i.Leaving()
		}
	}
	return false
}

// poll reads the platform.
func (w *world) poll(p *process) {
	w.post(p, pollEvery, polls{})
	if w.platformDown > 0 {
		return
	}
	x := w.published
	if w.held != nil {
		x = w.held
	}
	w.adopt(p, x.view)
	p.instances = x.instances
	for _, name := range slices.Sorted(maps.Keys(p.departed)) {
		if !w.listedAlive(p, name) {
			delete(p.departed, name)
		}
	}
	w.refresh(p)
}

// adopt puts a newer configuration in force.
func (w *world) adopt(p *process, v *config.View) {
	if v == nil || !v.Version().Newer(p.version) {
		return
	}
	w.checkVersion(p, p.version, v.Version())
	p.version, p.config = v.Version(), v
}

// refresh computes the membership view again and starts and yields shards.
func (w *world) refresh(p *process) {
	if p.config == nil {
		return
	}
	var live []value.Member
	for _, i := range slices.Sorted(maps.Keys(p.peers)) {
		live = append(live, p.peers[i].member)
	}
	old := p.members
	p.members = member.NewView(p.record(w.site), live, p.instances)
	for _, s := range p.members.Shards() {
		owner, ok := p.members.Owner(s.Key)
		owned := ok && owner.Name() == p.name
		x := p.owned[s.Key]
		switch {
		case owned && x == nil:
			p.owned[s.Key] = &shard{state: sched.New(s.Key)}
		case !owned && x != nil && x.owned:
			x.owned = false
			w.yield(p, s.Key)
		}
		if p.owned[s.Key] != nil {
			w.configure(p, s.Key, false)
		}
		if owned && !p.owned[s.Key].owned {
			p.owned[s.Key].owned = true
			w.decide(p, s.Key, false, sched.ShardAcquired{})
			w.query(p, s.Key)
		}
		if p.local[s.Key] != nil {
			w.configure(p, s.Key, true)
		}
		before, had := old.Owner(s.Key)
		if had && ok && (before.Name() != owner.Name() || before.Incarnation() != owner.Incarnation()) {
			w.hold(p, w.routeOf(owner), s.Key)
		}
	}
}

// query asks every gateway for its attempts in progress on a shard that the process has taken over.
func (w *world) query(p *process, key string) {
	for _, m := range p.members.Members() {
		w.transmit(p, w.routeOf(m), answered{p.self(), value.Query{}.WithShard(key)})
	}
}

// yield tells the gateways of waiting requests to ask the new owner.
func (w *world) yield(p *process, key string) {
	for x := range p.owned[key].state.Queue().All() {
		a := x.Ask().Attempt()
		w.decide(p, key, false, sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(a).WithShard(key)})
		refusal := value.Refusal{}.WithAttempt(a).WithReason(value.RefusalReasonMoved)
		if to, ok := w.gatewayOf(refusal); ok {
			w.transmit(p, to, answered{p.self(), refusal})
		}
	}
}

// replace ends a process and starts a new incarnation of the instance after a time.
func (w *world) replace(p *process, after sim.Micros) {
	for _, n := range p.order() {
		r := p.requests[n]
		if r.job.group > 0 {
			w.resend(r.job.group)
		}
		for _, k := range slices.Sorted(maps.Keys(r.attempts)) {
			w.stop(r, k)
		}
	}
	p.up = false
	w.relist()
	w.loop.After(after, heals{func(w *world) { w.boot(p) }})
}

// kill ends a process at once.
func (w *world) kill(p *process, length sim.Micros) {
	if !p.up {
		return
	}
	w.brokenRequests += len(p.requests)
	w.replace(p, length)
	w.split(length + suspectAfter)
}

// boot starts an incarnation with nothing but its settings.
func (w *world) boot(p *process) {
	w.incarnations++
	*p = process{
		index: p.index, name: p.name, incarnation: w.incarnations, up: true, started: w.loop.Now(),
		members: member.NewView(value.Member{}.WithName(p.name), nil, value.List[value.Instance]{}),
		peers:   map[int]peer{}, departed: map[string]bool{}, requests: map[uint64]*request{},
		retries: retry.New(retry.Limits{}), guard: retry.NewGuard(retry.Limits{}), items: map[uint64]item{},
		broken: map[int]uint64{}, records: idem.New(w.incarnations, w.loop.Now().Millis()),
		owned: map[string]*shard{}, local: map[string]*shard{},
	}
	w.relist()
	w.post(p, 0, polls{})
	w.post(p, sim.Millisecond, beats{})
}
