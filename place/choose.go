package place

import (
	"math"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Requirements states what an attempt requires of its server.
type Requirements struct {
	// Ask is the placement request of the attempt.
	Ask value.Ask
	// Rank is the rank of the request's tier; 1 is the highest.
	Rank int32
	// Long is set for long work, which counts against the long cap of a server.
	Long bool
	// ReservedSlots is the number of slots that must stay free on the server for first tokens of higher tiers.
	ReservedSlots int32
	// ArrivedAt is the time when the request reached its gateway. If it is zero, the request does not wait for a
	// server with affinity.
	ArrivedAt hoist.Millis
}

// Choice is the result of Choose.
//
//sumtype:decl
type Choice interface{ isChoice() }

// Chosen holds the server for the attempt.
type Chosen struct{ Server Server }

// Busy means that usable servers exist, but none can take the attempt now: none has a free slot for the requirements,
// a run of the same content that must run alone is in progress, or a wait for a server with affinity is worthwhile.
type Busy struct {
	// RetryAt is the time at which the choice changes without another event, or zero.
	RetryAt hoist.Millis
}

// Unavailable means that the attempt may use no server of the shard.
type Unavailable struct{}

func (Chosen) isChoice()      {}
func (Busy) isChoice()        {}
func (Unavailable) isChoice() {}

const (
	// fullLoadCostMs is the cost of a full server. One request on 16 slots costs 6 ms, more than remoteCostMs.
	fullLoadCostMs = 100
	// remoteCostMs is the cost of a server in a remote data centre: a round trip with 1.5 ms each way.
	remoteCostMs = 3
	// slowCostMs is the cost of each overdue attempt, and of each unit by which a latency ratio exceeds
	// raiseLimitRatio.
	slowCostMs = 100
	// maxPrefixSavingMs bounds the saving of a cached prefix. It equals fullLoadCostMs, so that a popular prefix
	// spreads to other servers when its server fills up.
	maxPrefixSavingMs = fullLoadCostMs
	// adapterLoadCostMs is the cost of a server that must load the adapter first.
	adapterLoadCostMs = 500
	// defaultPrefillMsPerToken is the prompt cost per token until the shard has measured its own.
	defaultPrefillMsPerToken = 0.1
	// topTierProbeDelay is the time that a due probe waits for a request of a lower tier before it takes one of the
	// highest.
	topTierProbeDelay = 3 * hoist.Second
)

// selection is the working state of one Choose.
type selection struct {
	table           *Table
	required        *Requirements
	now             hoist.Millis
	avoid           []string
	prefixDepth     [prefixBits]int16
	savingPerPrefix float64
	loadedOn        uint64
	modelKnown      bool
}

// Choose returns the best server for the requirements.
func (t Table) Choose(required Requirements, now hoist.Millis) Choice {
	c := t.prepare(&required, now)
	ready, usable := false, false
	for s := range t.servers.All() {
		if status := s.record.status; c.allowed(s) && (status == StatusReady || status == StatusProbation) {
			usable = true
			ready = ready || status == StatusReady
		}
	}
	if s, ok := c.probeTarget(ready); ok {
		return Chosen{s}
	}
	if !usable {
		return Unavailable{}
	}
	if required.Ask.Alone() && c.duplicateRunning() {
		return Busy{}
	}
	s, cost := c.cheapest(true)
	if cost == math.MaxFloat64 {
		return Busy{}
	}
	if until := c.affinityWaitUntil(cost); until > 0 {
		return Busy{RetryAt: until}
	}
	return Chosen{s}
}

// prepare looks up the cached prefixes and loaded models that matter for the requirements.
func (t *Table) prepare(required *Requirements, now hoist.Millis) *selection {
	c := &selection{table: t, required: required, now: now}
	if required.Ask.Avoid().Len() > 0 {
		c.avoid = collect(required.Ask.Avoid())
	}
	if prefixes := required.Ask.Prefixes().Len(); prefixes > 0 && t.prefixes.sets != nil {
		t.prefixes.writeDepths(collect(required.Ask.Prefixes()), &c.prefixDepth)
		perToken := t.prefill.perToken()
		if perToken == 0 {
			perToken = defaultPrefillMsPerToken
		}
		c.savingPerPrefix = min(maxPrefixSavingMs, perToken*float64(required.Ask.PromptTokens())) / float64(prefixes)
	}
	c.loadedOn, c.modelKnown = t.loadedOn[required.Ask.Model()]
	return c
}

// allowed reports whether the request may use the server at all.
func (c *selection) allowed(s Server) bool {
	return len(c.avoid) == 0 || !slices.Contains(c.avoid, s.Name())
}

// probeTarget returns a server that is due for a probe and may be probed with the request.
//
// While a server is ready, a request of the highest tier probes only if no lower tier has brought one within
// topTierProbeDelay.
func (c *selection) probeTarget(ready bool) (Server, bool) {
	if c.required.Ask.Alone() || c.required.Ask.Hedge() {
		return Server{}, false
	}
	for s := range c.table.servers.All() {
		probeAt := s.record.probeAt
		if c.required.Rank <= 1 && ready {
			probeAt += topTierProbeDelay
		}
		if probeAt <= c.now && c.needsProbe(s) && c.mayProbe(s, ready) && c.allowed(s) && c.fits(s) {
			return s, true
		}
	}
	return Server{}, false
}

// needsProbe reports whether the status of the server calls for a probe and none is in progress.
func (c *selection) needsProbe(s Server) bool {
	switch s.record.status {
	case StatusProbation:
		return s.FreeSlots() > 0
	case StatusDown:
		return !s.probing()
	case StatusReady, StatusLeaving:
		return false
	}
	return false
}

// mayProbe reports whether the request may probe the server.
//
// A repeatable request may, because the server can fail again. An unrepeatable one needs a good sample of a server that
// failed. A straggler may be probed with it only if no server is ready.
func (c *selection) mayProbe(s Server, ready bool) bool {
	r := s.record
	if c.required.Ask.Repeatable() || r.goodSamples > 0 {
		return true
	}
	return !ready && r.reason != ReasonRecovering && r.status != StatusDown
}

// fits reports whether the server's other work allows the request, apart from free slots.
func (c *selection) fits(s Server) bool {
	if s.record.reservedUntil > c.now && !c.required.Ask.Alone() {
		return false
	}
	if limit := c.table.rules.longCap; c.required.Long && limit > 0 && s.longAttempts(c.table.rules.longAfter) >= limit {
		return false
	}
	return !s.runsIsolated()
}

// cheapest returns the cheapest ready server and its cost, among those that are available or among the others.
func (c *selection) cheapest(free bool) (Server, float64) {
	best, least := Server{}, math.MaxFloat64
	for s := range c.table.servers.All() {
		if s.record.status != StatusReady || !c.allowed(s) || c.available(s) != free {
			continue
		}
		if x := c.cost(s); x < least {
			best, least = s, x
		}
	}
	return best, least
}

// available reports whether the server can take the attempt now.
func (c *selection) available(s Server) bool {
	if c.required.Ask.Alone() && (s.record.running.Len() > 0 || s.record.otherRunning > 0) {
		return false
	}
	return s.FreeSlots() > c.required.ReservedSlots && c.fits(s)
}

// cost returns the expected delay on the server in milliseconds, relative to an idle healthy server in the local data
// centre.
func (c *selection) cost(s Server) float64 {
	r := s.record
	cost := fullLoadCostMs * float64(int32(r.running.Len())+r.otherRunning) / float64(max(1, s.effectiveLimit()))
	if d := c.required.Ask.Datacentre(); d != "" && d != r.instance.Datacentre() {
		cost += remoteCostMs
	}
	slow := float64(r.overdue)
	for m, avg := range r.latency {
		if avg.significant() {
			slow += max(0, ratio(avg.fast, c.table.norms[m])-raiseLimitRatio)
		}
	}
	return cost + slowCostMs*slow - c.saving(s)
}

// saving returns the time in milliseconds that cached prefixes and loaded models save; it is negative if the server
// must load the model.
func (c *selection) saving(s Server) float64 {
	saving := 0.0
	if s.record.maskBit >= prefixBits {
		return saving
	}
	saving += c.savingPerPrefix * float64(c.prefixDepth[s.record.maskBit])
	bit := uint64(1) << s.record.maskBit
	if c.required.Ask.Model() != "" && c.table.reportedMask&bit != 0 && c.loadedOn&bit == 0 {
		saving -= adapterLoadCostMs
	}
	return saving
}

// affinityWaitUntil returns the time until which waiting for a full server with affinity is worth more than the
// cheapest available server, or zero.
func (c *selection) affinityWaitUntil(cost float64) hoist.Millis {
	ask := c.required.Ask
	maxWait := c.table.rules.AffinityWait()
	until := c.required.ArrivedAt + maxWait
	if c.required.ArrivedAt == 0 || ask.Alone() || ask.Hedge() || c.now >= until || (c.savingPerPrefix == 0 && !c.modelKnown) {
		return 0
	}
	if _, least := c.cheapest(false); least == math.MaxFloat64 || least+float64(maxWait) >= cost {
		return 0
	}
	return until
}

// duplicateRunning reports whether a request with the same content runs on the shard.
//
// Two concurrent runs of suspected content could crash two servers before the first outcome is known.
func (c *selection) duplicateRunning() bool {
	fingerprint := c.required.Ask.Fingerprint()
	for s := range c.table.servers.All() {
		for r := range s.record.running.All() {
			if fingerprint != 0 && r.ask.Fingerprint() == fingerprint {
				return true
			}
		}
	}
	return false
}

// maxReservation is the longest time that a server is kept free of new work for a request that must run alone.
const maxReservation = 10 * hoist.Second

// Reserve keeps the least busy ready server free of new work until the request, which must run alone, can start there.
//
// Without a reservation a busy shard never has an empty server. At most one server is reserved at a time.
func (t Table) Reserve(required Requirements, now hoist.Millis) Table {
	t = t.advancedTo(now)
	c := t.prepare(&required, now)
	best := -1
	for i := range t.servers.Len() {
		s := t.servers.At(i)
		if s.record.reservedUntil > now {
			return t
		}
		// An attempt that already runs alone may keep the server for as long as the longest response.
		if s.record.status != StatusReady || !c.allowed(s) || s.runsIsolated() {
			continue
		}
		if best < 0 || s.record.running.Len() < t.servers.At(best).record.running.Len() {
			best = i
		}
	}
	if best < 0 {
		return t
	}
	return t.withServer(best, t.servers.At(best).with(func(r *record) { r.reservedUntil = now + maxReservation }))
}
