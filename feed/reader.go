package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// readerRequestInterval is the interval of requests to a source; a short one detects its failure quickly.
	readerRequestInterval = 500 * hoist.Millis(1)
	// readerTimeout limits the response of a source.
	readerTimeout = 250 * hoist.Millis(1)
	// readerRepeatDelay is the time after which a request without a response is repeated, in case a datagram was lost.
	readerRepeatDelay = 100 * hoist.Millis(1)
	// minSilentTime and maxSilentTime limit the time for which a source that did not respond is not asked; it doubles with each
	// time. The membership excludes an instance that is lost, but knows of a loss in another data centre only after seconds.
	minSilentTime = hoist.Second
	maxSilentTime = 4 * hoist.Second
	// convergencePollInterval is the interval of checks of the membership while it converges; a current list needs no request to
	// the store until then.
	convergencePollInterval = 100 * hoist.Millis(1)
	// startPollInterval is the interval of requests of an instance that has no content yet.
	startPollInterval = 50 * hoist.Millis(1)
	// maxStartSources is the number of later readers that a reader without content asks before it lists the store.
	maxStartSources = 2
	// storeRetryDelay is the mean delay between two requests to a store that does not respond to this instance.
	storeRetryDelay = 2 * hoist.Second
	// instanceStoreInterval is the mean time between two requests of the whole region to the store while no reader has current
	// content, so that the requests do not grow with the number of instances.
	instanceStoreInterval = 50 * hoist.Millis(1)
	// maxReaderAgeHalfWatches is the age of a reader's content, in halves of a watch timeout, above which the reader is behind.
	// Content that is confirmed by one watch after the other is at most two watch timeouts old.
	maxReaderAgeHalfWatches = 5
	// fragmentBytes is the size of one fragment of a response.
	fragmentBytes = 16 << 10
)

// errReaderBehind means that the content of a source is outdated or that it cannot reach the store, errReaderEmpty that it
// has no content yet, and errReaderSilent that it did not respond.
var (
	errReaderBehind = errors.New("store reader is behind")
	errReaderEmpty  = errors.New("store reader has no content yet")
	errReaderSilent = errors.New("store reader did not respond")
)

// Mesh carries messages between instances.
type Mesh interface {
	// SendTo sends a message to a live instance; the message may be lost.
	SendTo(name string, b value.DatagramBody)
	// Converging reports whether the live instances are unknown because this instance has just started or was paused.
	Converging() bool
	// ReaderPlan returns the part of this instance in reading the store.
	ReaderPlan() member.ReaderPlan
	// RandomPeer returns a random live instance other than this one.
	RandomPeer() (string, bool)
}

// readerRequests is the state of the requests to the reader.
type readerRequests struct {
	mu     sync.Mutex
	number uint64
	// pending is the response that is being received.
	pending *pendingResponse
	// hint signals that the reader has a new revision.
	hint chan struct{}
}

// pendingResponse collects the fragments of a response.
type pendingResponse struct {
	number    uint64
	fragments [][]byte
	missing   int
	done      chan []byte
}

// followPeers takes the content from other instances and waits for the next round; it returns false if the store is to be
// used.
func (f *Follower) followPeers(ctx context.Context) bool {
	if f.Mesh == nil {
		return false
	}
	plan := f.Mesh.ReaderPlan()
	if f.listed && f.Mesh.Converging() && f.View().Age(f.Clock.Now()) < f.maxReaderAge(plan) {
		f.waitForHint(ctx, convergencePollInterval)
		return true
	}
	if plan.Reader && f.listed && f.unreachable && f.Clock.Now() >= f.nextStoreRequest {
		return false
	}
	for _, s := range f.sources(plan) {
		e, err := f.requestReader(ctx, s, f.maxReaderAge(plan))
		if err == nil {
			delete(f.silences, s)
			f.applyResponse(e, slices.Contains(plan.Sources, s))
			f.waitForHint(ctx, readerRequestInterval)
			return true
		}
		if errors.Is(err, errReaderSilent) {
			f.silences[s] = f.silences[s].longer(f.Clock.Now())
			continue
		}
		delete(f.silences, s)
		if errors.Is(err, errReaderEmpty) && !f.listed {
			break // The source is starting as well, and sends a hint when it has content.
		}
	}
	return ctx.Err() != nil || f.postponeStore(ctx, plan)
}

