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
	"chicoryhoist.example/hoist/spread"
	"chicoryhoist.example/hoist/value"
)

const (
	// DefaultTimeout is the timeout of requests without a deadline header.
	DefaultTimeout = 60 * hoist.Second
	// budgetTenths is the fraction, in tenths, of the fleet's retry share that refills the budgets; the remainder
	// covers load that is uneven over time.
	budgetTenths = 8
	// keyAgeTenths is the fraction, in tenths, of the revocation bound up to which the store view counts as current.
	// The remainder covers a watch that is interrupted for a moment and the transfer of a request to its server.
	keyAgeTenths = 8
	// maxTableWait is the longest time for which a request waits for the first route table, and tableWaitDivisor the part of
	// the caller's timeout that it may take.
	maxTableWait     = hoist.Second
	tableWaitDivisor = 4
	// keysStaleRetryAfter is the delay after which a caller whose key cannot be checked should try again.
	keysStaleRetryAfter = 300 * hoist.Millis(1)
)

// Options are the dependencies of a Relay.
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

// Relay forwards requests to backend servers.
type Relay struct {
	Options
	ctx      context.Context
	services atomic.Pointer[map[string]*service]
	members  atomic.Pointer[member.View]
	// waiters maps the IDs of the requests that wait for a server to their response channels.
	waiters sync.Map
	guard   *guard
	// notices is what servers have told this instance about themselves.
	notices atomic.Pointer[assign.Notices]
	// lost holds the attempts that were lost lately without a known crash, the oldest first.
	lost atomic.Pointer[[]lostAttempt]
	// runs counts the attempts of this instance by data centre.
	runs datacentreRuns
	// refreshMissed is the time of confirmation of the last view that no newer one replaced while a request waited for that.
	refreshMissed atomic.Int64
	// loads is what this instance knows of the load of shards.
	loads  atomic.Pointer[spread.Loads]
	nextID atomic.Uint64
	active atomic.Int64
	// drain is the planned stop in progress, or nil.
	drain atomic.Pointer[Drain]
	// allRequests ends with endRequests.
	allRequests context.Context
	endRequests context.CancelFunc
}

// New returns a relay whose goroutines run until ctx ends.
func New(ctx context.Context, o Options) *Relay {
	r := &Relay{Options: o, ctx: ctx, guard: newGuard(o.Log, o.Mesh)}
	r.allRequests, r.endRequests = context.WithCancel(ctx)
	r.services.Store(&map[string]*service{})
	r.notices.Store(&assign.Notices{})
	r.loads.Store(&spread.Loads{})
	r.lost.Store(&[]lostAttempt{})
	// A random start value keeps the IDs of different instances and process starts distinct at a shard owner.
	r.nextID.Store(rand.Uint64() << idCounterBits)
	return r
}

// idCounterBits is the number of low bits of an ID that count the requests of one process start.
const idCounterBits = 24

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// KeysCurrent reports whether the store view is recent enough to check keys.
func (r *Relay) KeysCurrent(now hoist.Millis) bool {
	return r.Follower.View().KeysAge(now) <= hoist.MillisOfFloat(r.Settings.Bounds().RevokeMs())*keyAgeTenths/10
}

// Ready reports whether the instance can serve callers.
func (r *Relay) Ready() bool {
	v := r.Follower.View()
	return v.Table != nil && r.KeysCurrent(r.Clock.Now())
}

// job is one request in progress.
type job struct {
	*Relay
	request   Request
	response  ResponseWriter
	route     value.Route
	workspace value.KeyHolder
	rank      int32
	// fingerprint is the hash of the whole request, and pathFingerprint that without its query or zero.
	fingerprint, pathFingerprint uint64
	dispatcher                   *dispatcher
	// choice is the choice of the shard, or nil if it did not depend on the load.
	choice      *spread.Choice
	serviceName string
	progress    Progress
	avoid       value.List[string]
	// regions are those whose servers may run the request, empty for all; noRegion is set if there is none.
	regions  value.List[string]
	noRegion bool
	// moved is set once the request was placed at another shard because its own had no permitted server.
	moved bool
	// attemptID is the ID of the last attempt.
	attemptID uint64
	// charged is set if the next attempt counts against the retry budget.
	charged bool
	// began is set once the current attempt has received a whole event or the body of a response that is not a stream.
	began     bool
	numbering numbering
	// The following fields describe the request in the log; firstByteTime is the time from the arrival to the first
	// byte of the response.
	server        string
	firstByteTime hoist.Millis
	// maxEventGap is the longest time between two events, lastEventAt the time of the last event.
	maxEventGap, lastEventAt hoist.Millis
	result                   string
	placement                value.PlaceAnswer
	// grantTime is the time from the arrival to the last grant.
	grantTime  hoist.Millis
	serverLoad value.ServerLoad
	view       *feed.View
	// errorResponse is the complete error response of the last attempt.
	errorResponse *serverResponse
}

