package assign

import (
	"cmp"
	"iter"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// State is the immutable state of one shard: its servers, the requests running there, and the queue.
type State struct {
	servers value.List[server]
	// waiting is the queue, in the order of queueOrder.
	waiting value.List[value.Work]
	cache   promptCache
	// retryBudget holds the retries that the state may still grant.
	retryBudget retry.Bucket
	retryLimits RetryLimits
	coldLimits  ColdLimits
	// unlisted are servers that were listed before, the last removed one last.
	unlisted value.List[server]
	// learned is set once the state has had servers.
	learned bool
	// heldBack is the number of queued requests that only the limits on cold servers hold back.
	heldBack int
	rules    Rules
	refusals refusals
	// delays are the learned delays of ranks.
	delays value.List[rankDelay]
	// local is set if the state places only requests of its own instance that reach no owner; see LocalPlacementChanged.
	local bool
}

// New returns the state of a shard without servers.
func New() State {
	return State{cache: newPromptCache(), retryBudget: retry.NewBucket(initialRetries, initialRetries)}
}

// Waiting returns the number of queued requests.
func (s State) Waiting() int { return s.waiting.Len() }

// Running returns the number of requests at servers.
func (s State) Running() int {
	n := 0
	for x := range s.servers.All() {
		n += x.runs.Len()
	}
	return n
}

// Listed reports whether the server list of the shard is not empty.
func (s State) Listed() bool { return s.servers.Len() > 0 }

// Work returns the request that runs at a server.
func (s State) Work(id uint64) (value.Work, bool) {
	for x := range s.servers.All() {
		if i := x.find(id); i >= 0 {
			return x.runs.At(i).work, true
		}
	}
	return value.Work{}, false
}

// Sustains reports whether a server has been running a request for which has is true for a time, and has begun its response.
func (s State) Sustains(has func(value.Work) bool, now hoist.Millis) bool {
	for x := range s.servers.All() {
		for r := range x.runs.All() {
			if r.responded && now-r.placedAt >= sustainedTime && has(r.work) {
				return true
			}
		}
	}
	return false
}

// Runs reports whether the request runs at a server.
func (s State) Runs(id uint64) bool {
	for x := range s.servers.All() {
		if x.find(id) >= 0 {
			return true
		}
	}
	return false
}

// Servers returns the listed servers.
func (s State) Servers() iter.Seq[value.BackendServer] {
	return func(yield func(value.BackendServer) bool) {
		for x := range s.servers.All() {
			if !yield(x.entry) {
				return
			}
		}
	}
}

// Server returns the listed server with the id.
func (s State) Server(id string) (value.BackendServer, bool) {
	for x := range s.servers.All() {
		if x.entry.Id() == id {
			return x.entry, true
		}
	}
	return value.BackendServer{}, false
}

// Holding returns the reconciliation list that the origin sends to the shard owner: the IDs of the requests that the
// owner granted, and all other requests complete and with times relative to now.
func (s State) Holding(origin, owner string, now hoist.Millis) (granted value.List[uint64], runs value.List[value.PlaceRun]) {
	var ids []uint64
	var others []value.PlaceRun
	for x := range s.servers.All() {
		for r := range x.runs.All() {
			switch {
			case r.work.Origin() != origin:
			case r.grantedBy == owner:
				ids = append(ids, r.work.Id())
			default:
				others = append(others, value.PlaceRun{}.WithWork(WithRelativeTimes(r.work, now)).WithServer(x.entry.Id()).WithFresh(r.uncached).WithBegan(r.responded))
			}
		}
	}
	return value.ListOf(ids...), value.ListOf(others...)
}

// WithRelativeTimes returns the request with times relative to now, as they are sent between instances.
func WithRelativeTimes(w value.Work, now hoist.Millis) value.Work {
	return w.WithArrivedMs(w.ArrivedMs() - int64(now)).WithEndMs(w.EndMs() - int64(now))
}

// WithAbsoluteTimes is the inverse of WithRelativeTimes.
func WithAbsoluteTimes(w value.Work, now hoist.Millis) value.Work {
	return w.WithArrivedMs(w.ArrivedMs() + int64(now)).WithEndMs(w.EndMs() + int64(now))
}

// Decide applies the event and returns the next state and the effects to carry out.
func (s State) Decide(e Event, now hoist.Millis) (State, []Effect) {
	var effects []Effect
	switch e := e.(type) {
	case Submitted:
		s, effects = s.submit(e.Work, now)
	case Cancelled:
		s = s.withoutWaiting(e.ID)
	case Responded:
		s = s.withFirstEvent(e, now)
	case Finished:
		s = s.withFinished(e, now)
	case ServersUpdated:
		s, effects = s.withServers(e, now).withTakenCold(s, now)
	case Placed:
		s = s.withReportedRun(e.Run, e.By, now)
	case RunsReported:
		s = s.withReconciled(e, now)
	case InstanceLost:
		s = s.withoutInstance(e.Origin)
	case LeavingReported:
		s = s.withServer(e.Server, server.withLeaving)
	case Paused:
		s = s.withServer(e.Server, func(x server) server { return x.withPause(e.Origin, e.Until, now) })
	case RetryLimitsChanged:
		s = s.withRetryLimits(e.Limits)
	case ColdReported:
		s, effects = s.withColdReported(e, now).withTakenCold(s, now)
	case DownReported:
		s, effects = s.withDown(e.Server, now).withTakenCold(s, now)
	case ColdLimitsChanged:
		s.coldLimits = e.Limits
	case RulesChanged:
		s = s.withRules(e.Rules)
	case LocalPlacementChanged:
		s.local = e.Local
	case Ticked:
	}
	s, more := s.schedule(now)
	effects = append(effects, more...)
	if e, ok := e.(Submitted); ok && s.isQueued(e.Work.Id()) {
		effects = append(effects, Queued{e.Work.Id(), e.Work.Origin()})
	}
	return s, effects
}

// withFirstEvent returns a copy after the response to a request has begun.
func (s State) withFirstEvent(e Responded, now hoist.Millis) State {
	rate, learned := s.promptRate(), s
	s = s.withServerOf(e.ID, func(x server) server {
		learned = s.withDelay(x, e.ID, rate, now)
		x = x.withFirstResponse(e.ID, s.coldLimits, now).withSample(e.ID, rate, now).withResponse(e.ID)
		if e.Loaded {
			x = x.withLoad(e.Load, now)
		}
		return x
	})
	s.delays = learned.delays
	return s
}

// isQueued reports whether the request is in the queue.
func (s State) isQueued(id uint64) bool {
	for w := range s.waiting.All() {
		if w.Id() == id {
			return true
		}
	}
	return false
}

// Wake returns the time of the next Ticked event; it returns false if no request is queued.
func (s State) Wake(now hoist.Millis) (hoist.Millis, bool) {
	if s.waiting.Len() == 0 {
		return 0, false
	}
	return now + queuePollInterval, true
}

// submit queues a request, unless it is a retry that the budget does not cover. If the request already runs, its grant is
// repeated.
func (s State) submit(w value.Work, now hoist.Millis) (State, []Effect) {
	for x := range s.servers.All() {
		if i := x.find(w.Id()); i >= 0 {
			return s, []Effect{Grant{w.Id(), w.Origin(), x.entry, Estimate{UncachedTokens: x.runs.At(i).uncached}}}
		}
	}
	if !s.isQueued(w.Id()) {
		var refusal []Effect
		if s, refusal = s.refuseEarly(w, now); len(refusal) > 0 {
			return s, refusal
		}
		var ok bool
		if s, ok = s.charged(w); !ok {
			return s, []Effect{Refuse{ID: w.Id(), Origin: w.Origin(), After: RetryAfter(hoist.Millis(w.EndMs()), now), Reason: RetryLimit}}
		}
	}
	s = s.withoutWaiting(w.Id())
	at, _ := slices.BinarySearchFunc(slices.Collect(s.waiting.All()), w, s.queueOrder())
	s.waiting = s.waiting.Insert(at, w)
	return s, nil
}

// compareWork orders requests by rank, then by arrival, then by ID.
func compareWork(a, b value.Work) int {
	return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.ArrivedMs(), b.ArrivedMs()), cmp.Compare(a.Id(), b.Id()))
}

