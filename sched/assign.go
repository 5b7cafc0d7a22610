package sched

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

const (
	// lookahead bounds the requests that one event tries in vain, because placement may hold several
	// of them back for particular servers and a decision must stay within a few microseconds.
	lookahead = 8
	// againAfter is the time after which requests are tried again while placement holds slots back
	// without a stated end, such as the trial of a server that was down.
	againAfter hoist.Millis = 100
)

// cursor is a position in one lane during an assignment.
type cursor struct {
	ledger int
	kind   laneKind
	at     int
	// blocked cursors have no request that can be placed now.
	blocked bool
}

// assign grants servers to waiting requests.
func (s State) assign(now hoist.Millis, effects []Effect) (State, []Effect) {
	s.again = 0
	if s.view == nil || s.waits.Len() == 0 || now < s.quiet {
		return s, effects
	}
	s.quiet = 0
	s = s.reap(now)
	switch s.policy.(type) {
	case LeastRequest:
		return s.push(now, effects)
	case Tiered, LocalShare, TierFIFO:
	}
	r := s.room()
	switch {
	case !r.open && !r.trial:
		return s.refuseAll(effects)
	case r.total == 0 && !r.trial:
		return s, effects
	}
	return s.fill(r, now, effects)
}

// fill grants the free slots in order.
func (s State) fill(r room, now hoist.Millis, effects []Effect) (State, []Effect) {
	cursors := s.cursors()
	alone := false
	for tries := 0; tries < lookahead; {
		at := s.pick(cursors)
		if at < 0 {
			break
		}
		c := &cursors[at]
		w := s.ledgers[c.ledger].lanes[c.kind].At(c.at)
		if alone && w.ask.Alone() {
			// One suspect at a time waits for an empty server; the others must not use up the search.
			c.at++
			c.blocked = c.at >= s.ledgers[c.ledger].lanes[c.kind].Len()
			continue
		}
		owed := managed(s.policy) && s.ledgers[c.ledger].owed(s.total)
		switch x := s.choose(w, owed, r, now).(type) {
		case placed:
			s = s.checkWait(cursors, c.ledger)
			s, effects = s.grant(w, x.on, now, effects)
			if r = s.room(); r.total == 0 {
				return s, effects
			}
		case full:
			s.block(cursors, *c, owed)
		case held:
			s = s.hold(w, x, now)
			c.at++
			tries++
			alone = alone || w.ask.Alone()
		case closed:
			s, effects = s.refuse(w, value.RefusalReasonUnavailable, hoist.Second, effects)
		}
		c.blocked = c.blocked || c.at >= s.ledgers[c.ledger].lanes[c.kind].Len()
	}
	return s, effects
}

// hold notes when a request that placement holds back is tried again; a server is
// reserved for a request that must run alone, or a loaded shard would never empty one.
func (s State) hold(w *QueuedRequest, x held, now hoist.Millis) State {
	if w.ask.Alone() && managed(s.policy) {
		s = s.withTable(s.table.Reserve(place.Requirements{Ask: w.ask, Rank: w.class.Rank}, now))
	}
	until := now + againAfter
	if x.until > now {
		until = x.until
	}
	if s.again == 0 || until < s.again {
		s.again = until
	}
	return s
}

// follow keeps a server that has run a suspect alone for the next suspect, while it is empty.
func (s State) follow(now hoist.Millis) State {
	var next *QueuedRequest
	for w := range s.waits.All() {
		if w.ask.Alone() && (next == nil || w.older(next)) {
			next = w
		}
	}
	if next == nil || !managed(s.policy) {
		return s
	}
	return s.withTable(s.table.Reserve(place.Requirements{Ask: next.ask, Rank: next.class.Rank}, now))
}

// refuseAll refuses every request, because no server takes work.
func (s State) refuseAll(effects []Effect) (State, []Effect) {
	for _, l := range s.ledgers {
		for _, x := range l.lanes {
			for w := range x.All() {
				s, effects = s.refuse(w, value.RefusalReasonUnavailable, hoist.Second, effects)
			}
		}
	}
	return s, effects
}

// block ends the search in every lane that has no more right to a slot than the given one.
//
// The reserve grows from tier to tier, so a request without room leaves none for lower tiers.
func (s State) block(cursors []cursor, c cursor, owed bool) {
	rank := s.ledgers[c.ledger].class.Rank
	for i := range cursors {
		x := &cursors[i]
		l := s.ledgers[x.ledger]
		switch {
		case c.kind == laneLong:
			x.blocked = x.blocked || (x.kind == laneLong && (owed || (l.class.Rank >= rank && !l.owed(s.total))))
		case owed:
			x.blocked = true
		default:
			x.blocked = x.blocked || (l.class.Rank >= rank && !l.owed(s.total))
		}
	}
}

