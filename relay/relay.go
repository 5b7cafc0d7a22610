package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/feed"
	"chicoryhoist.example/hoist/http1"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/route"
	"chicoryhoist.example/hoist/value"
)

const (
	// DefaultTimeout is the time that a caller waits who doesn't say.
	DefaultTimeout = 60 * hoist.Second
	// burstMost bounds the repeats that one instance may make at once.
	burstMost = 8
	// burstPart is the part of the deployment's slack that the bursts of all instances take together; the rest covers instances that do not know of each other.
	burstPart = 2
	// budgetShare is the part of the fleet's share of repeats that requests earn, in tenths; the rest covers uneven windows.
	budgetShare = 8
	// keyAgeTenths is the part of the revocation bound up to which a proof counts, in tenths; the rest covers a watch that hears nothing for a moment and the way of a request to its server.
	keyAgeTenths = 8
	// proofPause is the time after which a caller whose key cannot be checked should try again.
	proofPause = 300 * hoist.Millis(1)
)

// Options are the parts that a relay works with.
type Options struct {
	Clock    hoist.Clock
	Client   *http1.Client
	Dialect  value.Dialect
	Follower *feed.Follower
	Settings value.ForwardSettings
	Log      *event.Log
	Metrics  *Metrics
	Mesh     Mesh
}

// Relay forwards requests.
type Relay struct {
	Options
	ctx      context.Context
	services atomic.Pointer[map[string]*service]
	members  atomic.Pointer[member.View]
	// replies holds the channels of the requests that wait for a server, by their id.
	replies sync.Map
	guard   *guard
	serial  atomic.Uint64
	active  atomic.Int64
}

// New returns a relay whose goroutines run until ctx ends.
func New(ctx context.Context, o Options) *Relay {
	r := &Relay{Options: o, ctx: ctx, guard: newGuard()}
	r.services.Store(&map[string]*service{})
	// Ids of different instances and of different starts must not meet at the owner of a shard.
	r.serial.Store(rand.Uint64() << serialBits)
	return r
}

// serialBits is the number of bits that count the requests of one start.
const serialBits = 24

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// KeysCurrent reports whether keys can be checked at the time.
func (r *Relay) KeysCurrent(now hoist.Millis) bool {
	return r.Follower.View().Age(now) <= hoist.Millis(r.Settings.Bounds().RevokeMs())*keyAgeTenths/10
}

// Ready reports whether the instance can serve callers.
func (r *Relay) Ready() bool {
	v := r.Follower.View()
	return v.Table != nil && r.KeysCurrent(r.Clock.Now())
}

// job is one admitted request.
type job struct {
	*Relay
	request  Request
	caller   ResponseWriter
	route    value.Route
	holder   value.KeyHolder
	rank     int32
	desk     *desk
	service  *service
	target   string
	progress Progress
	avoid    value.List[string]
	// last is the number of the last event that was passed on, and numbered says that there was one.
	last     int64
	numbered bool
	// server, first, reason and tail describe the request in the log.
	server string
	first  hoist.Millis
	// longest is the longest pause between two events, and event the time of the last one.
	longest, event hoist.Millis
	reason         string
	basis          value.PlaceAnswer
	// granted is the time from the arrival to the last grant.
	granted hoist.Millis
	load    value.ServerLoad
	view    *feed.View
	// failed is the complete error answer of the last attempt.
	failed *answer
}

// Serve forwards one request and answers its caller; ctx ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, q Request, c ResponseWriter) {
	r.active.Add(1)
	defer r.active.Add(-1)
	j := &job{Relay: r, request: q, caller: c, view: r.Follower.View()}
	if f := j.admit(); f != nil {
		j.refuse(f)
		j.end()
		return
	}
	j.service.earn(r.Settings.Retries().Permille() * budgetShare / 10)
	ctx, cancel := context.WithTimeoutCause(ctx, (j.progress.Deadline - r.Clock.Now()).Duration(), errExpired)
	defer cancel()
	j.serve(ctx)
	j.end()
}

// errExpired is the cause of a context whose request has run out of time.
var errExpired = errors.New("time of the request is over")

// admit checks route, key and time of the request; it returns the fault that refuses it.
func (j *job) admit() LocalError {
	t := j.view.Table
	if t == nil {
		return NotReady{}
	}
	var ok bool
	if j.route, ok = t.Match(j.request.Host, j.request.Path); !ok {
		return NoRoute{}
	}
	if t.RequiresKey(j.route) {
		if j.holder, ok = t.WorkspaceByKey(j.request.Key); !ok {
			return UnknownKey{}
		}
		if !j.KeysCurrent(j.Clock.Now()) {
			return KeysStale{After: proofPause}
		}
	}
	if after, ok := j.guard.isolated(j.request); ok {
		j.Log.Write(event.RequestQuarantined, logrus.Fields{"request": j.request.ID, "route": j.route.Name(), "workspace": j.holder.Name()})
		return Quarantined{After: after}
	}
	j.rank = t.Rank(j.route, j.holder)
	j.target = route.SelectService(j.route, j.request.ID)
	if j.service, ok = (*j.services.Load())[j.target]; !ok {
		return NotReady{}
	}
	j.desk = j.service.desk(j.request)
	end := DefaultTimeout
	if j.request.Timeout > 0 {
		end = j.request.Timeout
	}
	if t := hoist.Millis(j.route.TimeoutMs()); t > 0 {
		end = min(end, t)
	}
	j.progress = Progress{
		Repeatable: route.Repeatable(j.route),
		MaxRuns:    max(int(j.route.Attempts()), 1),
		Deadline:   j.request.Arrived + end,
	}
	return nil
}

