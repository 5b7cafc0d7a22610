package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

const (
	// deskInbox bounds the events that wait for the goroutine of a desk.
	deskInbox = 1024
	// holdingInterval is the time between two lists of the own requests to the owner, which repair lost messages.
	holdingInterval = 500 * hoist.Millis(1)
	// askInterval is the time after which an unanswered ask is sent again: several round trips between data centres.
	askInterval = 20 * hoist.Millis(1)
	// askTime is the time after which an owner that has not answered counts as out.
	askTime = 60 * hoist.Millis(1)
	// queuedInterval is the time after which a request that waits at the owner asks again, and queuedTime the silence after which the owner counts as out.
	queuedInterval = 150 * hoist.Millis(1)
	queuedTime     = 400 * hoist.Millis(1)
	// distrustTime is the time for which an owner that is out is not asked.
	distrustTime = 500 * hoist.Millis(1)
)

// Mesh carries messages between instances.
type Mesh interface {
	// SendTo sends a message to a live instance; it may be lost.
	SendTo(name string, b value.DatagramBody)
	// Submit passes an event to the membership.
	Submit(e member.Event)
}

// desk places the requests of one shard: at the owner of the shard, or by itself when it owns the shard or the owner is out.
type desk struct {
	shard   string
	self    string
	clock   hoist.Clock
	log     *event.Log
	mesh    Mesh
	inbox   chan assign.Event
	state   atomic.Pointer[assign.State]
	owner   atomic.Pointer[string]
	replies *sync.Map
	ended   <-chan struct{}
	// distrusted is the time until which the owner is not asked.
	distrusted atomic.Int64
}

// run processes events until the desk ends.
func (d *desk) run() {
	var wake <-chan hoist.Millis
	report := d.clock.After(holdingInterval)
	for {
		var e assign.Event
		select {
		case <-d.ended:
			return
		case e = <-d.inbox:
		case <-wake:
			wake, e = nil, assign.Ticked{}
		case <-report:
			d.report()
			report = d.clock.After(holdingInterval)
			continue
		}
		now := d.clock.Now()
		s, effects := d.state.Load().Decide(e, now)
		d.state.Store(&s)
		for _, x := range effects {
			d.deliver(x)
		}
		if at, ok := s.Wake(now); ok && wake == nil {
			wake = d.clock.After(max(at-now, 1))
		}
	}
}

// deliver hands an effect to the request that waits for it, here or at another instance.
func (d *desk) deliver(x assign.Effect) {
	var origin string
	a := value.PlaceAnswer{}.WithShard(d.shard)
	switch x := x.(type) {
	case assign.Grant:
		origin = x.Origin
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictGranted).WithServer(x.Server.Id()).
			WithFresh(x.Basis.UncachedTokens).WithUnread(x.Basis.PendingTokens).WithRunning(int32(x.Basis.Running))
	case assign.Refuse:
		origin = x.Origin
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictRefused).WithAfterMs(int64(x.After)).WithOverload(x.Reason == assign.Overload)
	case assign.Queued:
		origin = x.Origin
		a = a.WithId(x.ID).WithVerdict(value.PlaceVerdictQueued)
	}
	if origin != d.self {
		d.mesh.SendTo(origin, a)
		return
	}
	if c, ok := d.replies.Load(a.Id()); ok {
		offer(c, a)
	}
}

// offer hands an answer to a request without waiting; the channel has room for what a request reads.
func offer(c any, a value.PlaceAnswer) {
	select {
	case c.(chan value.PlaceAnswer) <- a:
	default:
	}
}

// post passes an event to the desk.
func (d *desk) post(e assign.Event) {
	select {
	case d.inbox <- e:
	case <-d.ended:
	}
}

// remote returns the owner if that is another instance which is expected to answer.
func (d *desk) remote(now hoist.Millis) (string, bool) {
	owner := *d.owner.Load()
	return owner, owner != "" && owner != d.self && now >= hoist.Millis(d.distrusted.Load())
}

// report lists the own requests to the owner.
func (d *desk) report() {
	if owner, ok := d.remote(d.clock.Now()); ok {
		granted, runs := d.state.Load().Holding(d.self, owner, d.clock.Now())
		d.mesh.SendTo(owner, value.PlaceHolding{}.WithShard(d.shard).WithGranted(granted).WithRuns(runs))
	}
}

// own sets the owner of the shard.
func (d *desk) own(name string) {
	old := d.owner.Swap(&name)
	if *old != name {
		d.log.Write(event.OwnerChanged, logrus.Fields{"shard": d.shard, "owner": name, "former": *old})
		d.distrusted.Store(0)
		d.report()
	}
}

// answerRoom is the number of answers that may wait for one request: a few copies of each verdict.
const answerRoom = 8