// cursors returns one cursor for each lane that holds requests.
func (s State) cursors() []cursor {
	all := make([]cursor, 0, len(s.ledgers)*int(laneKinds))
	for i, l := range s.ledgers {
		for k, x := range l.lanes {
			if x.Len() > 0 {
				all = append(all, cursor{ledger: i, kind: laneKind(k)})
			}
		}
	}
	return all
}

// pick returns the index of the cursor whose request goes next, or -1.
func (s State) pick(cursors []cursor) int {
	best := -1
	for i := range cursors {
		if cursors[i].blocked {
			continue
		}
		if best < 0 || s.before(cursors[i], cursors[best]) {
			best = i
		}
	}
	return best
}

// before reports whether the request at a goes before that at b: classes that are owed
// in the order in which they became owed, then tiers, then least slack.
func (s State) before(a, b cursor) bool {
	x, y := s.ledgers[a.ledger], s.ledgers[b.ledger]
	v, w := x.lanes[a.kind].At(a.at), y.lanes[b.kind].At(b.at)
	if !managed(s.policy) {
		return cmp.Or(cmp.Compare(x.class.Rank, y.class.Rank), cmp.Compare(v.since, w.since), cmp.Compare(v.order, w.order)) < 0
	}
	owed := x.owed(s.total)
	if owed != y.owed(s.total) {
		return owed
	}
	if owed && a.ledger != b.ledger {
		return cmp.Or(cmp.Compare(x.owedSince(), y.owedSince()), cmp.Compare(a.ledger, b.ledger)) < 0
	}
	return cmp.Or(cmp.Compare(x.class.Rank, y.class.Rank), cmp.Compare(v.due(), w.due()), cmp.Compare(v.order, w.order)) < 0
}

// grant gives the server to the request.
func (s State) grant(w *QueuedRequest, on value.Instance, now hoist.Millis, effects []Effect) (State, []Effect) {
	rank := w.class.Rank
	s = s.forget(w.attempt())
	if i, ok := s.classes[w.ask.Class()]; ok {
		s = s.withLedger(i, s.ledgers[i].withGrant(s.total))
	}
	s = s.start(&job{ask: w.ask, rank: rank, server: on.Name(), started: now, heard: now, order: w.order, long: w.long}, now)
	g := value.Grant{}.WithAttempt(w.attempt()).WithServer(on.Name()).WithAddress(on.Address()).
		WithPriority(rank).WithHedgeMs(s.hedgeAfter(w)).WithShard(s.shard)
	return s, append(effects, g)
}

// start records a job on its server.
func (s State) start(j *job, now hoist.Millis) State {
	s.pace = s.pace.with(s.jobs.Len(), 0, now)
	s.jobs = s.jobs.With(j)
	s = s.withTable(s.table.Start(j.server, place.NewRunningAttempt(j.ask, j.rank, j.started).WithTokens(j.tokens)))
	if j.long {
		s = s.countLong(j, 1)
	}
	if j.ask.Alone() {
		s = s.withSeat(j.server, 0, 1)
	}
	return s
}

// hedgeAfter returns the hedge time of a grant; hedges are forbidden while requests wait for slots.
func (s State) hedgeAfter(w *QueuedRequest) int64 {
	if !managed(s.policy) || !w.ask.Repeatable() || w.ask.Hedge() || w.retried() || s.waits.Len() > 0 {
		return 0
	}
	return s.first.hedge()
}

// hedgePermille returns the percentile of the first-token time that hedges wait for.
func (s State) hedgePermille() int32 {
	if s.view != nil && s.view.Policy().HedgePermille() > 0 {
		return s.view.Policy().HedgePermille()
	}
	return defaultHedgePermille
}

// room is the number of free slots of each server, in the order of the server table.
type room struct {
	free  []int32
	total int32
	// open is set while any server takes new work, full or not.
	open bool
	// trial is set while a server is down, because placement may try it with one request.
	trial bool
}

// room returns the slots that may be granted.
func (s State) room() room {
	servers := s.table.Servers()
	r := room{free: make([]int32, servers.Len())}
	for i := range r.free {
		v := servers.At(i)
		switch v.Status() {
		case place.StatusReady, place.StatusProbation:
			r.open = true
		case place.StatusDown:
			r.trial = true
			continue
		case place.StatusLeaving:
			continue
		}
		n := v.FreeSlots()
		if n == 0 || s.seats[i].alone > 0 {
			continue
		}
		if own := share(s.policy, v.Slots(), i); own < v.Slots() {
			n = max(0, min(n, own-int32(v.Running().Len())))
		}
		r.free[i] = n
		r.total += n
	}
	return r
}