// serve makes attempts until one of them or the time ends the request.
func (j *job) serve(ctx context.Context) {
	for {
		id := j.serial.Add(1)
		a := j.desk.ask(ctx, j.work(id))
		if a.Verdict() != value.PlaceVerdictGranted {
			j.unplaced(ctx, a)
			return
		}
		j.server, j.basis = a.Server(), a
		j.granted = j.Clock.Now() - j.request.Arrived
		o := j.place(ctx, id)
		var step Step
		j.progress, step = j.progress.Next(o, j.budget(o), j.Clock.Now())
		if _, again := step.(Retry); again {
			j.avoid = j.avoid.Append(j.server)
			continue
		}
		j.finish(step)
		return
	}
}

// place sends the request to the granted server, unless this instance knows that it is leaving or gone.
func (j *job) place(ctx context.Context, id uint64) Outcome {
	s, ok := j.desk.state.Load().Server(j.server)
	if !ok || s.Leaving() {
		j.desk.finished(id, assign.ResultCancelled)
		return Unsent{}
	}
	return j.attempt(ctx, id, s)
}

// budget takes a repeat out of the budget when the outcome may lead to one that reaches a server twice.
func (j *job) budget(o Outcome) bool {
	switch o.(type) {
	case NotRun:
		return j.service.charge()
	case ResponseLost, ServerError, Interrupted:
		return j.progress.Repeatable && j.progress.Runs+1 < j.progress.MaxRuns && j.service.charge()
	default:
		return true
	}
}

// unplaced ends a request for which no server was found.
func (j *job) unplaced(ctx context.Context, a value.PlaceAnswer) {
	switch {
	case ctx.Err() != nil && !expired(ctx):
		j.reason = "caller left"
	case j.progress.Started:
		j.finish(Abort{})
	case j.progress.Runs > 0:
		j.finish(Fail{})
	case a.Verdict() == value.PlaceVerdictRefused:
		j.refuse(Overloaded{After: hoist.Millis(a.AfterMs())})
	default:
		j.finish(Reject{})
	}
}

// work returns what the desk needs to know of the request.
func (j *job) work(id uint64) value.Work {
	return value.Work{}.WithId(id).WithRank(j.rank).WithParts(j.request.Parts).WithOutputTokens(j.request.Output).
		WithArrivedMs(int64(j.request.Arrived)).WithTargetMs(j.route.TargetMs()).WithEndMs(int64(j.progress.Deadline)).WithAvoid(j.avoid).
		WithOrigin(j.Settings.Name()).WithDatacentre(j.Settings.Datacentre())
}

// finish answers the caller.
func (j *job) finish(s Step) {
	switch s := s.(type) {
	case ForwardError:
		j.reason = "server error"
		j.caller.Start(j.failed.status, j.failed.header, int64(len(j.failed.body)))
		_ = j.caller.Write(j.failed.body) // A caller that has left is seen by its context.
	case Reject:
		j.refuse(Overloaded{After: assign.RetryAfter(j.progress.Deadline, j.Clock.Now())})
	case Fail:
		j.refuse(ServerFailed{})
	case TimeOut:
		j.refuse(DeadlineExceeded{})
	case Abort:
		j.reason = "broken off"
		j.caller.Abort()
	case Finish:
	case Retry:
		panic("relay: unfinished request: " + strconv.FormatBool(s.Charged))
	}
}

// refuse answers with an error of the router's own.
func (j *job) refuse(f LocalError) {
	j.reason = LocalErrorName(f)
	j.caller.Refuse(f)
}

// end logs and counts the request.
func (j *job) end() {
	now := j.Clock.Now()
	whole := now - j.request.Arrived
	j.Metrics.ended(j, whole)
	fields := logrus.Fields{
		"request": j.request.ID, "route": j.route.Name(), "workspace": j.holder.Name(), "rank": j.rank, "service": j.target,
		"server": j.server, "sends": j.progress.Sends, "runs": j.progress.Runs, "first_ms": j.first, "whole_ms": whole, "pause_ms": j.longest,
		"result": j.reason, "age_ms": j.view.Age(now), "granted_ms": j.granted, "fresh": j.basis.Fresh(), "unread": j.basis.Unread(),
		"running": j.basis.Running(), "server_running": j.load.Running(), "server_waiting": j.load.Waiting(), "slowness": j.load.Slowness(),
	}
	if j.view.Table != nil {
		fields["version"] = j.view.Table.Version()
	}
	j.Log.Write(event.RequestEnded, fields)
}

// LocalErrorName returns the name of a fault in logs, metrics and answers.
func LocalErrorName(f LocalError) string {
	switch f.(type) {
	case NotReady:
		return "unready"
	case NoRoute:
		return "no_route"
	case UnknownKey:
		return "no_key"
	case KeysStale:
		return "unproved"
	case Overloaded:
		return "busy"
	case Quarantined:
		return "isolated"
	case DeadlineExceeded:
		return "late"
	case ServerFailed:
		return "broken"
	default:
		return "unknown"
	}
}

// answer is a complete answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
}
