package sched

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxDeferred bounds the requests that one event tries without success. Placement may defer several
	// requests for particular servers, and a decision must take no more than a few microseconds.
	maxDeferred = 8
	// deferredRetryInterval is the time after which deferred requests are tried again if placement states
	// no time, such as during the probe of a server that was down.
	deferredRetryInterval hoist.Millis = 100
)

// cursor is a position in one class queue during an assignment.
type cursor struct {
	class    int
	queue    queueKind
	position int
	// blocked is set if no request from the position on can be placed now.
	blocked bool
}

// assign grants slots to queued requests.
func (s State) assign(now hoist.Millis, effects []Effect) (State, []Effect) {
	s.retryAt = 0
	if s.view == nil || s.queued.Len() == 0 || now < s.grantsPausedUntil {
		return s, effects
	}
	s.grantsPausedUntil = 0
	s = s.reapSilent(now)
	switch s.policy.(type) {
	case LeastRequest:
		return s.assignLeastRequest(now, effects)
	case Tiered, LocalShare, TierFIFO:
	}
	avail := s.capacity()
	switch {
	case !avail.accepting && !avail.probing:
		return s.rejectAll(effects)
	case avail.total == 0 && !avail.probing:
		return s, effects
	}
	return s.grantFreeSlots(avail, now, effects)
}

// grantFreeSlots grants the free slots in the order of nextCursor.
func (s State) grantFreeSlots(avail capacity, now hoist.Millis, effects []Effect) (State, []Effect) {
	cursors := s.cursors()
	isolatedDeferred := false
	for deferrals := 0; deferrals < maxDeferred; {
		next := s.nextCursor(cursors)
		if next < 0 {
			break
		}
		c := &cursors[next]
		r := s.classStates[c.class].queues[c.queue].At(c.position)
		if isolatedDeferred && r.ask.Alone() {
			// One request that must run alone waits for an empty server at a time; others must not use up maxDeferred.
			c.position++
			c.blocked = c.position >= s.classStates[c.class].queues[c.queue].Len()
			continue
		}
		belowFloor := managed(s.policy) && s.classStates[c.class].belowFloor(s.totalTokens)
		switch x := s.chooseServer(r, belowFloor, avail, now).(type) {
		case placed:
			s = s.checkWaitBound(cursors, c.class)
			s, effects = s.grant(r, x.instance, now, effects)
			if avail = s.capacity(); avail.total == 0 {
				return s, effects
			}
		case noSlot:
			s.blockCursors(cursors, *c, belowFloor)
		case deferred:
			s = s.deferRequest(r, x, now)
			c.position++
			deferrals++
			isolatedDeferred = isolatedDeferred || r.ask.Alone()
		case unavailable:
			s, effects = s.reject(r, value.RefusalReasonUnavailable, hoist.Second, effects)
		}
		c.blocked = c.blocked || c.position >= s.classStates[c.class].queues[c.queue].Len()
	}
	return s, effects
}

// deferRequest records when a deferred request is tried again. For a request that must run
// alone a server is reserved, because a loaded shard would never have an empty one.
func (s State) deferRequest(r *QueuedRequest, x deferred, now hoist.Millis) State {
	if r.ask.Alone() && managed(s.policy) {
		s = s.withTable(s.table.Reserve(place.Requirements{Ask: r.ask, Rank: r.class.Rank}, now))
	}
	retryAt := now + deferredRetryInterval
	if x.retryAt > now {
		retryAt = x.retryAt
	}
	if s.retryAt == 0 || retryAt < s.retryAt {
		s.retryAt = retryAt
	}
	return s
}

// reserveForNext reserves a server for the next request that must run alone. It is called after such an attempt
// has ended, while its server is empty.
func (s State) reserveForNext(now hoist.Millis) State {
	var next *QueuedRequest
	for r := range s.queued.All() {
		if r.ask.Alone() && (next == nil || r.queuedBefore(next)) {
			next = r
		}
	}
	if next == nil || !managed(s.policy) {
		return s
	}
	return s.withTable(s.table.Reserve(place.Requirements{Ask: next.ask, Rank: next.class.Rank}, now))
}

