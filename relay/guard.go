package relay

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

const (
	// firstQuarantine is the duration of the first quarantine of a content. It is short, because the content may be sound if
	// servers crashed for another reason; its trial costs one more server if it is not.
	firstQuarantine = 30 * hoist.Second
	// maxSharedParts is the number of prompt parts, from the first one on, that count as shared by other requests. It bounds
	// the work and the messages for one crash, and is far above the parts of the users' prompts, which are a handful.
	maxSharedParts = 256
	// maxLoggedParts bounds the parts that a log line names.
	maxLoggedParts = 16
	// maxQuarantinesSent bounds the quarantines that an instance sends to one that starts, about 300 bytes each, next to the
	// list of members in one datagram.
	maxQuarantinesSent = 32
	// crashProbeTimeout bounds the connection attempt to a server that may have crashed.
	crashProbeTimeout = 300 * hoist.Millis(1)
)

// guard refuses content that has crashed servers: whole requests, and parts that many prompts share.
//
// The owner of a shard learns of all responses and crashes there, so its guard decides about the requests of all
// instances. The guards of the others decide when they reach no owner.
type guard struct {
	suspects atomic.Pointer[retry.Suspects]
	// writers orders the changes of the suspects. To search for causes takes longer than most changes, so that it would start
	// again and again if a quick change could come between.
	writers sync.Mutex
	// wallClock is used for crash records because they are compared between instances; clock steps of a few seconds
	// are harmless.
	wallClock hoist.Clock
	log       *event.Log
	mesh      Mesh
}

// newGuard returns a guard without suspected content.
func newGuard(l *event.Log, m Mesh) *guard {
	g := &guard{wallClock: hoist.NewSystemClock(), log: l, mesh: m}
	s := retry.NewSuspects(retry.DefaultQuarantine).WithSharedContent(firstQuarantine)
	g.suspects.Store(&s)
	return g
}

// fingerprint returns a hash of the key, method, target and body of the request; it is never zero.
func fingerprint(q Request) uint64 { return fingerprintOf(q, q.Target) }

// pathFingerprint returns a hash of the request without its query, or zero if it has none.
func pathFingerprint(q Request) uint64 {
	if q.Path == q.Target {
		return 0
	}
	return fingerprintOf(q, q.Path)
}

// fingerprintOf returns a hash of the request with the target; it is never zero.
func fingerprintOf(q Request, target string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{q.Key, q.Method, target} {
		_, _ = d.WriteString(s) // Never fails.
		_, _ = d.Write([]byte{0})
	}
	for _, b := range q.Body {
		_, _ = d.Write(b)
	}
	return d.Sum64() | 1
}

// partFingerprint returns a hash of the ID of a prompt part; it is never zero.
func partFingerprint(id uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("part"), id)) | 1
}

// partContents returns the contents that other requests may share: the prompt parts but the last one, of the first
// maxSharedParts, and the request without its query.
func partContents(w value.Work) []value.Content {
	var parts []value.Content
	for i := range min(w.Parts().Len()-1, maxSharedParts) {
		parts = append(parts, value.Content{}.WithFingerprint(partFingerprint(w.Parts().At(i).Id())).WithDepth(int32(i)))
	}
	if f := w.PathFingerprint(); f != 0 {
		parts = append(parts, value.Content{}.WithFingerprint(f).WithDepth(int32(w.Parts().Len())))
	}
	return parts
}

// wholeContent returns the content of the whole request.
func wholeContent(w value.Work) value.Content {
	return value.Content{}.WithFingerprint(w.Fingerprint()).WithDepth(int32(w.Parts().Len())).WithWhole(true)
}

// contentsOf returns all contents of a request that may crash servers.
func contentsOf(w value.Work) []value.Content { return append(partContents(w), wholeContent(w)) }

// hasContent reports whether the request has the content.
func hasContent(w value.Work, fingerprint uint64) bool {
	return slices.ContainsFunc(contentsOf(w), func(c value.Content) bool { return c.Fingerprint() == fingerprint })
}

