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

// sendHeartbeats sends heartbeats, declares silent peers lost and replaces a process that has drained.
func (w *world) sendHeartbeats(p *process) {
	w.post(p, heartbeatInterval, heartbeatDue{})
	now := w.events.Now()
	leavingServers := value.ListOf(slices.Sorted(maps.Keys(p.leavingServers))...)
	items := p.recentItems(now)
	for _, q := range w.processes {
		if q != p {
			w.transmit(p, q.endpoint(), heartbeatReceived{p.memberRecord(w.site), p.config, leavingServers, items})
		}
	}
	for _, i := range slices.Sorted(maps.Keys(p.peers)) {
		if x := p.peers[i]; now-x.lastHeartbeat > suspectTimeout {
			delete(p.peers, i)
			w.losePeer(p, endpoint{i, x.member.Incarnation(), false})
		}
	}
	w.refreshMembership(p)
	if p.leaving && len(p.requests) == 0 && !p.hasQueuedRequests() {
		w.replaceProcess(p, restartDelay)
	}
}

// hasQueuedRequests reports whether requests wait in the shards that the process owns.
func (p *process) hasQueuedRequests() bool {
	for _, s := range p.ownedShards {
		if s.state.Queue().Len() > 0 {
			return true
		}
	}
	return false
}

// losePeer handles the loss of a silent peer. It closes the streams in both directions, so that a peer that was only
// paused learns that its placement requests and attempts are forgotten.
func (w *world) losePeer(p *process, lost endpoint) {
	w.handleDispatcherLost(p, lost)
	w.handleLinkLost(p, lost)
	w.transmit(p, lost, linkLost{p.endpoint()})
}

// handleHeartbeat records a peer as live and merges its configuration, its leaving servers and its quarantine items.
func (w *world) handleHeartbeat(p *process, x heartbeatReceived) {
	i := w.processNamed(x.member.Name()).index
	if old, ok := p.peers[i]; ok && old.member.Incarnation() != x.member.Incarnation() {
		if old.member.Incarnation() > x.member.Incarnation() {
			return
		}
		w.losePeer(p, endpoint{i, old.member.Incarnation(), false})
	}
	p.peers[i] = peer{x.member, w.events.Now()}
	w.applyConfiguration(p, x.view)
	for q := range x.items.All() {
		p.guard = p.guard.Merge(q, w.events.Now().Millis())
	}
	for name := range x.leaving.All() {
		w.markServerLeaving(p, name)
	}
	w.refreshMembership(p)
	w.handleLinkRestored(p, x.member)
}

// markServerLeaving records that a server is leaving and tells the shards.
func (w *world) markServerLeaving(p *process, name string) {
	if name == "" || p.leavingServers[name] || !w.listedNotLeaving(p, name) {
		return
	}
	p.leavingServers[name] = true
	for _, local := range []bool{false, true} {
		for _, key := range slices.Sorted(maps.Keys(p.shards(local))) {
			w.decideShard(p, key, local, sched.ServerLeaving{Server: name})
		}
	}
}

// listedNotLeaving reports whether the instance list of the process has the server and doesn't mark it as leaving.
func (w *world) listedNotLeaving(p *process, name string) bool {
	for i := range p.instances.All() {
		if i.Name() == name {
			return !i.Leaving()
		}
	}
	return false
}

// pollPlatform reads configuration and instance list from the platform.
func (w *world) pollPlatform(p *process) {
	w.post(p, pollInterval, pollDue{})
	if w.platformDown > 0 {
		return
	}
	x := w.published
	if w.staleState != nil {
		x = w.staleState
	}
	w.applyConfiguration(p, x.view)
	p.instances = x.instances
	for _, name := range slices.Sorted(maps.Keys(p.leavingServers)) {
		if !w.listedNotLeaving(p, name) {
			delete(p.leavingServers, name)
		}
	}
	w.refreshMembership(p)
}

// applyConfiguration puts a configuration in force if it is newer.
func (w *world) applyConfiguration(p *process, v *config.View) {
	if v == nil || !v.Version().Newer(p.version) {
		return
	}
	w.checkVersionOrder(p, p.version, v.Version())
	p.version, p.config = v.Version(), v
}

