package feed

import (
	"context"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// readerRequestInterval is the interval of requests to the reader; a short one detects its failure quickly.
	readerRequestInterval = 500 * hoist.Millis(1)
	// readerTimeout limits the response of the reader.
	readerTimeout = 250 * hoist.Millis(1)
	// convergencePollInterval is the interval of checks of the membership while it converges; a current list needs no request to
	// the store until then.
	convergencePollInterval = 100 * hoist.Millis(1)
	// maxMissedResponses is the number of requests without a current response after which an instance uses the store.
	maxMissedResponses = 2
	// storeReadTime is the time for which an instance then reads the store itself.
	storeReadTime = 3 * hoist.Second
	// storeRetryDelay is the mean delay between two requests of one instance to a store that fails the reader as well. The whole
	// fleet sends requests to the store then, and the reader itself retries it with delays of up to 1.5 s.
	storeRetryDelay = 2 * hoist.Second
	// maxReaderAgeWatches is the age of the reader's content, in watch timeouts, above which the reader is behind.
	maxReaderAgeWatches = 3
	// fragmentBytes is the size of one fragment of a response.
	fragmentBytes = 16 << 10
)

// Mesh carries messages between instances.
type Mesh interface {
	// SendTo sends a message to a live instance; the message may be lost.
	SendTo(name string, b value.DatagramBody)
	// Converging reports whether the live instances are unknown because this instance has just started or was paused.
	Converging() bool
	// Reader returns the instance that reads the store for this one, or false if this instance reads the store itself.
	Reader() (string, bool)
	// RandomPeer returns a random live instance other than this one.
	RandomPeer() (string, bool)
	// LocalPeers returns the live instances for which this one reads the store.
	LocalPeers() []string
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

// followReader sends one request to the reader and waits for the next one; it returns false if the store is to be used.
func (f *Follower) followReader(ctx context.Context) bool {
	if f.Mesh == nil {
		return false
	}
	if f.Mesh.Converging() && f.View().Age(f.Clock.Now()) < maxReaderAgeWatches*f.WatchTimeout {
		f.waitForHint(ctx, convergencePollInterval)
		return true
	}
	reader, ok := f.Mesh.Reader()
	now := f.Clock.Now()
	if !ok || (now < f.readStoreUntil && now >= f.avoidStoreUntil) {
		f.requestRandomPeer(ctx)
		return false
	}
	e, err := f.requestReader(ctx, reader)
	if err != nil {
		f.apply(Ticked{})
		if f.missedResponses++; f.missedResponses >= maxMissedResponses {
			f.missedResponses, f.readStoreUntil = 0, f.Clock.Now()+storeReadTime
		}
		if now < f.avoidStoreUntil || errors.Is(err, errReaderEmpty) {
			f.waitForHint(ctx, readerRequestInterval)
		}
		return true
	}
	f.missedResponses = 0
	f.apply(e)
	f.waitForHint(ctx, readerRequestInterval)
	return true
}

// waitForHint waits for the duration, for a hint of the reader or for the end of ctx.
func (f *Follower) waitForHint(ctx context.Context, duration hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-f.readerRequests.hint:
	case <-f.Clock.After(duration):
	}
}

// requestRandomPeer sends a request to a random instance while the store is unreachable from this one; its content is confirmed
// in the same way as that of the reader.
func (f *Follower) requestRandomPeer(ctx context.Context) {
	if !f.unreachable {
		return
	}
	name, ok := f.Mesh.RandomPeer()
	if !ok {
		return
	}
	if e, err := f.requestReader(ctx, name); err == nil {
		f.apply(e)
	}
}

// requestReader sends one request to the reader.
//
// The content is confirmed at the time of the request less the age stated in the response: the response was made after the
// request, however long it took and whether or not this process was suspended in between.
func (f *Follower) requestReader(ctx context.Context, reader string) (Event, error) {
	requestedAt := f.Clock.Now()
	pending := f.readerRequests.start()
	f.Mesh.SendTo(reader, value.FeedAsk{}.WithNumber(pending.number).WithRevision(f.state.Revision()))
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.Clock.After(readerTimeout):
		return nil, eris.New("store reader did not respond")
	case content := <-pending.done:
		message := &wire.FeedAnswer{}
		if err := proto.Unmarshal(content, message); err != nil {
			return nil, err
		}
		response := wire.FeedAnswerValue(message)
		if response.Gap() {
			return nil, errReaderEmpty
		}
		if response.Away() || hoist.Millis(response.AgeMs()) > maxReaderAgeWatches*f.WatchTimeout {
			return nil, errReaderBehind
		}
		records := make([]value.FeedRecord, 0, response.Records().Len())
		for r := range response.Records().All() {
			records = append(records, r)
		}
		changes, confirmedAt := Changes{records, response.Revision()}, requestedAt-hoist.Millis(response.AgeMs())
		if response.Whole() {
			return Listed{changes, confirmedAt}, nil
		}
		return Changed{changes, confirmedAt}, nil
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
		select {
		case f.readerRequests.hint <- struct{}{}:
		default:
		}
	default:
	}
}

// respond sends another instance the changes after its revision, or the complete content if the history does not reach back
// that far.
func (f *Follower) respond(to string, request value.FeedAsk) {
	current := f.published.Load()
	response := value.FeedAnswer{}.WithRevision(max(current.state.Revision(), request.Revision())).WithAgeMs(int64(current.view.Age(f.Clock.Now()))).
		WithGap(current.view.Table == nil).WithAway(current.state.unreachable).WithWhole(request.Revision() < current.completeAfter)
	switch {
	case response.Gap():
	case response.Whole():
		response = response.WithRecords(value.ListOf(current.state.Records()...))
	default:
		var records []value.FeedRecord
		for r := range current.history.All() {
			if r.Revision() > request.Revision() {
				records = append(records, r)
			}
		}
		response = response.WithRecords(value.ListOf(records...))
	}
	content, err := proto.Marshal(wire.FeedAnswerWire(response))
	if err != nil {
		panic(err) // Impossible: the decoder has checked that strings of the store are valid UTF-8.
	}
	count := max(1, (len(content)+fragmentBytes-1)/fragmentBytes)
	for i := range count {
		fragment := content[i*fragmentBytes : min((i+1)*fragmentBytes, len(content))]
		f.Mesh.SendTo(to, value.FeedPart{}.WithNumber(request.Number()).WithIndex(int32(i)).WithCount(int32(count)).WithContent(string(fragment)))
	}
}

// sendHints informs the instances of the data centre about a new revision if this instance is their reader.
func (f *Follower) sendHints(revision int64) {
	if f.Mesh == nil {
		return
	}
	if _, ok := f.Mesh.Reader(); ok {
		return
	}
	for _, n := range f.Mesh.LocalPeers() {
		f.Mesh.SendTo(n, value.FeedHint{}.WithRevision(revision))
	}
}