// maxReaderAge returns the age above which the content of a source is behind. The instances that do not read the store get
// it from others that ask for it at intervals.
func (f *Follower) maxReaderAge(plan member.ReaderPlan) hoist.Millis {
	age := f.WatchTimeout * maxReaderAgeHalfWatches / 2
	if !plan.Reader {
		age += readerRequestInterval
	}
	return age
}

// silence is the time for which a source is not asked because it did not respond.
type silence struct{ duration, until hoist.Millis }

// longer returns the silence after another request without a response.
func (s silence) longer(now hoist.Millis) silence {
	s.duration = max(minSilentTime, min(2*s.duration, maxSilentTime))
	s.until = now + s.duration
	return s
}

// sources returns the instances to ask. Those that did not respond lately are left out, so that they do not delay the others
// or the store.
func (f *Follower) sources(plan member.ReaderPlan) []string {
	names := slices.Clone(plan.Sources)
	switch {
	case f.unreachable:
		names = append(names, plan.Fallbacks...)
		if peer, ok := f.Mesh.RandomPeer(); ok && !plan.Reader {
			names = append(names, peer)
		}
	case !f.listed:
		// What a store has lost that returned from an older copy is known to instances that were there before.
		names = append(names, lo.Subset(plan.Fallbacks, 0, maxStartSources)...)
	}
	now := f.Clock.Now()
	return slices.DeleteFunc(names, func(n string) bool { return now < f.silences[n].until })
}

// applyResponse applies the response of another instance. Only an instance that is closer to the store than this one proves
// that the store can be followed; the content of others may come from this one.
func (f *Follower) applyResponse(e Event, closer bool) {
	f.listed, f.compacted, f.unconfirmed = true, false, Listed{}
	if closer {
		f.nextStoreRequest = 0
		f.logReachability(nil)
	}
	f.apply(e, false)
}

// postponeStore waits instead of a request to the store; it returns false if the store is to be used now. No source has
// current content.
func (f *Follower) postponeStore(ctx context.Context, plan member.ReaderPlan) bool {
	now := f.Clock.Now()
	first := plan.Reader && len(plan.Sources) == 0
	switch {
	case !f.listed:
		if now-f.startedAt < f.StartPatience && (!first || plan.Instances == 1) {
			f.waitForHint(ctx, startPollInterval)
			return true
		}
		return !first && !f.mayRequestStore(ctx, plan, now)
	case plan.Reader:
		return false
	default:
		f.logReachability(errReaderBehind)
		f.apply(Failed{}, false)
		return !f.mayRequestStore(ctx, plan, now)
	}
}

// mayRequestStore reports whether an instance that is not to read the store uses it all the same. It spreads the requests of
// all instances over time, and waits if it is not the turn of this one.
func (f *Follower) mayRequestStore(ctx context.Context, plan member.ReaderPlan, now hoist.Millis) bool {
	if !f.listed && f.nextStoreRequest == 0 {
		return true
	}
	interval := 2 * instanceStoreInterval * hoist.Millis(max(plan.Instances, 1))
	if f.nextStoreRequest == 0 {
		f.nextStoreRequest = now + rand.N(interval)
	}
	if now >= f.nextStoreRequest {
		f.nextStoreRequest = now + rand.N(interval)
		return true
	}
	f.waitForHint(ctx, min(readerRequestInterval, f.nextStoreRequest-now))
	return false
}

// waitForHint waits for the duration, for a hint of the reader or for the end of ctx.
func (f *Follower) waitForHint(ctx context.Context, duration hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-f.readerRequests.hint:
	case <-f.Clock.After(duration):
	}
}

