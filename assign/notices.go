package assign

import (
	"maps"
	"strconv"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// maxNotices is the number of notices up to which those of unlisted servers are kept.
const maxNotices = 1024

// notice is what a server has told an instance about itself.
type notice struct {
	leaving     bool
	pausedUntil hoist.Millis
}

// Notices is the immutable record of what servers have told one instance in their responses: that they are leaving, or that
// they want no requests from it for a time. The zero value is empty.
//
// The instance keeps it apart from the states of the shards, because a server that moves to another shard, or a grant of an
// owner that has not heard of it, must not undo it.
type Notices struct{ entries map[string]notice }

// noticeKey identifies a process of a server.
func noticeKey(s value.BackendServer) string {
	return s.Id() + "@" + strconv.FormatInt(s.Born(), 10)
}

// with returns a copy in which change is applied to the notice of the server.
func (n Notices) with(s value.BackendServer, change func(notice) notice) Notices {
	entries := maps.Clone(n.entries)
	if entries == nil {
		entries = map[string]notice{}
	}
	entries[noticeKey(s)] = change(entries[noticeKey(s)])
	return Notices{entries}
}

// WithLeaving returns a copy in which the server is leaving.
func (n Notices) WithLeaving(s value.BackendServer) Notices {
	return n.with(s, func(x notice) notice {
		x.leaving = true
		return x
	})
}

// WithPause returns a copy in which the server wants no requests until the time.
func (n Notices) WithPause(s value.BackendServer, until hoist.Millis) Notices {
	return n.with(s, func(x notice) notice {
		x.pausedUntil = max(x.pausedUntil, until)
		return x
	})
}

// Leaving reports whether the server has said that it is leaving.
func (n Notices) Leaving(s value.BackendServer) bool { return n.entries[noticeKey(s)].leaving }

// PausedFor returns the time for which the server still wants no requests; it is not positive if there is none.
func (n Notices) PausedFor(s value.BackendServer, now hoist.Millis) hoist.Millis {
	return n.entries[noticeKey(s)].pausedUntil - now
}

// Retained returns a copy that keeps only the notices of the listed servers if there are more than maxNotices. Notices of
// other servers are kept as long as possible, because an entry that has lapsed may come back.
func (n Notices) Retained(servers value.List[value.BackendServer]) Notices {
	if len(n.entries) <= maxNotices {
		return n
	}
	kept := map[string]notice{}
	for s := range servers.All() {
		if x, ok := n.entries[noticeKey(s)]; ok {
			kept[noticeKey(s)] = x
		}
	}
	return Notices{kept}
}
