package place

import (
	"math"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Requirements is what an attempt asks of a server.
type Requirements struct {
	// Ask is the request of the attempt.
	Ask value.Ask
	// Rank of the request's tier; 1 is the highest.
	Rank int32
	// Long work counts against the long cap of a server.
	Long bool
	// ReservedSlots is the number of slots that must stay free on the server, for first tokens of higher tiers.
	ReservedSlots int32
	// ArrivedAt is the time when the request reached its gateway; without it the request does not wait for affinity.
	ArrivedAt hoist.Millis
}

// Choice is the result of Choose.
//
//sumtype:decl
type Choice interface{ isChoice() }

// Chosen is the server for the attempt.
type Chosen struct{ Server Server }

// Busy means that usable servers exist but none has a free slot for the need.
type Busy struct {
	// RetryAt is the time at which the choice changes without another event, or zero.
	RetryAt hoist.Millis
}

// Unavailable means that no server of the shard is usable.
type Unavailable struct{}

func (Chosen) isChoice()      {}
func (Busy) isChoice()        {}
func (Unavailable) isChoice() {}

const (
	// loadCost is the cost of a full server in milliseconds; one request on 16 slots costs 6 ms, more than a data centre's distance.
	loadCost = 100
	// distanceCost is the cost of leaving the gateway's data centre, in milliseconds: two ways of 1.5 ms.
	distanceCost = 3
	// slowCost is the cost of a server that is twice as slow as its peers, in milliseconds.
	slowCost = 100
	// prefixGain caps the saving of a cached prefix in milliseconds; it equals loadCost, so that a popular prefix spreads when its server fills up.
	prefixGain = loadCost
	// missingCost is the cost of a server that must load the adapter first, in milliseconds.
	missingCost = 500
	// defaultPrefill is the prompt cost in milliseconds per token until the shard has learnt its own.
	defaultPrefill = 0.1
	// topTierGrace is the time that a trial waits for a request of a lower tier before it takes one of the highest.
	topTierGrace = 3 * hoist.Second
)

// choice is the working state of one Choose.
type choice struct {
	table  *Table
	need   *Requirements
	now    hoist.Millis
	avoid  []string
	depth  [prefixBits]int16
	gain   float64
	carry  uint64
	loaded bool
}

// Choose returns the best server for the need.
func (t Table) Choose(n Requirements, now hoist.Millis) Choice {
	c := t.prepare(&n, now)
	ready, usable := false, false
	for s := range t.servers.All() {
		if st := s.record.status; c.allowed(s) && (st == StatusReady || st == StatusProbation) {
			usable = true
			ready = ready || st == StatusReady
		}
	}
	if s, ok := c.trial(ready); ok {
		return Chosen{s}
	}
	if !usable {
		return Unavailable{}
	}
	if n.Ask.Alone() && c.repeated() {
		return Busy{}
	}
	s, cost := c.best(true)
	if cost == math.MaxFloat64 {
		return Busy{}
	}
	if until := c.wait(cost); until > 0 {
		return Busy{RetryAt: until}
	}
	return Chosen{s}
}

// prepare looks up what the caches and weights of the shard mean for the need.
func (t *Table) prepare(n *Requirements, now hoist.Millis) *choice {
	c := &choice{table: t, need: n, now: now}
	if n.Ask.Avoid().Len() > 0 {
		c.avoid = collect(n.Ask.Avoid())
	}
	if l := n.Ask.Prefixes().Len(); l > 0 && t.prefixes.sets != nil {
		t.prefixes.depths(collect(n.Ask.Prefixes()), &c.depth)
		perToken := t.prefill.perToken()
		if perToken == 0 {
			perToken = defaultPrefill
		}
		c.gain = min(prefixGain, perToken*float64(n.Ask.PromptTokens())) / float64(l)
	}
	c.carry, c.loaded = t.carriers[n.Ask.Model()]
	return c
}

// allowed reports whether the request may use the server at all.
func (c *choice) allowed(s Server) bool {
	return len(c.avoid) == 0 || !slices.Contains(c.avoid, s.Name())
}

// trial returns a server on probation, or down and due for it, that may have one request, if the need suits.
//
// The highest tier is spared while lower tiers bring requests.
func (c *choice) trial(ready bool) (Server, bool) {
	if c.need.Ask.Alone() || c.need.Ask.Hedge() {
		return Server{}, false
	}
	for s := range c.table.servers.All() {
		due := s.record.due
		if c.need.Rank <= 1 && ready {
			due += topTierGrace
		}
		if due <= c.now && c.tries(s) && c.risks(s, ready) && c.allowed(s) && c.fits(s) {
			return s, true
		}
	}
	return Server{}, false
}

// tries reports whether the status of the server calls for a trial, and no other one is under way.
func (c *choice) tries(s Server) bool {
	switch s.record.status {
	case StatusProbation:
		return s.FreeSlots() > 0
	case StatusDown:
		return !s.trial()
	case StatusReady, StatusLeaving:
		return false
	}
	return false
}

// risks reports whether the request may be tried on a server on probation.
//
// A repeatable one may, because the server can fail again. Others need a sign of life after a
// failure, and on a straggler the lack of any ready server.
func (c *choice) risks(s Server, ready bool) bool {
	r := s.record
	if c.need.Ask.Repeatable() || r.proof > 0 {
		return true
	}
	return !ready && r.reason != ReasonRecovering && r.status != StatusDown
}

// fits reports whether the server's other work leaves room for the need, apart from free slots.
func (c *choice) fits(s Server) bool {
	if s.record.reserved > c.now && !c.need.Ask.Alone() {
		return false
	}
	if limit := c.table.rules.longCap; c.need.Long && limit > 0 && s.long(c.table.rules.longAfter) >= limit {
		return false
	}
	return !s.exclusive()
}

// best returns the cheapest server and its cost, over those with a free slot or over the full ones.
func (c *choice) best(free bool) (Server, float64) {
	best, least := Server{}, math.MaxFloat64
	for s := range c.table.servers.All() {
		if s.record.status != StatusReady || !c.allowed(s) || c.open(s) != free {
			continue
		}
		if x := c.cost(s); x < least {
			best, least = s, x
		}
	}
	return best, least
}

// open reports whether the server can take the need now.
func (c *choice) open(s Server) bool {
	if c.need.Ask.Alone() && (s.record.running.Len() > 0 || s.record.extra > 0) {
		return false
	}
	return s.FreeSlots() > c.need.ReservedSlots && c.fits(s)
}

// cost returns the expected delay on the server in milliseconds, relative to an idle healthy one nearby.
func (c *choice) cost(s Server) float64 {
	r := s.record
	x := loadCost * float64(int32(r.running.Len())+r.extra) / float64(max(1, s.usable()))
	if d := c.need.Ask.Datacentre(); d != "" && d != r.instance.Datacentre() {
		x += distanceCost
	}
	slow := float64(r.overdue)
	for m, a := range r.times {
		if a.known() {
			slow += max(0, ratio(a.fast, c.table.norms[m])-fineLimitRatio)
		}
	}
	return x + slowCost*slow - c.saving(s)
}

// saving returns what the caches and weights of the server save, in milliseconds; it is negative when it must load weights.
func (c *choice) saving(s Server) float64 {
	x := 0.0
	if s.record.bit >= prefixBits {
		return x
	}
	x += c.gain * float64(c.depth[s.record.bit])
	bit := uint64(1) << s.record.bit
	if c.need.Ask.Model() != "" && c.table.described&bit != 0 && c.carry&bit == 0 {
		x -= missingCost
	}
	return x
}

// wait returns the time until which a wait for a full server with affinity is worth more than the best free one, or zero.
func (c *choice) wait(cost float64) hoist.Millis {
	a := c.need.Ask
	bound := c.table.rules.AffinityWait()
	until := c.need.ArrivedAt + bound
	if c.need.ArrivedAt == 0 || a.Alone() || a.Hedge() || c.now >= until || (c.gain == 0 && !c.loaded) {
		return 0
	}
	if _, least := c.best(false); least == math.MaxFloat64 || least+float64(bound) >= cost {
		return 0
	}
	return until
}

// repeated reports whether the content of the need is already in progress on the shard.
//
// Two runs of a suspect at once could cost two servers before the first result is known.
func (c *choice) repeated() bool {
	f := c.need.Ask.Fingerprint()
	for s := range c.table.servers.All() {
		for r := range s.record.running.All() {
			if f != 0 && r.ask.Fingerprint() == f {
				return true
			}
		}
	}
	return false
}

// reserveTime bounds the time that a server is kept empty for a request that must run alone.
const reserveTime = 10 * hoist.Second

// Reserve keeps the least busy ready server free of new work until the need, which must run alone, can start there.
//
// Without it a busy shard never has an empty server. At most one server is reserved at a time.
func (t Table) Reserve(n Requirements, now hoist.Millis) Table {
	t = t.at(now)
	c := t.prepare(&n, now)
	best := -1
	for i := range t.servers.Len() {
		s := t.servers.At(i)
		if s.record.reserved > now {
			return t
		}
		// A server that already runs something alone may stay so for as long as the longest answer.
		if s.record.status != StatusReady || !c.allowed(s) || s.exclusive() {
			continue
		}
		if best < 0 || s.record.running.Len() < t.servers.At(best).record.running.Len() {
			best = i
		}
	}
	if best < 0 {
		return t
	}
	return t.put(best, t.servers.At(best).with(func(r *record) { r.reserved = now + reserveTime }))
}