// Serve forwards one request and writes the response to w; ctx ends when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, q Request, w ResponseWriter) {
	r.active.Add(1)
	defer r.active.Add(-1)
	r.awaitTable(ctx, q)
	j := &job{Relay: r, request: q, response: w, view: r.Follower.View()}
	if e := j.admit(); e != nil {
		j.reject(e)
		j.record()
		return
	}
	ctx, cancel := r.withDeadline(ctx, j.progress.Deadline)
	defer cancel()
	if !r.Log.Contain("request", func() { j.serve(ctx) }) {
		j.abandon()
	}
	j.record()
}

// abandon ends a request whose handling has panicked: its server is released, and it may have run.
func (j *job) abandon() {
	j.dispatcher.finished(j.attemptID, assign.ResultCancelled)
	j.progress.Runs++
	j.finish(j.progress.StepUnplaced(false))
}

// awaitTable waits for the route table of an instance that has just started: callers repeat a rejected request only a few
// times, and the table usually arrives within a fraction of a second.
func (r *Relay) awaitTable(ctx context.Context, q Request) {
	if r.Follower.View().Table != nil {
		return
	}
	limit := maxTableWait
	if q.Timeout > 0 {
		limit = min(limit, q.Timeout/tableWaitDivisor)
	}
	select {
	case <-r.Follower.HasTable():
	case <-ctx.Done():
	case <-r.Clock.After(limit):
	}
}

// errDeadline is the cause of a context that ended at the deadline of its request.
var errDeadline = errors.New("deadline of the request has passed")

// admit checks the route and the key of the request and sets its deadline. It returns the local error to
// send if the request is rejected.
func (j *job) admit() LocalError {
	t := j.view.Table
	if t == nil {
		return NotReady{}
	}
	r, h, e := match(t, j.request)
	if e != nil {
		j.route = r
		return e
	}
	if t.ChecksKey(r, j.request.Key) && !j.KeysCurrent(j.Clock.Now()) {
		j.route, j.workspace = r, h
		return KeysStale{After: keysStaleRetryAfter}
	}
	j.fingerprint, j.pathFingerprint = fingerprint(j.request), pathFingerprint(j.request)
	j.progress.Deadline = j.request.Arrived + DefaultTimeout
	if j.request.Timeout > 0 {
		j.progress.Deadline = j.request.Arrived + j.request.Timeout
	}
	j.apply(t, r, h)
	if d := j.drain.Load(); d != nil {
		// A body that was late counts: the time is that of the whole request.
		var ok bool
		if j.progress.Deadline, ok = d.Admit(j.progress.Deadline, j.Clock.Now()); !ok {
			return Stopping{}
		}
	}
	return j.selectDispatcher()
}

// match returns the route of the request and the workspace of its key, or the local error if the table does not allow the
// request.
func match(t *route.Table, q Request) (value.Route, value.KeyHolder, LocalError) {
	r, ok := t.Match(q.Host, q.Path)
	if !ok {
		return r, value.KeyHolder{}, NoRoute{}
	}
	if !t.ChecksKey(r, q.Key) {
		return r, value.KeyHolder{}, nil
	}
	h, ok := t.WorkspaceByKey(q.Key)
	if !ok {
		return r, h, UnknownKey{}
	}
	return r, h, nil
}

// apply sets what the table says of the request; the deadline only becomes shorter.
func (j *job) apply(t *route.Table, r value.Route, h value.KeyHolder) {
	j.route, j.workspace, j.rank = r, h, t.Rank(r, h)
	j.serviceName = route.SelectService(r, j.request.ID)
	j.restrict(r, h)
	j.progress.Repeatable, j.progress.MaxRuns = route.Repeatable(r), max(int(r.Attempts()), 1)
	if limit := hoist.Millis(r.TimeoutMs()); limit > 0 {
		j.progress.Deadline = min(j.progress.Deadline, j.request.Arrived+limit)
	}
}