// rejectAll rejects every queued request, because no server accepts work.
func (s State) rejectAll(effects []Effect) (State, []Effect) {
	for _, cs := range s.classStates {
		for _, q := range cs.queues {
			for r := range q.All() {
				s, effects = s.reject(r, value.RefusalReasonUnavailable, hoist.Second, effects)
			}
		}
	}
	return s, effects
}

// blockCursors blocks every queue whose requests have no better claim to a slot than the given one.
//
// The reserved slots grow from tier to tier, so if a request finds no free slot, none is left for lower tiers.
func (s State) blockCursors(cursors []cursor, c cursor, belowFloor bool) {
	rank := s.classStates[c.class].class.Rank
	for i := range cursors {
		x := &cursors[i]
		cs := s.classStates[x.class]
		switch {
		case c.queue == queueLong:
			x.blocked = x.blocked || (x.queue == queueLong && (belowFloor || (cs.class.Rank >= rank && !cs.belowFloor(s.totalTokens))))
		case belowFloor:
			x.blocked = true
		default:
			x.blocked = x.blocked || (cs.class.Rank >= rank && !cs.belowFloor(s.totalTokens))
		}
	}
}

// cursors returns one cursor for each class queue that holds requests.
func (s State) cursors() []cursor {
	all := make([]cursor, 0, len(s.classStates)*int(queueKinds))
	for i, cs := range s.classStates {
		for k, q := range cs.queues {
			if q.Len() > 0 {
				all = append(all, cursor{class: i, queue: queueKind(k)})
			}
		}
	}
	return all
}

// nextCursor returns the index of the cursor whose request is served next, or -1.
func (s State) nextCursor(cursors []cursor) int {
	best := -1
	for i := range cursors {
		if cursors[i].blocked {
			continue
		}
		if best < 0 || s.precedes(cursors[i], cursors[best]) {
			best = i
		}
	}
	return best
}

// precedes reports whether the request at a is served before that at b. Classes below their floor come first,
// in the order in which they fell below it, then requests by tier and target time.
func (s State) precedes(a, b cursor) bool {
	x, y := s.classStates[a.class], s.classStates[b.class]
	first, second := x.queues[a.queue].At(a.position), y.queues[b.queue].At(b.position)
	if !managed(s.policy) {
		return cmp.Or(cmp.Compare(x.class.Rank, y.class.Rank), cmp.Compare(first.since, second.since), cmp.Compare(first.sequence, second.sequence)) < 0
	}
	belowFloor := x.belowFloor(s.totalTokens)
	if belowFloor != y.belowFloor(s.totalTokens) {
		return belowFloor
	}
	if belowFloor && a.class != b.class {
		return cmp.Or(cmp.Compare(x.belowFloorSince(), y.belowFloorSince()), cmp.Compare(a.class, b.class)) < 0
	}
	return cmp.Or(cmp.Compare(x.class.Rank, y.class.Rank), cmp.Compare(first.targetTime(), second.targetTime()), cmp.Compare(first.sequence, second.sequence)) < 0
}

// grant starts the request on the server.
func (s State) grant(r *QueuedRequest, server value.Instance, now hoist.Millis, effects []Effect) (State, []Effect) {
	rank := r.class.Rank
	s = s.dequeue(r.attempt())
	if i, ok := s.classIndex[r.ask.Class()]; ok {
		s = s.withClassState(i, s.classStates[i].withGrant(s.totalTokens))
	}
	s = s.start(&runningAttempt{ask: r.ask, rank: rank, server: server.Name(), started: now, lastReport: now, sequence: r.sequence, long: r.long}, now)
	g := value.Grant{}.WithAttempt(r.attempt()).WithServer(server.Name()).WithAddress(server.Address()).
		WithPriority(rank).WithHedgeMs(s.hedgeAfter(r)).WithShard(s.shard)
	return s, append(effects, g)
}

