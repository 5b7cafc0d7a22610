package feed

import (
	"chicoryhoist.example/hoist"
)

const (
	// lapseGraceTime is the time for which a server is still used if its entry disappeared while the store was unreachable; a
	// running server writes its entry again within two seconds.
	lapseGraceTime = 2 * hoist.Second
	// minLapseOutage is the shortest outage of the store in which the entry of a running server may lapse. A running server
	// writes its entry about every 1,200 ms, and the entry lapses after three such intervals without a write. The last write
	// was up to one interval before the outage, which leaves 2,400 ms; an outage is noticed up to 400 ms late. A shorter bound
	// took a watch on a connection that had gone silent, 1,560 ms in all, for an outage.
	minLapseOutage = 2 * hoist.Second
	// maxAgeWithoutOutage is the age of the content at a recovery from which the store was away for that long: content of another
	// instance that has not noticed the outage interrupts a series of failures, but does not confirm anything newer. Below it,
	// the age follows from one watch that ended, one that was cut, and the intervals between instances.
	maxAgeWithoutOutage = 2500 * hoist.Millis(1)
)

// mayHaveLapsed reports whether the store may be wrong about a removed entry: the server runs, but could not write its entry
// during an outage of the store, so that the entry expired.
//
// This takes an outage of at least minLapseOutage that ended less than lapseGraceTime ago. Requests fail in many other ways:
// a reset connection or a lost answer says nothing about the writes of servers, and if the removal counted as a lapse then,
// a server that its operator has removed would stay in use. The entry of a server that is leaving is removed on purpose.
func (s State) mayHaveLapsed(e entry, now hoist.Millis) bool {
	return s.reachableSince > 0 && now-s.reachableSince < lapseGraceTime && !e.server.Leaving()
}

// failed returns a copy after a request without a response; since is the time from which the store may have been
// unreachable, or zero if that is now.
func (s State) failed(since, now hoist.Millis) State {
	if since == 0 {
		since = now
	}
	if !s.unreachable {
		s.unreachable, s.unreachableSince = true, since
	}
	return s
}

// recovered returns a copy after a response. Only an outage in which entries may have lapsed leaves a time of return
// behind.
func (s State) recovered(now hoist.Millis) State {
	if s.unreachable && (now-s.unreachableSince >= minLapseOutage || now-s.confirmedAt >= maxAgeWithoutOutage) {
		s.reachableSince = now
	}
	s.unreachable = false
	return s
}