// contentName returns the name of a content in logs.
func contentName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// partNames returns the names in logs of the first contents that other requests may share.
func partNames(w value.Work) []string {
	parts := partContents(w)
	return lo.Map(parts[:min(len(parts), maxLoggedParts)], func(c value.Content, _ int) string { return contentName(c.Fingerprint()) })
}

// admit returns the refusal of a request with quarantined content, or false if the request may be sent to a server.
//
// The request ends by its deadline, after which a trial of its content no longer blocks others. Content that is in doubt only,
// because many servers have crashed with it at one moment, needs no trial while another server sustains it; sustains says so.
func (g *guard) admit(w value.Work, timeLeft hoist.Millis, sustains func(func(value.Work) bool) bool) (value.PlaceAnswer, bool) {
	s := g.suspects.Load()
	if s.Len() == 0 {
		return value.PlaceAnswer{}, false
	}
	contents := contentsOf(w)
	causes := lo.Filter(contents, func(c value.Content, _ int) bool { return s.IsCause(c.Fingerprint()) })
	if lo.EveryBy(causes, func(c value.Content) bool {
		return s.IsInDoubt(c.Fingerprint()) && sustains(func(w value.Work) bool { return hasContent(w, c.Fingerprint()) })
	}) {
		return value.PlaceAnswer{}, false
	}
	now := g.wallClock.Now()
	var verdict retry.Verdict
	g.change(func(s retry.Suspects) retry.Suspects {
		s, verdict = s.Admit(contents, now+timeLeft, now)
		return s
	})
	refusal := value.PlaceAnswer{}.WithId(w.Id()).WithVerdict(value.PlaceVerdictQuarantined)
	switch v := verdict.(type) {
	case retry.Deny:
		return refusal.WithAfterMs(int64(v.After)), true
	case retry.Delay:
		return refusal.WithAfterMs(int64(v.After)), true
	case retry.Allow, retry.None, retry.Broadcast:
	}
	return value.PlaceAnswer{}, false
}

// crashed charges the crash of a server to the contents.
func (g *guard) crashed(charge value.Charge, contents []value.Content) {
	g.update(func(s retry.Suspects, now hoist.Millis) retry.Suspects { return s.WithCrash(charge, contents, now) })
}

// completed records a response to the request that has ended whole, which clears its contents.
func (g *guard) completed(w value.Work) {
	s, whole, parts := g.suspects.Load(), w.Fingerprint(), partContents(w)
	charged := slices.ContainsFunc(parts, func(c value.Content) bool { return s.Charged(c.Fingerprint()) })
	if !charged && !s.Charged(whole) && s.Completions().Includes(parts, g.wallClock.Now()) {
		return
	}
	g.update(func(s retry.Suspects, now hoist.Millis) retry.Suspects {
		s = s.Completed(parts, now)
		if s.Charged(whole) {
			s = s.Cleared(now, whole)
		}
		return s
	})
}

// withCompletions returns the contents with the complete responses that this instance knows of.
func (g *guard) withCompletions(contents []value.Content) []value.Content {
	completions := g.suspects.Load().Completions()
	return lo.Map(contents, func(c value.Content, _ int) value.Content {
		return c.WithCompletedMs(int64(completions.At(c.Fingerprint())))
	})
}

// unanswered ends the trials of the contents, which no server has run.
func (g *guard) unanswered(contents []value.Content) {
	s := g.suspects.Load()
	var causes []uint64
	for _, c := range contents {
		if s.IsCause(c.Fingerprint()) {
			causes = append(causes, c.Fingerprint())
		}
	}
	if len(causes) > 0 {
		g.change(func(s retry.Suspects) retry.Suspects { return s.TrialAborted(causes...) })
	}
}

// change replaces the suspects by a changed copy and returns both.
func (g *guard) change(f func(retry.Suspects) retry.Suspects) (old, s retry.Suspects) {
	g.writers.Lock()
	defer g.writers.Unlock()
	old = *g.suspects.Load()
	s = f(old)
	g.suspects.Store(&s)
	return old, s
}

