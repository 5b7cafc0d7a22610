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
	// queuePerSlot bounds the queue at several times the work that the slots hold; a
	// longer queue only holds requests that cannot be served within any target.
	queuePerSlot = 8
	// minQueue and maxQueue bound the queue of very small and very large shards.
	minQueue = 64
	maxQueue = 4096
	// defaultLongAfter is the policy's long_after_tokens when it states none.
	defaultLongAfter = 512
)

// seat is what the scheduler knows about one server beside the server table.
type seat struct {
	name string
	// long counts the long attempts on the server.
	long int32
	// alone counts the attempts that must have the server to themselves.
	alone int32
}

// State is the immutable scheduling state of one shard.
type State struct {
	shard  string
	policy Policy
	view   *config.View
	pool   value.Pool
	table  place.Table
	seats  []seat
	// ledgers are ordered by rank and name; classes maps the name to the position.
	ledgers []*ledger
	classes map[string]int
	ranks   []int32
	waits   index[*QueuedRequest]
	jobs    index[*job]
	settled memory
	// total counts the tokens that the shard has generated.
	total int64
	// order numbers the asks.
	order uint64
	pace  pace
	first firstToken
	// budget is the waste that preemption may cause, in thousandths of a token.
	budget int64
	// freeing counts the attempts that are preempted and have not ended.
	freeing int
	// quiet is the time until which no grant is given after a takeover.
	quiet hoist.Millis
	// silence is the time after which a silent attempt loses its slot; reaped is the time of the last search.
	silence hoist.Millis
	reaped  hoist.Millis
	// again is the time at which a request is tried again although no event frees a slot, or zero.
	again hoist.Millis
}

// New returns the state of a shard that has no configuration yet; it refuses every request.
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

// GeneratedTokens returns the tokens that the shard has generated since this state began.
func (s State) GeneratedTokens() int64 { return s.total }

// Queue returns the waiting requests by tier and slack; it copies the queue and is meant for operators.
func (s State) Queue() value.List[QueuedRequest] {
	all := make([]QueuedRequest, 0, s.waits.Len())
	for w := range s.waits.All() {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b QueuedRequest) int {
		return cmp.Or(cmp.Compare(a.class.Rank, b.class.Rank), cmp.Compare(a.due(), b.due()), cmp.Compare(a.order, b.order))
	})
	return value.ListOf(all...)
}

// Backlog returns the summary of the queue that routers spread.
func (s State) Backlog() value.Backlog {
	var top int32
	for _, l := range s.ledgers {
		top = max(top, l.class.Rank)
	}
	waiting := make([]int32, top)
	for _, l := range s.ledgers {
		if l.class.Rank > 0 {
			waiting[l.class.Rank-1] += int32(l.waiting())
		}
	}
	return value.Backlog{}.WithShard(s.shard).WithWaiting(value.ListOf(waiting...)).
		WithBusy(int32(s.jobs.Len())).WithSlots(s.slots())
}

// WaitBound returns the longest time that a class which keeps asking waits for a slot,
// or false for an unknown class.
//
// It holds while the shard generates at the pool's stated speed; gap is the longest
// time between two moments at which a slot that the class may use becomes free.
func (s State) WaitBound(class string, gap hoist.Millis) (hoist.Millis, bool) {
	i, ok := s.classes[class]
	speed := speed(s.pool) * int64(s.slots())
	if !ok || speed == 0 {
		return 0, false
	}
	earn := s.ledgers[i].bound()*1000/speed + 1
	return hoist.Millis(earn) + gap*hoist.Millis(len(s.ledgers)), true
}

// Wake returns the time at which the state wants a Ticked event, or false.
func (s State) Wake() (hoist.Millis, bool) {
	if s.waits.Len() == 0 {
		return 0, false
	}
	at := hoist.Millis(math.MaxInt64)
	if s.quiet > 0 {
		at = s.quiet
	}
	if s.again > 0 {
		at = min(at, s.again)
	}
	for _, l := range s.ledgers {
		for _, x := range l.lanes {
			if x.Len() > 0 {
				at = min(at, s.deadline(x.First()))
			}
		}
	}
	return at, true
}

// deadline returns the time at which the request is refused if it still waits.
//
// A request that has waited up to its target less the usual first-token time cannot
// meet the target any more; batch classes and requests that have run before have no such limit.
func (s State) deadline(w *QueuedRequest) hoist.Millis {
	last := w.since + maxWait(w.class)
	target := hoist.Millis(w.class.FirstTokenMs())
	if target == 0 || w.class.Batch() || w.retried() || !managed(s.policy) {
		return last
	}
	// At least half of the target remains for the queue, so that slow engines do not close it.
	return min(last, w.since+target-min(s.first.expected(), target/2))
}

// slots returns the slots that the policy may use on servers that take work.
func (s State) slots() int32 {
	var n int32
	for i := range s.table.Servers().Len() {
		if s.open(i) {
			n += share(s.policy, s.table.Servers().At(i).Slots(), i)
		}
	}
	return n
}

// open reports whether the server at the index takes new work.
func (s State) open(i int) bool {
	switch s.table.Servers().At(i).Status() {
	case place.StatusReady, place.StatusProbation:
		return true
	case place.StatusLeaving, place.StatusDown:
		return false
	}
	return false
}

// queueLimit returns the largest number of waiting requests.
func (s State) queueLimit() int {
	n := s.table.Servers().Len() * int(s.pool.Slots()) * queuePerSlot
	return min(max(n, minQueue), maxQueue)
}

// longAfter returns the tokens above which a request is long.
func (s State) longAfter() int32 {
	if s.view != nil && s.view.Policy().LongAfterTokens() > 0 {
		return s.view.Policy().LongAfterTokens()
	}
	return defaultLongAfter
}

// seatOf returns the index of the named server's seat, or -1.
func (s State) seatOf(server string) int {
	return slices.IndexFunc(s.seats, func(x seat) bool { return x.name == server })
}

// withTable returns a copy with the table replaced.
func (s State) withTable(t place.Table) State {
	s.table = t
	return s
}

// withLedger returns a copy with one ledger replaced.
func (s State) withLedger(i int, l *ledger) State {
	s.ledgers = slices.Clone(s.ledgers)
	s.ledgers[i] = l
	return s
}

// withSeat returns a copy with the counts of the named server changed.
func (s State) withSeat(server string, long, alone int32) State {
	i := s.seatOf(server)
	if i < 0 || (long == 0 && alone == 0) {
		return s
	}
	s.seats = slices.Clone(s.seats)
	s.seats[i].long += long
	s.seats[i].alone += alone
	return s
}

// withTokens returns a copy that has generated more tokens; wastePermille of them may be wasted.
func (s State) withTokens(n int64) State {
	s.total += n
	s.budget = min(maxWaste*1000, s.budget+n*wastePermille)
	return s
}
