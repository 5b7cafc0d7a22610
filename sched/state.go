package sched

import (
	"cmp"
	"math"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxQueuedPerSlot limits the queue to several times the work that the slots hold; a
	// longer queue would only hold requests that cannot be served within any target.
	maxQueuedPerSlot = 8
	// minQueueLimit and maxQueueLimit bound the queue limit of very small and very large shards.
	minQueueLimit = 64
	maxQueueLimit = 4096
	// defaultLongAfterTokens replaces the policy's long_after_tokens if it states none.
	defaultLongAfterTokens = 512
)

// serverCounts holds the scheduler's counts for one server, beside the server table.
type serverCounts struct {
	name string
	// long counts the long attempts on the server.
	long int32
	// isolated counts the attempts that must run alone on the server.
	isolated int32
}

// State is the immutable scheduling state of one shard.
type State struct {
	shard  string
	policy Policy
	view   *config.View
	pool   value.Pool
	table  place.Table
	counts []serverCounts
	// classStates are ordered by rank and name; classIndex maps the name to the position.
	classStates []*classState
	classIndex  map[string]int
	ranks       []int32
	queued      index[*QueuedRequest]
	running     index[*runningAttempt]
	settled     settledSet
	// totalTokens counts the tokens that the shard has generated.
	totalTokens int64
	// lastSequence is the number of the last placement request or restored attempt.
	lastSequence uint64
	slotRate     slotRate
	firstToken   firstTokenStats
	// wasteBudget is the waste that preemption may still cause, in thousandths of a token.
	wasteBudget int64
	// pendingPreemptions counts the preempted attempts that have not ended.
	pendingPreemptions int
	// grantsPausedUntil is the time until which no grant is given after a takeover, or zero.
	grantsPausedUntil hoist.Millis
	// progressTimeout is the time after which an attempt without a report loses its slot; lastReap is the time of the
	// last search.
	progressTimeout hoist.Millis
	lastReap        hoist.Millis
	// retryAt is the time at which deferred requests are tried again although no event frees a slot, or zero.
	retryAt hoist.Millis
}

// New returns the state of a shard without a configuration; it rejects every request.
func New(shard string) State { return State{shard: shard, policy: Tiered{}} }

// WithPolicy returns a copy with the policy replaced.
func (s State) WithPolicy(p Policy) State {
	s.policy = p
	return s
}

// Policy returns the policy.
func (s State) Policy() Policy { return s.policy }

// Shard returns the key of the shard.
func (s State) Shard() string { return s.shard }

// Table returns the server table.
func (s State) Table() place.Table { return s.table }

// GeneratedTokens returns the tokens that the shard has generated since this state was created.
func (s State) GeneratedTokens() int64 { return s.totalTokens }

// Queue returns the queued requests by tier and target time. It copies the queue and is meant for operators.
func (s State) Queue() value.List[QueuedRequest] {
	all := make([]QueuedRequest, 0, s.queued.Len())
	for r := range s.queued.All() {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b QueuedRequest) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.targetTime(), b.targetTime()), cmp.Compare(a.sequence, b.sequence))
	})
	return value.ListOf(all...)
}

// Backlog returns the summary of the queue that routers publish.
func (s State) Backlog() value.Backlog {
	var top int32
	for _, cs := range s.classStates {
		top = max(top, cs.class.Rank)
	}
	waiting := make([]int32, top)
	for _, cs := range s.classStates {
		if cs.class.Rank > 0 {
			waiting[cs.class.Rank-1] += int32(cs.queuedCount())
		}
	}
	return value.Backlog{}.WithShard(s.shard).WithWaiting(value.ListOf(waiting...)).
		WithBusy(int32(s.running.Len())).WithSlots(s.slots())
}

