package relay

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// guard keeps content that crashes servers away from them.
type guard struct {
	suspects atomic.Pointer[retry.Suspects]
	// wall is the time of day, which charges of different instances are compared by; steps of seconds do no harm.
	wall hoist.Clock
}

// newGuard returns a guard that suspects nothing.
func newGuard() *guard {
	g := &guard{wall: hoist.NewSystemClock()}
	s := retry.NewSuspects(retry.DefaultQuarantine)
	g.suspects.Store(&s)
	return g
}

// fingerprint returns a number that requests with the same caller, path and body share; it is never zero.
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

// isolated returns the time for which the content of the request is refused; bodies are only hashed while some content is suspected.
func (g *guard) isolated(r Request) (hoist.Millis, bool) {
	suspects := g.suspects.Load()
	if suspects.Len() == 0 {
		return 0, false
	}
	now := g.wall.Now()
	q, ok := suspects.Status(fingerprint(r), now).(retry.Quarantined)
	return q.Until - now, ok
}

// charge holds the crash of a server against the content and returns what other instances must learn.
func (g *guard) charge(server string, f uint64) (value.Quarantine, bool) {
	now := g.wall.Now()
	s := hoist.Update(&g.suspects, func(s retry.Suspects) retry.Suspects { return s.WithCrash(server, []uint64{f}, now) })
	return s.Item(f, now)
}

// learn takes over what another instance holds against some content.
func (g *guard) learn(q value.Quarantine) {
	now := g.wall.Now()
	hoist.Update(&g.suspects, func(s retry.Suspects) retry.Suspects { return s.Merged(q, now) })
}

// Deliver takes over items that other instances have spread.
func (r *Relay) Deliver(items []value.Item) {
	for _, i := range items {
		if q, ok := i.Body().(value.Quarantine); ok {
			r.guard.learn(q)
		}
	}
}

// blame finds out whether the server has crashed while it ran the request, and holds the crash against its content.
//
// A lost answer alone proves nothing, since answers get lost on the way too; a server that refuses connections right
// after it has is gone.
func (j *job) blame(s value.BackendServer) {
	ctx, cancel := context.WithTimeout(j.ctx, crashProbe.Duration())
	defer cancel()
	if !j.Client.Refused(ctx, s.Address()) {
		return
	}
	q, ok := j.guard.charge(s.Id(), fingerprint(j.request))
	if !ok {
		return
	}
	j.Log.Write(event.CrashAttributed, logrus.Fields{"request": j.request.ID, "server": s.Id(), "crashes": q.Crashes()})
	j.Mesh.Submit(member.ItemPublished{Body: q})
}

// crashProbe bounds the attempt to connect to a server that may have crashed.
const crashProbe = 300 * hoist.Millis(1)