// requestReader sends one request to another instance, whose content must not be older than maxAge.
//
// The content is confirmed at the time of the request less the age stated in the response: the response was made after the
// request, however long it took and whether or not this process was suspended in between.
func (f *Follower) requestReader(ctx context.Context, reader string, maxAge hoist.Millis) (Event, error) {
	requestedAt := f.Clock.Now()
	content, err := f.exchange(ctx, reader, readerRepeatDelay)
	if errors.Is(err, errReaderSilent) {
		requestedAt = f.Clock.Now()
		content, err = f.exchange(ctx, reader, readerTimeout-readerRepeatDelay)
	}
	if err != nil {
		return nil, err
	}
	response, err := decodeAnswer(content)
	switch {
	case err != nil:
		return nil, err
	case response.Gap():
		return nil, errReaderEmpty
	}
	behind := response.Away() || hoist.Millis(response.AgeMs()) > maxAge || response.Era() < f.era.Load()
	f.noteEra(response.Era())
	r := Response{
		Changes:     Changes{Records: slices.Collect(response.Records().All()), Era: response.Era(), Revision: response.Revision()},
		RequestedAt: requestedAt - hoist.Millis(response.AgeMs()), Relayed: true, KeysLag: hoist.Millis(response.KeysLagMs()),
	}
	if response.BackMs() > 0 {
		r.ReachableSince = f.Clock.Now() - hoist.Millis(response.BackMs())
	}
	switch {
	case behind:
		if !f.listed && response.Whole() {
			f.unconfirmed = Listed{r}
		}
		return nil, errReaderBehind
	case response.Whole():
		return Listed{r}, nil
	case response.Era() != f.state.Position().Era:
		return nil, errReaderBehind // The changes follow a position that this instance does not have.
	default:
		return Changed{r}, nil
	}
}

// decodeAnswer decodes the response of another instance.
func decodeAnswer(content []byte) (value.FeedAnswer, error) {
	message := &wire.FeedAnswer{}
	if err := proto.Unmarshal(content, message); err != nil {
		return value.FeedAnswer{}, err
	}
	return wire.FeedAnswerValue(message), nil
}

// exchange sends one request and returns the content of the response. A repeated request has a number of its own, so that
// the fragments of two responses are never joined.
func (f *Follower) exchange(ctx context.Context, reader string, timeout hoist.Millis) ([]byte, error) {
	pending := f.readerRequests.start()
	p := f.state.Position()
	f.Mesh.SendTo(reader, value.FeedAsk{}.WithNumber(pending.number).WithEra(p.Era).WithRevision(p.Revision).WithVersion(f.state.version()))
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.Clock.After(timeout):
		return nil, errReaderSilent
	case content := <-pending.done:
		return content, nil
	}
}

// start begins the next request.
func (p *readerRequests) start() *pendingResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.pending = &pendingResponse{number: p.number, done: make(chan []byte, 1)}
	return p.pending
}

// addFragment adds one fragment of a response and completes it when none is missing.
func (p *readerRequests) addFragment(b value.FeedPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.pending
	if pending == nil || pending.number != b.Number() || b.Count() < 1 || b.Index() < 0 || b.Index() >= b.Count() {
		return
	}
	if pending.fragments == nil {
		pending.fragments, pending.missing = make([][]byte, b.Count()), int(b.Count())
	}
	if int(b.Index()) >= len(pending.fragments) || pending.fragments[b.Index()] != nil {
		return
	}
	pending.fragments[b.Index()] = []byte(b.Content())
	if pending.missing--; pending.missing > 0 {
		return
	}
	var content []byte
	for _, fragment := range pending.fragments {
		content = append(content, fragment...)
	}
	pending.done <- content
	p.pending = nil
}

// Receive processes a message of another instance.
func (f *Follower) Receive(sender string, b value.DatagramBody) {
	switch b := b.(type) {
	case value.FeedAsk:
		f.respond(sender, b)
	case value.FeedPart:
		f.readerRequests.addFragment(b)
	case value.FeedHint:
		f.noteEra(b.Era())
		f.readerRequests.notify()
	default:
	}
}