// selectDispatcher sets the dispatcher that places the next attempt; it changes with the number of servers.
func (j *job) selectDispatcher() LocalError {
	s, ok := (*j.services.Load())[j.serviceName]
	if !ok {
		return NotReady{}
	}
	if j.noRegion {
		return Excluded{After: excludedRetryAfter}
	}
	if len(s.shards) > 1 {
		j.dispatcher = j.balancedDispatcher(s)
	} else {
		j.dispatcher = s.dispatcherFor(j.request)
	}
	if j.view.Evacuated.Len() > 0 || j.regions.Len() > 0 {
		j.dispatcher = s.permitting(j.dispatcher, j.regions)
	}
	return nil
}

// isKeyRevoked reports whether the newest table no longer allows the key of the request.
func (j *job) isKeyRevoked() bool {
	t := j.Follower.View().Table
	if t == j.view.Table {
		return false
	}
	_, _, e := match(t, j.request)
	_, revoked := e.(UnknownKey)
	return revoked
}

// readmit checks a request by the newest table before it is sent again. A request that has not run is treated as a new
// one. One that may have run stays with its service, and may be sent again as long as its key is valid, also if its route
// has been removed: its caller sent it while the route was there.
func (j *job) readmit() LocalError {
	j.view = j.Follower.View()
	r, h, e := match(j.view.Table, j.request)
	if _, revoked := e.(UnknownKey); revoked {
		return e
	}
	switch {
	case j.progress.Runs == 0 && e != nil:
		return e
	case j.progress.Runs == 0:
		j.apply(j.view.Table, r, h)
	case e == nil:
		j.restrict(r, h)
	}
	return j.selectDispatcher()
}

// serve makes attempts until one of them or the deadline ends the request.
func (j *job) serve(ctx context.Context) {
	for first := true; ; first = false {
		if !first {
			if e := j.readmit(); e != nil {
				j.finishUnsent(e)
				return
			}
		}
		id := j.nextID.Add(1)
		j.attemptID = id
		sentAt := j.Clock.Now()
		a := j.dispatcher.place(ctx, j.work(id))
		j.learnLoad(a, sentAt)
		if j.movesShard(a) {
			continue
		}
		if a.Verdict() != value.PlaceVerdictGranted {
			j.finishUnplaced(ctx, a)
			return
		}
		v := j.viewBeforeSending(ctx)
		// The request may have waited for the server, and for a newer view.
		if j.isKeyRevoked() {
			j.dispatcher.finished(id, assign.ResultCancelled)
			j.finishUnsent(UnknownKey{})
			return
		}
		j.server, j.placement = a.Server(), a
		j.grantTime = j.Clock.Now() - j.request.Arrived
		o := j.sendGranted(ctx, id, v)
		var step Step
		j.progress, step = j.progress.Next(o, j.Clock.Now())
		if r, retry := step.(Retry); retry {
			j.avoid, j.charged = j.avoid.Append(j.server), r.Charged
			continue
		}
		j.finish(step)
		return
	}
}

// sendGranted sends the request to the granted server, unless this instance knows that the server is leaving, lost or
// excluded, or wants no requests from it now. The owner that has granted the server is told again, except of evacuations,
// which it learns from the store. The server is checked by the view.
func (j *job) sendGranted(ctx context.Context, id uint64, v *feed.View) Outcome {
	s, ok := j.dispatcher.state.Load().Server(j.server)
	notices := j.notices.Load()
	pause := notices.PausedFor(s, j.Clock.Now())
	if notices.Leaving(s) {
		j.dispatcher.leaving(s)
	} else if pause > 0 {
		j.dispatcher.paused(s, pause)
	}
	if !ok || s.Leaving() || notices.Leaving(s) || pause > 0 {
		j.dispatcher.finished(id, assign.ResultCancelled)
		return Unsent{}
	}
	if j.isExcluded(v, s) {
		j.avoidExcluded(v)
		j.dispatcher.finished(id, assign.ResultCancelled)
		return Unsent{}
	}
	defer j.runs.start(s.Datacentre())()
	return j.attempt(ctx, id, s)
}

// finishUnplaced ends a request for which no server was found.
func (j *job) finishUnplaced(ctx context.Context, a value.PlaceAnswer) {
	if ctx.Err() != nil && !deadlineExpired(ctx) {
		j.result = "caller left"
		return
	}
	step := j.progress.StepUnplaced(j.errorResponse != nil)
	after := hoist.Millis(a.AfterMs())
	quarantined := a.Verdict() == value.PlaceVerdictQuarantined
	if quarantined {
		j.Log.Write(event.RequestQuarantined, logrus.Fields{
			"request": j.request.ID, "route": j.route.Name(), "workspace": j.workspace.Name(),
			"content": contentName(j.fingerprint), "parts": partNames(j.work(0)), "after_ms": after,
		})
	}
	switch _, rejected := step.(Reject); {
	case rejected && quarantined:
		j.reject(Quarantined{After: after})
	case rejected && a.Verdict() == value.PlaceVerdictRefused && j.excludesAll():
		j.reject(Excluded{After: excludedRetryAfter})
	case rejected && a.Verdict() == value.PlaceVerdictRefused:
		j.reject(Overloaded{After: after})
	default:
		j.finish(step)
	}
}