// refreshMembership computes the membership view, and acquires and releases shards accordingly.
func (w *world) refreshMembership(p *process) {
	if p.config == nil {
		return
	}
	var live []value.Member
	for _, i := range slices.Sorted(maps.Keys(p.peers)) {
		live = append(live, p.peers[i].member)
	}
	old := p.members
	p.members = member.NewView(p.memberRecord(w.site), live, p.instances)
	for _, s := range p.members.Shards() {
		owner, ok := p.members.Owner(s.Key)
		owned := ok && owner.Name() == p.name
		x := p.ownedShards[s.Key]
		switch {
		case owned && x == nil:
			p.ownedShards[s.Key] = &shard{state: sched.New(s.Key)}
		case !owned && x != nil && x.owned:
			x.owned = false
			w.redirectWaiting(p, s.Key)
		}
		if p.ownedShards[s.Key] != nil {
			w.configureShard(p, s.Key, false)
		}
		if owned && !p.ownedShards[s.Key].owned {
			p.ownedShards[s.Key].owned = true
			w.decideShard(p, s.Key, false, sched.ShardAcquired{})
			w.queryGateways(p, s.Key)
		}
		if p.localShards[s.Key] != nil {
			w.configureShard(p, s.Key, true)
		}
		oldOwner, hadOwner := old.Owner(s.Key)
		if hadOwner && ok && (oldOwner.Name() != owner.Name() || oldOwner.Incarnation() != owner.Incarnation()) {
			w.reportAttempts(p, w.endpointOf(owner), s.Key)
		}
	}
}

// queryGateways asks every gateway for its running requests on a shard that the process has acquired.
func (w *world) queryGateways(p *process, key string) {
	for _, m := range p.members.Members() {
		w.transmit(p, w.endpointOf(m), dispatcherMessage{p.endpoint(), value.Query{}.WithShard(key)})
	}
}

// redirectWaiting refuses the waiting requests of a released shard, so that their gateways ask the new owner.
func (w *world) redirectWaiting(p *process, key string) {
	for x := range p.ownedShards[key].state.Queue().All() {
		a := x.Ask().Attempt()
		w.decideShard(p, key, false, sched.MessageReceived{Body: value.Withdraw{}.WithAttempt(a).WithShard(key)})
		refusal := value.Refusal{}.WithAttempt(a).WithReason(value.RefusalReasonMoved)
		if to, ok := w.gatewayEndpoint(refusal); ok {
			w.transmit(p, to, dispatcherMessage{p.endpoint(), refusal})
		}
	}
}

// replaceProcess ends a process and starts a new incarnation of the instance after the delay.
func (w *world) replaceProcess(p *process, delay sim.Micros) {
	for _, n := range p.requestNumbers() {
		r := p.requests[n]
		if r.job.contentGroup > 0 {
			w.resendCrashContent(r.job.contentGroup)
		}
		for _, k := range slices.Sorted(maps.Keys(r.attempts)) {
			w.cancelAttempt(r, k)
		}
	}
	p.up = false
	w.publishInstances()
	w.events.After(delay, delayedAction{func(w *world) { w.startProcess(p) }})
}

// killProcess ends a process without a drain.
func (w *world) killProcess(p *process, downtime sim.Micros) {
	if !p.up {
		return
	}
	w.interruptedRequests += len(p.requests)
	w.replaceProcess(p, downtime)
	w.markViewsSplit(downtime + suspectTimeout)
}

// startProcess starts an incarnation that has only its settings.
func (w *world) startProcess(p *process) {
	w.incarnations++
	*p = process{
		index: p.index, name: p.name, incarnation: w.incarnations, up: true, startedAt: w.events.Now(),
		members: member.NewView(value.Member{}.WithName(p.name), nil, value.List[value.Instance]{}),
		peers:   map[int]peer{}, leavingServers: map[string]bool{}, requests: map[uint64]*request{},
		retries: retry.New(retry.Limits{}), guard: retry.NewGuard(retry.Limits{}), quarantineItems: map[uint64]item{},
		brokenLinks: map[int]uint64{}, tokenRecords: idem.New(w.incarnations, w.events.Now().Millis()),
		ownedShards: map[string]*shard{}, localShards: map[string]*shard{},
	}
	w.publishInstances()
	w.post(p, 0, pollDue{})
	w.post(p, sim.Millisecond, heartbeatDue{})
}
