package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// eligible reports whether the server may ever run the request.
func eligible(x server, w value.Work) bool {
	return x.serves(w.Regions()) && !avoided(w, x.entry.Id())
}

// serves reports whether the server may get requests of the regions, empty for all.
func (s server) serves(regions value.List[string]) bool {
	return !s.entry.Leaving() && Permitted(s.entry, regions)
}

// Permitted reports whether evacuations and the regions of a request, empty for all, permit it to run at the server. A server
// whose region is unknown is in none of them.
func Permitted(s value.BackendServer, regions value.List[string]) bool {
	if s.Evacuated() {
		return false
	}
	for r := range regions.All() {
		if r == s.Region() {
			return true
		}
	}
	return regions.Len() == 0
}

// Permits reports whether any server of the shard may run a request of the regions, empty for all, as far as evacuations and
// regions decide. A server that is leaving takes no new requests.
func (s State) Permits(regions value.List[string]) bool {
	for x := range s.servers.All() {
		if !x.entry.Leaving() && Permitted(x.entry, regions) {
			return true
		}
	}
	return false
}

// available reports whether the server may run the request now, within the limits on cold servers. A server that is backed
// off is available; choose prefers others.
func available(x server, w value.Work, l ColdLimits, now hoist.Millis) bool {
	return eligible(x, w) && admits(x, w) && x.pausedUntil(w.Origin()) <= now && l.allow(x, now)
}

// availableBefore reports whether the server may run the request at some time before the given one.
func availableBefore(x server, w value.Work, end hoist.Millis) bool {
	return eligible(x, w) && x.pausedUntil(w.Origin()) < end
}

// avoided reports whether the request excludes the server, because an earlier attempt there failed.
func avoided(w value.Work, id string) bool {
	for a := range w.Avoid().All() {
		if a == id {
			return true
		}
	}
	return false
}
