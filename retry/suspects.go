package retry

import (
	"cmp"
	"maps"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxSuspects bounds the table. A crash adds at most the attempts of one server, so it holds hundreds of crashes.
	maxSuspects = 4096
	// maxCharges bounds the charges kept for one fingerprint; two crashes are enough for a quarantine.
	maxCharges = 8
	// sameCrashWindow is the time within which all routers notice a crash of a server; no engine restarts and crashes again within it.
	sameCrashWindow = 3 * hoist.Second
	// sameMoment is the distance within which crashes of several servers count once, see WithSharedContent; it exceeds the
	// time in which all instances notice one failure.
	sameMoment = 100 * hoist.Millis(1)
	// maxClockSkew is how far the clock of another router may be ahead.
	maxClockSkew = hoist.Minute
	// quarantineCrashes is the number of server crashes after which a fingerprint is quarantined.
	quarantineCrashes = 2
	// quarantineCrashesInDoubt is this number for shared content that was in a complete response before, or that accounts for
	// less than half of the crashes.
	quarantineCrashesInDoubt = 4
	// quarantineGrowth is the factor by which each further crash lengthens a quarantine, so that the trials of content that
	// crashes every server become rare.
	quarantineGrowth = 4
	// trialTimeout is the time after which a trial whose end was not reported no longer blocks other requests.
	trialTimeout = hoist.Minute
)

// Status is how requests with a fingerprint are treated.
//
//sumtype:decl
type Status interface{ isStatus() }

// Clean content runs without restrictions.
type Clean struct{}

// Suspected content was running on a server that crashed, or its quarantine has ended.
type Suspected struct {
	// TrialUntil is the time until which a trial in progress blocks other requests; zero means no trial.
	TrialUntil hoist.Millis
	// Released is set if the content was quarantined and a trial must decide whether it is quarantined again.
	Released bool
}

// Quarantined content is refused.
type Quarantined struct {
	// Until is the end of the quarantine.
	Until hoist.Millis
	// TrialUntil is the time until which a trial in progress blocks other trials; zero means no trial.
	TrialUntil hoist.Millis
}

func (Clean) isStatus()       {}
func (Suspected) isStatus()   {}
func (Quarantined) isStatus() {}

// suspect holds the crashes attributed to one fingerprint and its trial.
type suspect struct {
	charges    value.List[value.Charge]
	clearedAt  hoist.Millis
	trialUntil hoist.Millis
	// depth and whole describe the content, see value.Content.
	depth int32
	whole bool
}

// Suspects is the immutable table of content that was running on servers that crashed; the zero value is empty.
//
// The charges of a fingerprint are merged by union, of which the newest maxCharges are kept, until the newest one has
// expired or a full table drops the fingerprint. A trial that clears the content removes no charges; those up to the
// time of clearing are no longer counted. The tables of different routers can therefore be merged in any order and any
// number of times.
type Suspects struct {
	entries map[uint64]suspect
	// causes holds the contents that best explain the crashes and, for each, it and its rivals, see findCauses.
	causes      map[uint64]rivals
	completions Completions
	quarantine  hoist.Millis
	// firstQuarantine is the duration of the first quarantine of a content, see WithSharedContent; zero means quarantine.
	firstQuarantine hoist.Millis
}

// NewSuspects returns an empty table with the duration of a quarantine.
func NewSuspects(quarantine hoist.Millis) Suspects { return Suspects{quarantine: quarantine} }

// WithSharedContent returns a copy for content that many requests share, so that a quarantine in error is costly.
//
// The first quarantine of a content has the duration and each further crash multiplies it by quarantineGrowth, up to the
// duration of a quarantine. Crashes less than sameMoment apart count once, because servers that crash together usually have
// an outside cause in common.
func (x Suspects) WithSharedContent(firstQuarantine hoist.Millis) Suspects {
	x.firstQuarantine = firstQuarantine
	return x
}

// Len returns the number of fingerprints in the table.
func (x Suspects) Len() int { return len(x.entries) }

// WithQuarantine returns a copy with the duration of a quarantine replaced.
func (x Suspects) WithQuarantine(quarantine hoist.Millis) Suspects {
	x.quarantine = quarantine
	return x
}