// answer is the result of choose.
//
//sumtype:decl
type answer interface{ isAnswer() }

// placed means that the request may start on the instance.
type placed struct{ on value.Instance }

// full means that no server has room for requests of this kind.
type full struct{}

// held means that there is room, but not on a server that suits this request now.
type held struct {
	// until is the time at which the choice changes without another event, or zero.
	until hoist.Millis
}

// closed means that no server that suits the request takes work.
type closed struct{}

func (placed) isAnswer() {}
func (full) isAnswer()   {}
func (held) isAnswer()   {}
func (closed) isAnswer() {}

// choose asks placement for a server among those that the request may use.
func (s State) choose(w *QueuedRequest, owed bool, r room, now hoist.Millis) answer {
	need := place.Requirements{Ask: w.ask, Rank: w.class.Rank, Long: w.long && managed(s.policy), ArrivedAt: w.since}
	if managed(s.policy) && !owed {
		need.ReservedSlots = s.reserve(w)
	}
	allowed, barred := s.allowed(w, need.ReservedSlots, r)
	switch {
	case !r.trial && !s.usable(w):
		return closed{}
	case !allowed && !r.trial:
		return full{}
	}
	if len(barred) > 0 {
		need.Ask = w.ask.WithAvoid(w.ask.Avoid().Append(barred...))
	}
	switch c := s.table.Choose(need, now).(type) {
	case place.Chosen:
		return placed{c.Server.Instance()}
	case place.Busy:
		if !allowed {
			return full{}
		}
		return held{c.RetryAt}
	case place.Unavailable:
		// Some of the servers may only be barred for now.
		if s.usable(w) {
			return held{}
		}
	}
	return closed{}
}

// usable reports whether any server that the request may use takes work at all.
func (s State) usable(w *QueuedRequest) bool {
	for i := range s.seats {
		if s.open(i) && !avoids(w.ask, s.seats[i].name) {
			return true
		}
	}
	return false
}

// avoids reports whether the request must not use the server.
func avoids(a value.Ask, server string) bool {
	for i := range a.Avoid().Len() {
		if a.Avoid().At(i) == server {
			return true
		}
	}
	return false
}

// allowed reports whether any server has room for the request, and names those that look
// free to placement but have no room within this router's share.
func (s State) allowed(w *QueuedRequest, spare int32, r room) (any bool, barred []string) {
	limit := s.pool.LongCap()
	for i, n := range r.free {
		if n == 0 && s.shared() && s.table.Servers().At(i).FreeSlots() > 0 {
			barred = append(barred, s.seats[i].name)
		}
		capped := w.long && limit > 0 && s.seats[i].long >= limit && managed(s.policy)
		any = any || (n > spare && !capped)
	}
	return any, barred
}

// shared reports whether the policy uses a share of the slots.
func (s State) shared() bool {
	switch s.policy.(type) {
	case LocalShare, TierFIFO:
		return true
	case Tiered, LeastRequest:
		return false
	}
	return false
}

// reserve returns the slots of a server that the request must leave free.
//
// The highest tier may use every slot; the lowest leaves the whole reserve, and
// the tiers between them a part of it in proportion to their place.
func (s State) reserve(w *QueuedRequest) int32 {
	last := int32(len(s.ranks)) - 1
	full := min(s.pool.ReservedSlots(), s.pool.Slots()-1)
	if s.shared() {
		// A share of a few slots would have nothing left for lower tiers.
		full = 0
	}
	if last <= 0 || full <= 0 {
		return 0
	}
	if w.long {
		return full
	}
	return (full*int32(slices.Index(s.ranks, w.class.Rank)) + last - 1) / last
}

// push is the baseline that grants at once, without regard to free slots.
func (s State) push(now hoist.Millis, effects []Effect) (State, []Effect) {
	for s.waits.Len() > 0 {
		cursors := s.cursors()
		for i := range cursors {
			if s.ledgers[cursors[i].ledger].lanes[cursors[i].kind].First().order < s.ledgers[cursors[0].ledger].lanes[cursors[0].kind].First().order {
				cursors[0] = cursors[i]
			}
		}
		w := s.ledgers[cursors[0].ledger].lanes[cursors[0].kind].First()
		servers := s.table.Servers()
		best := -1
		for i := range servers.Len() {
			if !s.open(i) || avoids(w.ask, s.seats[i].name) {
				continue
			}
			if best < 0 || servers.At(i).Running().Len() < servers.At(best).Running().Len() {
				best = i
			}
		}
		if best < 0 {
			s, effects = s.refuse(w, value.RefusalReasonUnavailable, hoist.Second, effects)
			continue
		}
		s, effects = s.grant(w, servers.At(best).Instance(), now, effects)
	}
	return s, effects
}
