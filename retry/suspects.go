package retry

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// suspectMax bounds the table; a crash adds at most the attempts of one server, so this covers hundreds of crashes.
	suspectMax = 4096
	// chargeMax bounds the charges kept for one fingerprint; two are enough for a verdict.
	chargeMax = 8
	// sameCrash is the time within which routers notice one crash of a server; no engine starts again and crashes within it.
	sameCrash = 3 * hoist.Second
	// clockSkew bounds how far ahead the clock of another router may be.
	clockSkew = hoist.Minute
	// crashLimit is the number of server crashes that quarantine a fingerprint.
	crashLimit = 2
	// trialTime is the time after which a rerun alone that was never reported as ended no longer blocks others.
	trialTime = hoist.Minute
)

// Status says how requests with a fingerprint are treated.
//
//sumtype:decl
type Status interface{ isStanding() }

// Clean content runs as usual.
type Clean struct{}

// Suspected content was running on a server that crashed; it must run alone.
type Suspected struct {
	// TrialUntil is the time until which another rerun has precedence, or zero.
	TrialUntil hoist.Millis
}

// Quarantined content is refused.
type Quarantined struct {
	// Until is the end of the quarantine.
	Until hoist.Millis
}

func (Clean) isStanding()       {}
func (Suspected) isStanding()   {}
func (Quarantined) isStanding() {}

// suspect is what is held against one fingerprint.
type suspect struct {
	charges value.List[value.Charge]
	cleared hoist.Millis
	trial   hoist.Millis
}

// Suspects is the immutable table of content that was running on servers that crashed; the zero value is empty.
//
// The charges of a fingerprint only grow, by union, until its last one has expired or a run alone
// has cleared it. Tables of different routers therefore merge in any order and any number of times.
type Suspects struct {
	entries map[uint64]suspect
	life    hoist.Millis
}

// NewSuspects returns an empty table with the length of a quarantine.
func NewSuspects(life hoist.Millis) Suspects { return Suspects{life: life} }

// Len returns the number of fingerprints in the table.
func (x Suspects) Len() int { return len(x.entries) }

// WithQuarantine returns a copy with the length of a quarantine replaced.
func (x Suspects) WithQuarantine(life hoist.Millis) Suspects {
	x.life = life
	return x
}

// WithCrash returns the table after the server has crashed while it ran the fingerprints.
//
// Every attempt of a crash reports it, so a charge that is already held is not repeated: a
// series of them would push an earlier crash out of the bounded list.
func (x Suspects) WithCrash(server string, fingerprints []uint64, now hoist.Millis) Suspects {
	charge := value.Charge{}.WithServer(server).WithAtMs(int64(now))
	entries := x.writable()
	for _, f := range fingerprints {
		if e := entries[f]; f != 0 && !held(e, charge) {
			e.charges = union(e.charges, value.ListOf(charge))
			e.trial = 0
			entries[f] = e
		}
	}
	return x.bounded(entries, now)
}

// Merged returns the table after an item of another router; expired charges and those far in the future are ignored.
func (x Suspects) Merged(q value.Quarantine, now hoist.Millis) Suspects {
	var fresh []value.Charge
	for c := range q.Charges().All() {
		if at := hoist.Millis(c.AtMs()); at <= now+clockSkew && at+x.life > now {
			fresh = append(fresh, c)
		}
	}
	cleared := hoist.Millis(q.ClearedMs())
	if q.Fingerprint() == 0 || len(fresh) == 0 || cleared > now+clockSkew {
		return x
	}
	entries := x.writable()
	e := entries[q.Fingerprint()]
	e.charges = union(e.charges, value.ListOf(fresh...))
	e.cleared = max(e.cleared, cleared)
	entries[q.Fingerprint()] = e
	return x.bounded(entries, now)
}

// TrialStarted returns the table after a suspect has begun its rerun alone.
func (x Suspects) TrialStarted(fingerprint uint64, now hoist.Millis) Suspects {
	return x.change(fingerprint, func(e suspect) suspect {
		e.trial = now + trialTime
		return e
	})
}

// TrialAborted returns the table after a rerun alone has ended without a result.
func (x Suspects) TrialAborted(fingerprint uint64) Suspects {
	return x.change(fingerprint, func(e suspect) suspect {
		e.trial = 0
		return e
	})
}

// Cleared returns the table after the content has run alone to its end: it did not cause the crash.
func (x Suspects) Cleared(fingerprint uint64, now hoist.Millis) Suspects {
	return x.change(fingerprint, func(e suspect) suspect {
		e.trial = 0
		e.cleared = max(e.cleared, now)
		return e
	})
}

// Status returns how requests with the fingerprint are treated.
func (x Suspects) Status(fingerprint uint64, now hoist.Millis) Status {
	e, ok := x.entries[fingerprint]
	if !ok || x.expired(e, now) {
		return Clean{}
	}
	switch n := x.crashes(e); {
	case n >= crashLimit:
		return Quarantined{newest(e) + x.life}
	case n == 0:
		return Clean{}
	case e.trial > now:
		return Suspected{TrialUntil: e.trial}
	default:
		return Suspected{}
	}
}

