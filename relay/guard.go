package relay

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// guard rejects content that has crashed servers.
type guard struct {
	suspects atomic.Pointer[retry.Suspects]
	// wallClock is used for crash records because they are compared between instances; clock steps of a few seconds
	// are harmless.
	wallClock hoist.Clock
}

// newGuard returns a guard without suspected content.
func newGuard() *guard {
	g := &guard{wallClock: hoist.NewSystemClock()}
	s := retry.NewSuspects(retry.DefaultQuarantine)
	g.suspects.Store(&s)
	return g
}

// fingerprint returns a hash of the key, method, target and body of the request; it is never zero.
func fingerprint(q Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{q.Key, q.Method, q.Target} {
		_, _ = d.WriteString(s) // Never fails.
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64() | 1
}

// contentName returns the name of a fingerprint in logs.
func contentName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// partNames returns the names in logs of the parts of the prompt that other requests may share.
func partNames(q Request) []string {
	var names []string
	for i := range q.Parts.Len() - 1 {
		names = append(names, contentName(q.Parts.At(i).Id()))
	}
	return names
}

// quarantined reports whether the content of the request is quarantined, and for how long. The body is hashed only if
// some content is suspected.
func (g *guard) quarantined(r Request) (hoist.Millis, bool) {
	suspects := g.suspects.Load()
	if suspects.Len() == 0 {
		return 0, false
	}
	now := g.wallClock.Now()
	q, ok := suspects.Status(fingerprint(r), now).(retry.Quarantined)
	return q.Until - now, ok
}

// recordCrash attributes the crash of a server to the content and returns the item to publish to other instances.
func (g *guard) recordCrash(server string, f uint64) (value.Quarantine, bool) {
	now := g.wallClock.Now()
	s := hoist.Update(&g.suspects, func(s retry.Suspects) retry.Suspects { return s.WithCrash(server, []uint64{f}, now) })
	return s.Item(f, now)
}

// merge merges the crash records of another instance.
func (g *guard) merge(q value.Quarantine) {
	now := g.wallClock.Now()
	hoist.Update(&g.suspects, func(s retry.Suspects) retry.Suspects { return s.Merged(q, now) })
}

// Deliver handles items that other instances have published.
func (r *Relay) Deliver(items []value.Item) {
	for _, i := range items {
		if q, ok := i.Body().(value.Quarantine); ok {
			r.guard.merge(q)
		}
	}
}

// attributeCrash checks whether the server has crashed while it ran the request, and if so attributes the crash to
// the content of the request.
//
// A lost response alone does not prove a crash, because responses are also lost in the network. A server that refuses
// connections directly afterwards has crashed.
func (j *job) attributeCrash(s value.BackendServer) {
	ctx, cancel := context.WithTimeout(j.ctx, crashProbeTimeout.Duration())
	defer cancel()
	f := fingerprint(j.request)
	fields := logrus.Fields{"request": j.request.ID, "server": s.Id(), "content": contentName(f), "parts": partNames(j.request)}
	if !j.Client.Refused(ctx, s.Address()) {
		j.Log.Write(event.CrashUnconfirmed, fields)
		return
	}
	q, ok := j.guard.recordCrash(s.Id(), f)
	if !ok {
		return
	}
	fields["crashes"] = q.Crashes()
	j.Log.Write(event.CrashAttributed, fields)
	j.Mesh.Submit(member.ItemPublished{Body: q})
}

// probeCrash checks in the background whether the server has crashed.
func (j *job) probeCrash(s value.BackendServer) {
	go j.Log.Contain("crash probe", func() { j.attributeCrash(s) })
}

// crashProbeTimeout bounds the connection attempt to a server that may have crashed.
const crashProbeTimeout = 300 * hoist.Millis(1)