// start records a running attempt on its server.
func (s State) start(ra *runningAttempt, now hoist.Millis) State {
	s.slotRate = s.slotRate.observe(s.running.Len(), 0, now)
	s.running = s.running.With(ra)
	s = s.withTable(s.table.Start(ra.server, place.NewRunningAttempt(ra.ask, ra.rank, ra.started).WithTokens(ra.tokens)))
	if ra.long {
		s = s.addLong(ra, 1)
	}
	if ra.ask.Alone() {
		s = s.withCounts(ra.server, 0, 1)
	}
	return s
}

// hedgeAfter returns the hedge delay of a grant; there are no hedges while requests wait for slots.
func (s State) hedgeAfter(r *QueuedRequest) int64 {
	if !managed(s.policy) || !r.ask.Repeatable() || r.ask.Hedge() || r.retried() || s.queued.Len() > 0 {
		return 0
	}
	return s.firstToken.hedgeDelay()
}

// hedgePermille returns the percentile of the first-token time after which a hedge is sent, in thousandths.
func (s State) hedgePermille() int32 {
	if s.view != nil && s.view.Policy().HedgePermille() > 0 {
		return s.view.Policy().HedgePermille()
	}
	return defaultHedgePermille
}

// capacity holds the number of free slots of each server, in the order of the server table.
type capacity struct {
	free  []int32
	total int32
	// accepting is set if any server accepts new work, whether or not it has a free slot.
	accepting bool
	// probing is set if a server is down, because placement may probe it with one request.
	probing bool
}

// capacity returns the slots that may be granted.
func (s State) capacity() capacity {
	servers := s.table.Servers()
	avail := capacity{free: make([]int32, servers.Len())}
	for i := range avail.free {
		server := servers.At(i)
		switch server.Status() {
		case place.StatusReady, place.StatusProbation:
			avail.accepting = true
		case place.StatusDown:
			avail.probing = true
			continue
		case place.StatusLeaving:
			continue
		}
		free := server.FreeSlots()
		if free == 0 || s.counts[i].isolated > 0 {
			continue
		}
		if share := slotShare(s.policy, server.Slots(), i); share < server.Slots() {
			free = max(0, min(free, share-int32(server.Running().Len())))
		}
		avail.free[i] = free
		avail.total += free
	}
	return avail
}

// placement is the result of chooseServer.
//
//sumtype:decl
type placement interface{ isPlacement() }

// placed means that the request may start on the instance.
type placed struct{ instance value.Instance }

// noSlot means that no server has a free slot for requests of this kind.
type noSlot struct{}

// deferred means that slots are free, but not on a server that suits the request now.
type deferred struct {
	// retryAt is the time at which the choice changes without another event, or zero.
	retryAt hoist.Millis
}

// unavailable means that no server that suits the request accepts work.
type unavailable struct{}

func (placed) isPlacement()      {}
func (noSlot) isPlacement()      {}
func (deferred) isPlacement()    {}
func (unavailable) isPlacement() {}

// chooseServer asks placement for a server among those that the request may use.
func (s State) chooseServer(r *QueuedRequest, belowFloor bool, avail capacity, now hoist.Millis) placement {
	required := place.Requirements{Ask: r.ask, Rank: r.class.Rank, Long: r.long && managed(s.policy), ArrivedAt: r.since}
	if managed(s.policy) && !belowFloor {
		required.ReservedSlots = s.reservedSlots(r)
	}
	allowed, excluded := s.checkCapacity(r, required.ReservedSlots, avail)
	switch {
	case !avail.probing && !s.hasUsableServer(r):
		return unavailable{}
	case !allowed && !avail.probing:
		return noSlot{}
	}
	if len(excluded) > 0 {
		required.Ask = r.ask.WithAvoid(r.ask.Avoid().Append(excluded...))
	}
	switch c := s.table.Choose(required, now).(type) {
	case place.Chosen:
		return placed{c.Server.Instance()}
	case place.Busy:
		if !allowed {
			return noSlot{}
		}
		return deferred{c.RetryAt}
	case place.Unavailable:
		// Some of the servers may only be excluded for now.
		if s.hasUsableServer(r) {
			return deferred{}
		}
	}
	return unavailable{}
}