// notify ends the wait for a hint.
func (p *readerRequests) notify() {
	select {
	case p.hint <- struct{}{}:
	default:
	}
}

// respond sends another instance the changes after its position, or the complete content if the history does not reach back
// that far or is that of a later era.
func (f *Follower) respond(to string, request value.FeedAsk) {
	f.noteEra(request.Era())
	current, now := f.published.Load(), f.Clock.Now()
	if v := current.state.version(); v > 0 && request.Version() > v {
		f.newerTable.Store(&to)
		f.readerRequests.notify()
	}
	response := current.answer(Position{request.Era(), request.Revision()}, request.Version(), now)
	content, err := proto.Marshal(wire.FeedAnswerWire(response))
	if err != nil {
		f.Log.Write(event.MeshSendFailed, logrus.Fields{"to": to, "error": err.Error()})
		return
	}
	count := max(1, (len(content)+fragmentBytes-1)/fragmentBytes)
	for i := range count {
		fragment := content[i*fragmentBytes : min((i+1)*fragmentBytes, len(content))]
		f.Mesh.SendTo(to, value.FeedPart{}.WithNumber(request.Number()).WithIndex(int32(i)).WithCount(int32(count)).WithContent(string(fragment)))
	}
}

// answer returns the response to an instance at the position, which has the version of the route table, or zero if it did not
// state one.
func (s *snapshot) answer(asked Position, version uint64, now hoist.Millis) value.FeedAnswer {
	own, v := s.state.Position(), s.view
	// An instance of a later era needs nothing of this one but its route table.
	behind := asked.Era > own.Era
	whole := !behind && (asked.Era < own.Era || asked.Revision < s.completeAfter)
	if asked.Era == own.Era {
		own = later(own, asked)
	}
	a := value.FeedAnswer{}.WithEra(own.Era).WithRevision(own.Revision).WithAgeMs(int64(v.Age(now))).WithKeysLagMs(int64(v.ConfirmedAt - v.KeysConfirmedAt)).
		WithGap(v.Table == nil).WithAway(s.away || behind).WithBackMs(s.state.backMs(now)).WithWhole(whole)
	if a.Gap() {
		return a
	}
	if whole {
		return a.WithRecords(value.ListOf(s.state.Records(now)...))
	}
	var records []value.FeedRecord
	if r := s.state.tableRecord; version > 0 && s.state.version() > version || version == 0 && asked.Before(positionOf(r)) {
		records = append(records, r)
	}
	if !behind {
		records = append(records, s.changesAfter(asked.Revision)...)
	}
	return a.WithRecords(value.ListOf(records...))
}

// learnTable takes the route table of an instance that has a newer one. The newest configuration may have been lost by the
// store and be known only to instances that nobody asks for their content.
func (f *Follower) learnTable(ctx context.Context) {
	name := f.newerTable.Swap(nil)
	if name == nil {
		return
	}
	content, err := f.exchange(ctx, *name, readerTimeout)
	if err != nil {
		return // The other instance still has the newer table when it asks for content again.
	}
	response, err := decodeAnswer(content)
	if err != nil {
		f.Log.Write(event.MeshReadFailed, logrus.Fields{"from": *name, "error": err.Error()})
		return
	}
	for r := range response.Records().All() {
		if t, ok := r.Body().(value.RouteTable); ok && t.Version() > f.state.version() {
			f.apply(TableLearned{r}, false)
		}
	}
}

// sendHints tells the instances that take the content from this one that they should ask for it again. Content of the
// store, and a store that stops responding, concern the local readers and the other readers as well.
func (f *Follower) sendHints(p Position, fromStore bool) {
	if f.Mesh == nil {
		return
	}
	plan := f.Mesh.ReaderPlan()
	names := plan.Followers
	if fromStore {
		names = slices.Concat(plan.Relays, names)
	}
	for _, n := range names {
		f.Mesh.SendTo(n, value.FeedHint{}.WithEra(p.Era).WithRevision(p.Revision))
	}
}