// ask waits for a server; it returns an unspecified verdict when ctx ends first.
func (d *desk) ask(ctx context.Context, w value.Work) value.PlaceAnswer {
	reply := make(chan value.PlaceAnswer, answerRoom)
	d.replies.Store(w.Id(), reply)
	defer d.replies.Delete(w.Id())
	if owner, ok := d.remote(d.clock.Now()); ok {
		if a, ok := d.askOwner(ctx, owner, w, reply); ok {
			return a
		}
	}
	if ctx.Err() != nil {
		return value.PlaceAnswer{}
	}
	d.post(assign.Submitted{Work: w})
	for {
		select {
		case a := <-reply:
			if a.Verdict() == value.PlaceVerdictGranted || a.Verdict() == value.PlaceVerdictRefused {
				return a
			}
			continue
		case <-ctx.Done():
		case <-d.ended:
		}
		// The desk may have granted a server a moment ago; both events together undo either case.
		d.post(assign.Cancelled{ID: w.Id()})
		d.post(assign.Finished{ID: w.Id(), Result: assign.ResultCancelled})
		return value.PlaceAnswer{}
	}
}

// askOwner asks another instance; it returns false when the request has to be placed here.
func (d *desk) askOwner(ctx context.Context, owner string, w value.Work, reply <-chan value.PlaceAnswer) (value.PlaceAnswer, bool) {
	heard, patience := d.clock.Now(), askTime
	d.sendAsk(owner, w)
	again := d.clock.After(askInterval)
	for {
		select {
		case <-ctx.Done():
			d.tell(owner, value.PlaceNote{}.WithId(w.Id()).WithChange(value.PlaceChangeWithdrawn))
			return value.PlaceAnswer{}, true
		case a := <-reply:
			heard = d.clock.Now()
			switch a.Verdict() {
			case value.PlaceVerdictGranted:
				d.post(assign.Placed{Run: value.PlaceRun{}.WithWork(w).WithServer(a.Server()).WithFresh(a.Fresh()), By: owner})
				return a, true
			case value.PlaceVerdictRefused:
				return a, true
			case value.PlaceVerdictForeign:
				return a, false
			default:
				patience = queuedTime
				again = d.clock.After(queuedInterval)
			}
		case now := <-again:
			if now-heard >= patience {
				d.distrusted.Store(int64(now + distrustTime))
				d.log.Write(event.OwnerUnresponsive, logrus.Fields{"shard": d.shard, "owner": owner, "silent_ms": now - heard})
				d.tell(owner, value.PlaceNote{}.WithId(w.Id()).WithChange(value.PlaceChangeWithdrawn))
				return value.PlaceAnswer{}, false
			}
			d.sendAsk(owner, w)
			again = d.clock.After(askInterval)
			if patience == queuedTime {
				again = d.clock.After(queuedInterval)
			}
		}
	}
}

// sendAsk sends the request to the owner.
func (d *desk) sendAsk(owner string, w value.Work) {
	d.mesh.SendTo(owner, value.PlaceAsk{}.WithShard(d.shard).WithWork(assign.WithRelativeTimes(w, d.clock.Now())))
}

// tell sends a note to an owner.
func (d *desk) tell(owner string, n value.PlaceNote) { d.mesh.SendTo(owner, n.WithShard(d.shard)) }

// began reports the first byte of an answer.
func (d *desk) began(id uint64, load value.ServerLoad, loaded bool) {
	d.post(assign.Responded{ID: id, Load: load, Loaded: loaded})
	if owner, ok := d.remote(d.clock.Now()); ok {
		d.tell(owner, value.PlaceNote{}.WithId(id).WithChange(value.PlaceChangeBegan).WithLoad(load).WithLoaded(loaded))
	}
}

// finished reports the end of a request at its server.
func (d *desk) finished(id uint64, r assign.Result) {
	d.post(assign.Finished{ID: id, Result: r})
	if owner, ok := d.remote(d.clock.Now()); ok {
		d.tell(owner, value.PlaceNote{}.WithId(id).WithChange(value.PlaceChangeEnded).WithResult(int32(r)))
	}
}

// receive takes a message of another instance about this shard.
func (d *desk) receive(sender string, b value.DatagramBody) {
	now := d.clock.Now()
	switch b := b.(type) {
	case value.PlaceAsk:
		if *d.owner.Load() != d.self || !d.state.Load().Listed() {
			d.mesh.SendTo(sender, value.PlaceAnswer{}.WithShard(d.shard).WithId(b.Work().Id()).WithVerdict(value.PlaceVerdictForeign))
			return
		}
		d.post(assign.Submitted{Work: assign.WithAbsoluteTimes(b.Work(), now)})
	case value.PlaceNote:
		switch b.Change() {
		case value.PlaceChangeBegan:
			d.post(assign.Responded{ID: b.Id(), Load: b.Load(), Loaded: b.Loaded()})
		case value.PlaceChangeEnded:
			d.post(assign.Finished{ID: b.Id(), Result: assign.Result(b.Result())})
		default:
			d.post(assign.Cancelled{ID: b.Id()})
			d.post(assign.Finished{ID: b.Id(), Result: assign.ResultCancelled})
		}
	case value.PlaceHolding:
		d.post(assign.RunsReported{Origin: sender, Granted: b.Granted(), Runs: b.Runs()})
	default:
	}
}
