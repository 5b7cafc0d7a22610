package assign

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// eligible reports whether the server may ever run the request.
func eligible(x server, w value.Work) bool {
	return !x.entry.Leaving() && !avoided(w, x.entry.Id())
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