// hasUsableServer reports whether any server that the request may use accepts work, even without a free slot.
func (s State) hasUsableServer(r *QueuedRequest) bool {
	for i := range s.counts {
		if s.acceptsWork(i) && !avoids(r.ask, s.counts[i].name) {
			return true
		}
	}
	return false
}

// avoids reports whether the request must not run on the server.
func avoids(a value.Ask, server string) bool {
	for i := range a.Avoid().Len() {
		if a.Avoid().At(i) == server {
			return true
		}
	}
	return false
}

// checkCapacity reports whether any server has a free slot for the request, and names the servers that have free
// slots in the server table but none within this router's share.
func (s State) checkCapacity(r *QueuedRequest, reserved int32, avail capacity) (allowed bool, excluded []string) {
	limit := s.pool.LongCap()
	for i, n := range avail.free {
		if n == 0 && s.usesSlotShare() && s.table.Servers().At(i).FreeSlots() > 0 {
			excluded = append(excluded, s.counts[i].name)
		}
		capped := r.long && limit > 0 && s.counts[i].long >= limit && managed(s.policy)
		allowed = allowed || (n > reserved && !capped)
	}
	return allowed, excluded
}

// usesSlotShare reports whether the policy uses only a share of the slots.
func (s State) usesSlotShare() bool {
	switch s.policy.(type) {
	case LocalShare, TierFIFO:
		return true
	case Tiered, LeastRequest:
		return false
	}
	return false
}

// reservedSlots returns the number of slots that the request must leave free on a server.
//
// The highest tier may use every slot, the lowest must leave all reserved slots free, and
// the tiers between them a part in proportion to their rank.
func (s State) reservedSlots(r *QueuedRequest) int32 {
	lowest := int32(len(s.ranks)) - 1
	reserve := min(s.pool.ReservedSlots(), s.pool.Slots()-1)
	if s.usesSlotShare() {
		// A share of a few slots would leave nothing for lower tiers.
		reserve = 0
	}
	if lowest <= 0 || reserve <= 0 {
		return 0
	}
	if r.long {
		return reserve
	}
	return (reserve*int32(slices.Index(s.ranks, r.class.Rank)) + lowest - 1) / lowest
}

// assignLeastRequest implements the baseline that grants immediately, regardless of free slots.
func (s State) assignLeastRequest(now hoist.Millis, effects []Effect) (State, []Effect) {
	for s.queued.Len() > 0 {
		cursors := s.cursors()
		for i := range cursors {
			if s.classStates[cursors[i].class].queues[cursors[i].queue].First().sequence < s.classStates[cursors[0].class].queues[cursors[0].queue].First().sequence {
				cursors[0] = cursors[i]
			}
		}
		r := s.classStates[cursors[0].class].queues[cursors[0].queue].First()
		servers := s.table.Servers()
		best := -1
		for i := range servers.Len() {
			if !s.acceptsWork(i) || avoids(r.ask, s.counts[i].name) {
				continue
			}
			if best < 0 || servers.At(i).Running().Len() < servers.At(best).Running().Len() {
				best = i
			}
		}
		if best < 0 {
			s, effects = s.reject(r, value.RefusalReasonUnavailable, hoist.Second, effects)
			continue
		}
		s, effects = s.grant(r, servers.At(best).Instance(), now, effects)
	}
	return s, effects
}