// Item returns the message that spreads what is held against the fingerprint.
func (x Suspects) Item(fingerprint uint64, now hoist.Millis) (value.Quarantine, bool) {
	e, ok := x.entries[fingerprint]
	if !ok || x.expired(e, now) {
		return value.Quarantine{}, false
	}
	q := value.Quarantine{}.WithFingerprint(fingerprint).WithCharges(e.charges).
		WithClearedMs(int64(e.cleared)).WithCrashes(x.crashes(e))
	if s, ok := x.Status(fingerprint, now).(Quarantined); ok {
		q = q.WithRemainingMs(int64(s.Until - now))
	}
	return q, true
}

// Items returns the messages of all fingerprints, in their order; cleared ones are among them, so that the clearing spreads too.
func (x Suspects) Items(now hoist.Millis) value.List[value.Quarantine] {
	var items []value.Quarantine
	for _, f := range slices.Sorted(maps.Keys(x.entries)) {
		if q, ok := x.Item(f, now); ok {
			items = append(items, q)
		}
	}
	return value.ListOf(items...)
}

// Pruned returns the table without the expired fingerprints.
func (x Suspects) Pruned(now hoist.Millis) Suspects {
	for _, e := range x.entries {
		if x.expired(e, now) {
			return x.bounded(x.writable(), now)
		}
	}
	return x
}

// crashes counts the distinct crashes that are neither cleared nor older than the newest by more than a quarantine.
//
// Routers notice the crash of one server at slightly different times; charges for one server
// within sameCrash of the first of them are the same crash. The count is a function of the set
// of charges alone, so all routers that hold the same set agree.
func (x Suspects) crashes(e suspect) int32 {
	var counted [chargeMax]value.Charge
	n := 0
	last := newest(e)
	for i := e.charges.Len() - 1; i >= 0; i-- {
		c := e.charges.At(i)
		at := hoist.Millis(c.AtMs())
		void := e.cleared > 0 && at <= e.cleared
		repeated := slices.ContainsFunc(counted[:n], func(x value.Charge) bool {
			return x.Server() == c.Server() && at-hoist.Millis(x.AtMs()) < sameCrash
		})
		if !void && !repeated && at+x.life > last {
			counted[n] = c
			n++
		}
	}
	return int32(n)
}

// held reports whether the crash of the charge is already held against the content.
func held(e suspect, charge value.Charge) bool {
	for c := range e.charges.All() {
		if c.Server() == charge.Server() && hoist.Millis(charge.AtMs()-c.AtMs()) < sameCrash {
			return true
		}
	}
	return false
}

// newest returns the time of the last charge.
func newest(e suspect) hoist.Millis {
	if e.charges.Len() == 0 {
		return 0
	}
	return hoist.Millis(e.charges.At(0).AtMs())
}

// expired reports whether nothing is held against the fingerprint any more.
func (x Suspects) expired(e suspect, now hoist.Millis) bool { return newest(e)+x.life <= now }

// union returns the charges of both lists without repetition, newest first, at most chargeMax.
func union(a, b value.List[value.Charge]) value.List[value.Charge] {
	all := slices.AppendSeq(slices.Collect(a.All()), b.All())
	slices.SortFunc(all, func(a, b value.Charge) int {
		return cmp.Or(cmp.Compare(b.AtMs(), a.AtMs()), cmp.Compare(a.Server(), b.Server()))
	})
	all = slices.Compact(all)
	return value.ListOf(all[:min(len(all), chargeMax)]...)
}

// change returns the table with a known fingerprint changed.
func (x Suspects) change(fingerprint uint64, f func(suspect) suspect) Suspects {
	e, ok := x.entries[fingerprint]
	if !ok {
		return x
	}
	entries := x.writable()
	entries[fingerprint] = f(e)
	x.entries = entries
	return x
}

// writable returns a copy of the entries.
func (x Suspects) writable() map[uint64]suspect {
	if x.entries == nil {
		return map[uint64]suspect{}
	}
	return maps.Clone(x.entries)
}

// bounded returns the table with the entries, without expired ones and, beyond the bound, without those of the oldest charge; fewer crashes go first.
func (x Suspects) bounded(entries map[uint64]suspect, now hoist.Millis) Suspects {
	maps.DeleteFunc(entries, func(_ uint64, e suspect) bool { return x.expired(e, now) })
	x.entries = entries
	if len(entries) <= suspectMax {
		return x
	}
	order := slices.SortedFunc(maps.Keys(entries), func(a, b uint64) int {
		return cmp.Or(
			cmp.Compare(min(x.crashes(entries[a]), crashLimit), min(x.crashes(entries[b]), crashLimit)),
			cmp.Compare(newest(entries[a]), newest(entries[b])),
			cmp.Compare(a, b))
	})
	// An eighth goes at once, so that a full table is not sorted again for each crash.
	for _, f := range order[:len(order)-suspectMax*7/8] {
		delete(entries, f)
	}
	return x
}