// WaitBound returns the longest time that a class with queued requests waits for a slot,
// or false for an unknown class.
//
// It holds while the shard generates at the pool's stated speed. maxSlotGap is the longest
// time between two moments at which a slot that the class may use becomes free.
func (s State) WaitBound(class string, maxSlotGap hoist.Millis) (hoist.Millis, bool) {
	i, ok := s.classIndex[class]
	speed := tokensPerSecond(s.pool) * int64(s.slots())
	if !ok || speed == 0 {
		return 0, false
	}
	earningMs := s.classStates[i].waitBoundTokens()*1000/speed + 1
	return hoist.Millis(earningMs) + maxSlotGap*hoist.Millis(len(s.classStates)), true
}

// Wake returns the time at which the state needs a Ticked event, or false.
func (s State) Wake() (hoist.Millis, bool) {
	if s.queued.Len() == 0 {
		return 0, false
	}
	wake := hoist.Millis(math.MaxInt64)
	if s.grantsPausedUntil > 0 {
		wake = s.grantsPausedUntil
	}
	if s.retryAt > 0 {
		wake = min(wake, s.retryAt)
	}
	for _, cs := range s.classStates {
		for _, q := range cs.queues {
			if q.Len() > 0 {
				wake = min(wake, s.deadline(q.First()))
			}
		}
	}
	return wake, true
}

// deadline returns the time at which the request is rejected if it is still queued.
//
// A request that has waited up to its target less the usual first-token time can no longer meet
// the target. Batch classes and requests that may have run before have no such limit.
func (s State) deadline(r *QueuedRequest) hoist.Millis {
	latest := r.since + maxWait(r.class)
	target := hoist.Millis(r.class.FirstTokenMs())
	if target == 0 || r.class.Batch() || r.retried() || !managed(s.policy) {
		return latest
	}
	// At least half of the target remains for queueing, so that slow engines do not close the queue.
	return min(latest, r.since+target-min(s.firstToken.expected(), target/2))
}

// slots returns the slots that the policy may use on servers that accept work.
func (s State) slots() int32 {
	var n int32
	for i := range s.table.Servers().Len() {
		if s.acceptsWork(i) {
			n += slotShare(s.policy, s.table.Servers().At(i).Slots(), i)
		}
	}
	return n
}

// acceptsWork reports whether the server at the index accepts new work.
func (s State) acceptsWork(i int) bool {
	switch s.table.Servers().At(i).Status() {
	case place.StatusReady, place.StatusProbation:
		return true
	case place.StatusLeaving, place.StatusDown:
		return false
	}
	return false
}

// queueLimit returns the largest number of queued requests.
func (s State) queueLimit() int {
	n := s.table.Servers().Len() * int(s.pool.Slots()) * maxQueuedPerSlot
	return min(max(n, minQueueLimit), maxQueueLimit)
}

// longAfterTokens returns the attained service above which a request is long.
func (s State) longAfterTokens() int32 {
	if s.view != nil && s.view.Policy().LongAfterTokens() > 0 {
		return s.view.Policy().LongAfterTokens()
	}
	return defaultLongAfterTokens
}

// countsIndex returns the index of the named server's counts, or -1.
func (s State) countsIndex(server string) int {
	return slices.IndexFunc(s.counts, func(x serverCounts) bool { return x.name == server })
}

// withTable returns a copy with the table replaced.
func (s State) withTable(t place.Table) State {
	s.table = t
	return s
}

// withClassState returns a copy with one class state replaced.
func (s State) withClassState(i int, cs *classState) State {
	s.classStates = slices.Clone(s.classStates)
	s.classStates[i] = cs
	return s
}

// withCounts returns a copy with the counts of the named server changed.
func (s State) withCounts(server string, long, isolated int32) State {
	i := s.countsIndex(server)
	if i < 0 || (long == 0 && isolated == 0) {
		return s
	}
	s.counts = slices.Clone(s.counts)
	s.counts[i].long += long
	s.counts[i].isolated += isolated
	return s
}

// withTokens returns a copy that has generated more tokens, which add wastePermille of them to the waste budget.
func (s State) withTokens(n int64) State {
	s.totalTokens += n
	s.wasteBudget = min(maxWasteTokens*1000, s.wasteBudget+n*wastePermille)
	return s
}