// WithCrash returns the table after the server of the charge has crashed while it ran the contents.
//
// Every attempt on the server reports the crash. A charge is added only once per crash, because repeated
// charges would displace an earlier crash from the bounded list. Complete responses that the reporter knows of count too.
func (x Suspects) WithCrash(charge value.Charge, contents []value.Content, now hoist.Millis) Suspects {
	charge = charge.WithAtMs(int64(now))
	entries := x.cloneEntries()
	for _, c := range contents {
		f := c.Fingerprint()
		if e := entries[f]; f != 0 && !attributed(e, charge) {
			e.charges = mergeCharges(e.charges, value.ListOf(charge))
			e.depth, e.whole = max(e.depth, c.Depth()), e.whole || c.Whole()
			e.clearedAt = max(e.clearedAt, x.completions.At(f), min(hoist.Millis(c.CompletedMs()), now-1))
			e.trialUntil = 0
			entries[f] = e
		}
	}
	return x.withEntries(entries, now)
}

// Merged returns the table with an item of another router merged in; expired charges and charges beyond maxClockSkew in the future are ignored.
func (x Suspects) Merged(q value.Quarantine, now hoist.Millis) Suspects {
	var valid []value.Charge
	for c := range q.Charges().All() {
		if at := hoist.Millis(c.AtMs()); at <= now+maxClockSkew && at+x.quarantine > now {
			valid = append(valid, c)
		}
	}
	cleared := hoist.Millis(q.ClearedMs())
	if q.Fingerprint() == 0 || len(valid) == 0 || cleared > now+maxClockSkew {
		return x
	}
	entries := x.cloneEntries()
	e := entries[q.Fingerprint()]
	e.charges = mergeCharges(e.charges, value.ListOf(valid...))
	e.clearedAt = max(e.clearedAt, cleared, x.completions.At(q.Fingerprint()))
	e.depth, e.whole = max(e.depth, q.Depth()), e.whole || q.Whole()
	entries[q.Fingerprint()] = e
	return x.withEntries(entries, now)
}

// TrialStarted returns the table after a trial of the contents has started, which blocks others at most until the time.
func (x Suspects) TrialStarted(until hoist.Millis, fingerprints ...uint64) Suspects {
	return x.withTrials(until, fingerprints)
}

// TrialAborted returns the table after a trial of the contents has ended without a result.
func (x Suspects) TrialAborted(fingerprints ...uint64) Suspects { return x.withTrials(0, fingerprints) }

// withTrials returns the table with the end of the trials of the contents set. Causes do not depend on it.
func (x Suspects) withTrials(until hoist.Millis, fingerprints []uint64) Suspects {
	return x.changed(fingerprints, func(e suspect) (suspect, bool) {
		changed := e.trialUntil != until
		e.trialUntil = until
		return e, changed
	})
}

// Cleared returns the table after a server has run the contents without a crash, which shows that they did not cause the
// earlier ones.
func (x Suspects) Cleared(now hoist.Millis, fingerprints ...uint64) Suspects {
	x = x.changed(fingerprints, func(e suspect) (suspect, bool) {
		e.trialUntil = 0
		e.clearedAt = max(e.clearedAt, now)
		return e, true
	})
	x.causes = x.findCauses()
	return x
}

// Completed returns the table after a response to a request with the shared contents has ended whole, which clears them.
//
// A response that has begun clears nothing, because a server may crash at any of its events.
func (x Suspects) Completed(contents []value.Content, now hoist.Millis) Suspects {
	x.completions = x.completions.With(contents, now)
	var charged []uint64
	for _, c := range contents {
		if x.Charged(c.Fingerprint()) {
			charged = append(charged, c.Fingerprint())
		}
	}
	if len(charged) == 0 {
		return x
	}
	return x.Cleared(now, charged...)
}

// Completions returns the record of complete responses.
func (x Suspects) Completions() Completions { return x.completions }

// Charged reports whether crashes are attributed to the content that a server has not cleared since.
func (x Suspects) Charged(fingerprint uint64) bool {
	e, ok := x.entries[fingerprint]
	return ok && newestChargeAt(e) > e.clearedAt
}

// IsCause reports whether the content best explains crashes; it is then quarantined or has to run as a trial.
func (x Suspects) IsCause(fingerprint uint64) bool {
	_, ok := x.causes[fingerprint]
	return ok
}

// IsInDoubt reports whether the content is a cause only because many servers have crashed with it at one moment, see isHerd.
func (x Suspects) IsInDoubt(cause uint64) bool {
	return x.IsCause(cause) && x.countCrashes(x.entries[cause]) < quarantineCrashes
}