// withoutWaiting returns a copy without the queued request.
func (s State) withoutWaiting(id uint64) State {
	for i := range s.waiting.Len() {
		if s.waiting.At(i).Id() == id {
			s.waiting = s.waiting.Without(i)
			return s
		}
	}
	return s
}

// withServerOf returns a copy in which change is applied to the server that runs the request.
func (s State) withServerOf(id uint64, change func(server) server) State {
	for i := range s.servers.Len() {
		if x := s.servers.At(i); x.find(id) >= 0 {
			s.servers = s.servers.With(i, change(x))
			return s
		}
	}
	return s
}

// withServer returns a copy in which change is applied to the listed server with the id.
func (s State) withServer(id string, change func(server) server) State {
	for i := range s.servers.Len() {
		if x := s.servers.At(i); x.entry.Id() == id {
			s.servers = s.servers.With(i, change(x))
			return s
		}
	}
	return s
}

// withServers returns a copy with the servers of the list. The state of a server is kept unless the server was
// restarted or has moved to another address; its grants always count.
func (s State) withServers(u ServersUpdated, now hoist.Millis) State {
	known := map[string]server{}
	for x := range s.servers.All() {
		known[x.entry.Id()] = x
	}
	var servers []server
	for e := range u.Servers.All() {
		x, ok := known[e.Id()]
		if !ok {
			x, ok = s.relisted(e)
		}
		x.cold = s.coldAfter(x, ok, e, u, now)
		if !ok || x.entry.Born() != e.Born() || x.entry.Address() != e.Address() {
			x = server{cold: x.cold, grants: x.grants}
		}
		x.entry = e
		if x.leaving {
			x = x.withLeaving()
		}
		servers = append(servers, x)
		delete(known, e.Id())
	}
	s = s.withUnlisted(known, u)
	s.servers, s.learned = value.ListOf(servers...), s.learned || len(servers) > 0
	return s
}