// update changes the suspects and tells the other instances which contents are quarantined or released by the change.
func (g *guard) update(change func(retry.Suspects, hoist.Millis) retry.Suspects) {
	now := g.wallClock.Now()
	old, s := g.change(func(s retry.Suspects) retry.Suspects { return change(s, now) })
	items := s.CauseChanges(old, now)
	for _, q := range items {
		g.mesh.Submit(member.ItemPublished{Body: q})
	}
	// A prompt of many parts makes many contents causes at once; the whole request and its first parts name it in the log.
	slices.SortFunc(items, func(a, b value.Quarantine) int {
		return cmp.Or(cmp.Compare(lo.Ternary(a.Whole(), 0, 1), lo.Ternary(b.Whole(), 0, 1)), cmp.Compare(a.Depth(), b.Depth()))
	})
	for _, q := range items[:min(len(items), maxLoggedParts)] {
		code := event.ContentQuarantined
		if !s.IsCause(q.Fingerprint()) {
			code = event.ContentReleased
		}
		g.log.Write(code, logrus.Fields{
			"content": contentName(q.Fingerprint()), "depth": q.Depth(), "crashes": q.Crashes(), "remaining_ms": q.RemainingMs(),
			"rivals": rivalNames(s.Rivals(q.Fingerprint())),
		})
	}
}

// rivalNames returns the names in logs of the first rivals.
func rivalNames(rivals []uint64) []string {
	return lo.Map(rivals[:min(len(rivals), maxLoggedParts)], func(f uint64, _ int) string { return contentName(f) })
}

// merge merges the crash records of another instance.
func (g *guard) merge(q value.Quarantine) {
	now := g.wallClock.Now()
	g.change(func(s retry.Suspects) retry.Suspects { return s.Merged(q, now) })
}

// Quarantined returns what an instance that has just started must know of quarantined content, the newest first.
func (r *Relay) Quarantined() []value.Quarantine {
	g := r.guard
	return g.suspects.Load().CauseItems(maxQuarantinesSent, g.wallClock.Now())
}

// AddQuarantined adds quarantined content that another instance knows.
func (r *Relay) AddQuarantined(list []value.Quarantine) {
	for _, q := range list {
		r.guard.merge(q)
	}
}

// Deliver handles items that other instances have published.
func (r *Relay) Deliver(items []value.Item) {
	for _, i := range items {
		if q, ok := i.Body().(value.Quarantine); ok {
			r.guard.merge(q)
		}
	}
}

// crashCheck is what the check for a crash needs of a request, which may go on meanwhile.
type crashCheck struct {
	dispatcher *dispatcher
	server     value.BackendServer
	contents   []value.Content
	fields     logrus.Fields
}

// crashCheck returns the check for a crash of the server. Any content of the request may be the cause, also if the response
// had begun.
func (j *job) crashCheck(s value.BackendServer) crashCheck {
	w := j.work(0)
	fields := logrus.Fields{"request": j.request.ID, "server": s.Id(), "content": contentName(j.fingerprint), "parts": partNames(w)}
	return crashCheck{j.dispatcher, s, contentsOf(w), fields}
}

// probeCrash checks in the background whether the server has crashed while it ran the request.
func (j *job) probeCrash(s value.BackendServer) {
	c := j.crashCheck(s)
	go j.Log.Contain("crash probe", func() {
		if !j.attributeCrash(c) {
			j.Log.Write(event.CrashUnconfirmed, c.fields)
			j.rememberLost(c)
		}
	})
}

// attributeCrash attributes a crash of the server to the contents and returns true if the server refuses connections.
//
// The end of a connection alone does not prove a crash, because connections also break in the network. A server that
// refuses connections directly afterwards has crashed.
func (r *Relay) attributeCrash(c crashCheck) bool {
	ctx, cancel := context.WithTimeout(r.ctx, crashProbeTimeout.Duration())
	defer cancel()
	if !r.Client.Refused(ctx, c.server.Address()) {
		return false
	}
	r.Log.Write(event.CrashAttributed, c.fields)
	c.dispatcher.crashed(c.server, c.contents)
	return true
}