// Status returns how requests with the fingerprint are treated.
func (x Suspects) Status(fingerprint uint64, now hoist.Millis) Status {
	e, ok := x.entries[fingerprint]
	if !ok || x.expired(e, now) {
		return Clean{}
	}
	n := x.countCrashes(e)
	cause := x.IsCause(fingerprint)
	if until := newestChargeAt(e) + x.quarantineAfter(n); cause && n >= quarantineCrashes && now < until {
		return Quarantined{Until: until, TrialUntil: e.trialUntil}
	}
	switch {
	case n == 0:
		return Clean{}
	case e.trialUntil > now:
		return Suspected{TrialUntil: e.trialUntil, Released: cause}
	default:
		return Suspected{Released: cause}
	}
}

// quarantineAfter returns the duration of the quarantine of a content that has caused n crashes.
func (x Suspects) quarantineAfter(n int32) hoist.Millis {
	if x.firstQuarantine == 0 {
		return x.quarantine
	}
	d := x.firstQuarantine
	for ; n > quarantineCrashes && d < x.quarantine; n-- {
		d *= quarantineGrowth
	}
	return min(d, x.quarantine)
}

// Item returns the item that tells other routers about the fingerprint.
func (x Suspects) Item(fingerprint uint64, now hoist.Millis) (value.Quarantine, bool) {
	e, ok := x.entries[fingerprint]
	if !ok || x.expired(e, now) {
		return value.Quarantine{}, false
	}
	q := value.Quarantine{}.WithFingerprint(fingerprint).WithCharges(e.charges).
		WithClearedMs(int64(e.clearedAt)).WithCrashes(x.countCrashes(e)).WithDepth(e.depth).WithWhole(e.whole)
	if s, ok := x.Status(fingerprint, now).(Quarantined); ok {
		q = q.WithRemainingMs(int64(s.Until - now))
	}
	return q, true
}

// Items returns the items of all fingerprints, sorted; cleared ones are included, so that other routers clear them too.
func (x Suspects) Items(now hoist.Millis) value.List[value.Quarantine] {
	var items []value.Quarantine
	for _, f := range slices.Sorted(maps.Keys(x.entries)) {
		if q, ok := x.Item(f, now); ok {
			items = append(items, q)
		}
	}
	return value.ListOf(items...)
}

// Pruned returns the table without expired fingerprints.
func (x Suspects) Pruned(now hoist.Millis) Suspects {
	for _, e := range x.entries {
		if x.expired(e, now) {
			return x.withEntries(x.cloneEntries(), now)
		}
	}
	return x
}

// isOnceComplete reports whether a response with the shared content has ended whole before its newest crash. A complete
// response is remembered for as long as a crash.
func (x Suspects) isOnceComplete(e suspect) bool {
	return x.firstQuarantine > 0 && e.clearedAt > 0 && e.clearedAt+x.quarantine > newestChargeAt(e)
}

// countCrashes counts the distinct crashes that are neither cleared nor older than the newest by a quarantine or more.
//
// Routers notice the crash of a server at slightly different times, see sameCrash. A cleared charge is not counted, so a charge for the same
// crash that is newer than clearedAt counts. The count depends only on the set of charges, clearedAt and the duration
// of a quarantine, so all routers with the same values agree.
func (x Suspects) countCrashes(e suspect) int32 { return x.countMoments(x.crashes(e)) }

// countMoments returns the number of the crashes, of which those of one moment count once where the content is shared.
func (x Suspects) countMoments(crashes []value.Charge) int32 {
	if x.firstQuarantine == 0 {
		return int32(len(crashes))
	}
	n := int32(0)
	var last int64
	for _, c := range slices.SortedFunc(slices.Values(crashes), compareTimes) {
		if n == 0 || c.AtMs()-last >= int64(sameMoment) {
			n++
			last = c.AtMs()
		}
	}
	return n
}

// crashes returns one charge for each crash that countCrashes counts.
func (x Suspects) crashes(e suspect) []value.Charge {
	var counted []value.Charge
	newest := newestChargeAt(e)
	for i := e.charges.Len() - 1; i >= 0; i-- {
		c := e.charges.At(i)
		at := hoist.Millis(c.AtMs())
		cleared := e.clearedAt > 0 && at <= e.clearedAt
		if !cleared && !contains(counted, c) && at+x.quarantine > newest {
			counted = append(counted, c)
		}
	}
	return counted
}