// withReportedRun returns a copy in which the request runs at the reported server.
func (s State) withReportedRun(p value.PlaceRun, by string, now hoist.Millis) State {
	s = s.withoutWaiting(p.Work().Id())
	for i := range s.servers.Len() {
		x := s.servers.At(i)
		if x.entry.Id() == p.Server() && x.find(p.Work().Id()) < 0 {
			return s.withPlaced(i, run{work: p.Work(), uncached: p.Fresh(), responded: p.Began(), placedAt: now, grantedBy: by}, now)
		}
	}
	return s
}

// withPlaced returns a copy in which the server at the index runs one more request and caches its prompt parts,
// except the last one.
func (s State) withPlaced(at int, r run, now hoist.Millis) State {
	x := s.servers.At(at)
	s.servers = s.servers.With(at, x.withRun(r).withGrant(r, s.coldLimits))
	for i := range r.work.Parts().Len() - 1 {
		s.cache = s.cache.with(r.work.Parts().At(i).Id(), x.entry.Id(), now)
	}
	return s
}

// withReconciled returns a copy whose running requests of an instance are those of its reconciliation list.
func (s State) withReconciled(e RunsReported, now hoist.Millis) State {
	ids := map[uint64]bool{}
	for id := range e.Granted.All() {
		ids[id] = true
	}
	for r := range e.Runs.All() {
		ids[r.Work().Id()] = true
	}
	for i := range s.servers.Len() {
		s.servers = s.servers.With(i, s.servers.At(i).withReportedRuns(e.Origin, ids, now))
	}
	for r := range e.Runs.All() {
		s = s.withReportedRun(r.WithWork(WithAbsoluteTimes(r.Work(), now)), "", now)
	}
	return s
}

// withoutInstance returns a copy without the requests of a lost instance. Requests of other instances that it granted
// count as ungranted, so that the reconciliation list reports them complete to the next owner.
func (s State) withoutInstance(origin string) State {
	for i := range s.servers.Len() {
		s.servers = s.servers.With(i, s.servers.At(i).withReportedRuns(origin, nil, hoist.Millis(1)<<62).withoutGrants(origin))
	}
	var waiting []value.Work
	for w := range s.waiting.All() {
		if w.Origin() != origin {
			waiting = append(waiting, w)
		}
	}
	s.waiting = value.ListOf(waiting...)
	return s
}

// schedule grants servers to queued requests and rejects those that cannot run before their deadline.
func (s State) schedule(now hoist.Millis) (State, []Effect) {
	var effects []Effect
	s.heldBack = 0
	for i := 0; i < s.waiting.Len(); {
		w := s.waiting.At(i)
		at, basis := s.choose(w, now)
		switch {
		case at >= 0:
			effects = append(effects, Grant{w.Id(), w.Origin(), s.servers.At(at).entry, basis})
			expected := s.expectedTokens(s.servers.At(at), w, basis.UncachedTokens, now)
			s = s.withPlaced(at, run{work: w, uncached: basis.UncachedTokens, placedAt: now, expectedTokens: expected}, now)
		case now >= queueDeadline(w) || !s.hasUsableServer(w):
			effects = append(effects, Refuse{ID: w.Id(), Origin: w.Origin(), After: RetryAfter(hoist.Millis(w.EndMs()), now), Reason: s.rejectReason(w)})
		default:
			if s.isHeldBack(w, now) {
				s.heldBack++
			}
			i++
			continue
		}
		s.waiting = s.waiting.Without(i)
	}
	return s, effects
}

// hasUsableServer reports whether the shard has a server that could take the request, now or before its deadline.
func (s State) hasUsableServer(w value.Work) bool {
	for x := range s.servers.All() {
		if availableBefore(x, w, queueDeadline(w)) {
			return true
		}
	}
	return false
}

// rejectReason returns why no server was found for the request.
func (s State) rejectReason(w value.Work) Reason {
	if s.hasUsableServer(w) {
		return Overload
	}
	return NoServer
}