// finishUnsent ends a request that may not be sent again. It is rejected with the error only if it has not run.
func (j *job) finishUnsent(e LocalError) {
	step := j.progress.StepUnplaced(j.errorResponse != nil)
	if _, rejected := step.(Reject); rejected {
		j.reject(e)
		return
	}
	j.finish(step)
}

// work returns the description of the request that the dispatcher needs.
func (j *job) work(id uint64) value.Work {
	w := value.Work{}.WithId(id).WithRank(j.rank).WithParts(j.request.Parts).WithOutputTokens(j.request.Output).
		WithArrivedMs(int64(j.request.Arrived)).WithTargetMs(j.route.TargetMs()).WithEndMs(int64(j.progress.Deadline)).WithAvoid(j.avoid).
		WithOrigin(j.Settings.Name()).WithDatacentre(j.Settings.Datacentre()).WithRetry(j.charged).WithFingerprint(j.fingerprint).
		WithRegions(j.regions).WithPathFingerprint(j.pathFingerprint)
	// Only the rules for limited engines divide the load by workspace; elsewhere, the name would only lengthen messages.
	if j.dispatcher.state.Load().Rules().Engines {
		w = w.WithWorkspace(j.workspace.Name())
	}
	return w
}

// finish carries out the last step of the request.
func (j *job) finish(s Step) {
	switch s := s.(type) {
	case ForwardError:
		j.result = "server error"
		j.response.Start(j.errorResponse.status, j.errorResponse.header, int64(len(j.errorResponse.body)))
		_ = j.response.Write(j.errorResponse.body) // A disconnected caller ends the context.
		j.response.End()
	case Reject:
		j.reject(Overloaded{After: assign.RetryAfter(j.progress.Deadline, j.Clock.Now())})
	case Fail:
		j.reject(ServerFailed{})
	case TimeOut:
		j.reject(DeadlineExceeded{})
	case Abort:
		j.result = "broken off"
	case Finish:
	case Retry:
		panic("relay: unfinished request: " + strconv.FormatBool(s.Charged))
	}
}

// reject sends a local error to the caller.
func (j *job) reject(e LocalError) {
	j.result = LocalErrorName(e)
	j.response.Refuse(e)
}

// record logs the request and updates the metrics.
func (j *job) record() {
	now := j.Clock.Now()
	duration := now - j.request.Arrived
	j.Metrics.observe(j, duration)
	fields := logrus.Fields{
		"request": j.request.ID, "route": j.route.Name(), "workspace": j.workspace.Name(), "rank": j.rank, "service": j.serviceName,
		"server": j.server, "sends": j.progress.Sends, "runs": j.progress.Runs, "first_ms": j.firstByteTime, "whole_ms": duration, "pause_ms": j.maxEventGap,
		"result": j.result, "age_ms": j.view.Age(now), "granted_ms": j.grantTime, "fresh": j.placement.Fresh(), "unread": j.placement.Unread(),
		"running": j.placement.Running(), "server_running": j.serverLoad.Running(), "server_waiting": j.serverLoad.Waiting(), "slowness": j.serverLoad.Slowness(),
	}
	if j.choice != nil {
		fields["shard"], fields["moved"], fields["excess_ms"] = j.dispatcher.shard, j.choice.Moved, int64(j.choice.ExcessMs)
		if j.choice.Reported {
			fields["load_age_ms"] = j.choice.Age
		}
	}
	if j.view.Table != nil {
		fields["version"] = j.view.Table.Version()
	}
	j.Log.Write(event.RequestEnded, fields)
}

// LocalErrorName returns the name of a local error in logs, metrics and responses.
func LocalErrorName(e LocalError) string {
	switch e.(type) {
	case NotReady:
		return "unready"
	case Stopping:
		return "draining"
	case NoRoute:
		return "no_route"
	case UnknownKey:
		return "no_key"
	case KeysStale:
		return "unproved"
	case Overloaded:
		return "busy"
	case Excluded:
		return "excluded"
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

// serverResponse is a complete response of a server.
type serverResponse struct {
	status int
	header http.Header
	body   []byte
}