// sameCrash reports whether two charges are about one crash. A process crashes once; if its start time is unknown, two
// charges for its server are about one crash if they are less than sameCrashWindow apart.
func sameCrash(a, b value.Charge) bool {
	switch {
	case a.Server() != b.Server():
		return false
	case a.Born() != 0 && b.Born() != 0:
		return a.Born() == b.Born()
	default:
		distance := hoist.Millis(a.AtMs() - b.AtMs())
		return max(distance, -distance) < sameCrashWindow
	}
}

// contains reports whether the charges contain one about the same crash.
func contains(charges []value.Charge, c value.Charge) bool {
	return slices.ContainsFunc(charges, func(x value.Charge) bool { return sameCrash(x, c) })
}

// attributed reports whether the crash is already attributed to the content.
func attributed(e suspect, charge value.Charge) bool {
	return contains(slices.Collect(e.charges.All()), charge)
}

// newestChargeAt returns the time of the newest charge, or zero.
func newestChargeAt(e suspect) hoist.Millis {
	if e.charges.Len() == 0 {
		return 0
	}
	return hoist.Millis(e.charges.At(0).AtMs())
}

// expired reports whether the newest charge is older than a quarantine.
func (x Suspects) expired(e suspect, now hoist.Millis) bool {
	return newestChargeAt(e)+x.quarantine <= now
}

// mergeCharges returns the charges of both lists newest first, at most maxCharges. Of the charges about the crash of one
// process only the newest is kept, because each router that notices the crash reports it.
func mergeCharges(a, b value.List[value.Charge]) value.List[value.Charge] {
	all := slices.AppendSeq(slices.Collect(a.All()), b.All())
	slices.SortFunc(all, func(a, b value.Charge) int {
		return cmp.Or(cmp.Compare(b.AtMs(), a.AtMs()), cmp.Compare(a.Server(), b.Server()), cmp.Compare(a.Born(), b.Born()))
	})
	var merged []value.Charge
	for _, c := range all {
		repeated := slices.ContainsFunc(merged, func(x value.Charge) bool {
			return x == c || x.Server() == c.Server() && x.Born() == c.Born() && c.Born() != 0
		})
		if !repeated {
			merged = append(merged, c)
		}
	}
	return value.ListOf(merged[:min(len(merged), maxCharges)]...)
}

// changed returns the table with the entries of the fingerprints changed for which f reports a change.
func (x Suspects) changed(fingerprints []uint64, f func(suspect) (suspect, bool)) Suspects {
	var entries map[uint64]suspect
	for _, k := range fingerprints {
		e, ok := x.entries[k]
		if !ok {
			continue
		}
		if next, changed := f(e); changed {
			if entries == nil {
				entries = x.cloneEntries()
			}
			entries[k] = next
		}
	}
	if entries != nil {
		x.entries = entries
	}
	return x
}

// cloneEntries returns a copy of the entries that may be modified.
func (x Suspects) cloneEntries() map[uint64]suspect {
	if x.entries == nil {
		return map[uint64]suspect{}
	}
	return maps.Clone(x.entries)
}

// withEntries returns the table with the entries replaced. It removes expired entries and, if more than maxSuspects
// remain, those with the fewest crashes and among these those with the oldest newest charge.
func (x Suspects) withEntries(entries map[uint64]suspect, now hoist.Millis) Suspects {
	maps.DeleteFunc(entries, func(_ uint64, e suspect) bool { return x.expired(e, now) })
	x.entries = entries
	if len(entries) <= maxSuspects {
		x.causes = x.findCauses()
		return x
	}
	order := slices.SortedFunc(maps.Keys(entries), func(a, b uint64) int {
		return cmp.Or(
			cmp.Compare(min(x.countCrashes(entries[a]), quarantineCrashes), min(x.countCrashes(entries[b]), quarantineCrashes)),
			cmp.Compare(newestChargeAt(entries[a]), newestChargeAt(entries[b])),
			cmp.Compare(a, b))
	})
	// An eighth is removed at once, so that a full table is not sorted again for each crash.
	for _, f := range order[:len(order)-maxSuspects*7/8] {
		delete(entries, f)
	}
	x.causes = x.findCauses()
	return x
}
