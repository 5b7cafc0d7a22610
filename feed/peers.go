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
	// listenInterval is the time between two questions to the reader, which also tells quickly that it is gone.
	listenInterval = 500 * hoist.Millis(1)
	// listenTime bounds the answer of the reader.
	listenTime = 250 * hoist.Millis(1)
	// settleInterval is the time between two looks at the membership while it is not settled; a fresh list needs no
	// question to the store until then.
	settleInterval = 100 * hoist.Millis(1)
	// missLimit is the number of questions without a fresh answer after which an instance turns to the store.
	missLimit = 2
	// aloneTime is the time for which an instance then reads the store itself.
	aloneTime = 3 * hoist.Second
	// patientTime is the time between two questions of one instance to a store that fails the reader as well; the whole
	// fleet asks it then, and the reader notices its return within a second.
	patientTime = 2 * hoist.Second
	// behindWaits is the age of a reader's proof, in waits of a watch, beyond which the reader is behind.
	behindWaits = 3
	// partBytes is the size of one part of an answer.
	partBytes = 16 << 10
)

// Mesh carries messages between instances.
type Mesh interface {
	// SendTo sends a message to a live instance; it may be lost.
	SendTo(name string, b value.DatagramBody)
	// Converging reports whether the live instances are not known yet, or not any more after a pause.
	Converging() bool
	// Reader returns the instance that reads the store for this one; false means that this one does.
	Reader() (string, bool)
	// RandomPeer returns a live instance other than this one, chosen at random.
	RandomPeer() (string, bool)
	// LocalPeers returns the live instances for which this one reads.
	LocalPeers() []string
}

// peers holds the questions to the reader.
type peers struct {
	mu     sync.Mutex
	number uint64
	// open holds the answer that is being received.
	open *answer
	hint chan struct{}
}

// answer collects the parts of one answer.
type answer struct {
	number uint64
	parts  [][]byte
	left   int
	done   chan []byte
}

// listen asks the reader once and waits for the next turn; it reports false when the store has to be asked.
func (f *Follower) listen(ctx context.Context) bool {
	if f.Mesh == nil {
		return false
	}
	if f.Mesh.Converging() && f.View().Age(f.Clock.Now()) < behindWaits*f.WatchTimeout {
		f.pause(ctx, settleInterval)
		return true
	}
	reader, ok := f.Mesh.Reader()
	now := f.Clock.Now()
	if !ok || (now < f.alone && now >= f.patient) {
		f.askOther(ctx)
		return false
	}
	e, err := f.askReader(ctx, reader)
	if err != nil {
		f.apply(Ticked{})
		if f.misses++; f.misses >= missLimit {
			f.misses, f.alone = 0, f.Clock.Now()+aloneTime
		}
		if now < f.patient || errors.Is(err, errEmpty) {
			f.pause(ctx, listenInterval)
		}
		return true
	}
	f.misses = 0
	f.apply(e)
	f.pause(ctx, listenInterval)
	return true
}

// pause waits for the time, for a hint of the reader or for the end of ctx.
func (f *Follower) pause(ctx context.Context, t hoist.Millis) {
	select {
	case <-ctx.Done():
	case <-f.peers.hint:
	case <-f.Clock.After(t):
	}
}

// askOther asks any other instance while the store turns this one away; its own proof serves as well.
func (f *Follower) askOther(ctx context.Context) {
	if !f.unreachable {
		return
	}
	name, ok := f.Mesh.RandomPeer()
	if !ok {
		return
	}
	if e, err := f.askReader(ctx, name); err == nil {
		f.apply(e)
	}
}

// askReader puts one question to the reader.
//
// The proof counts from the time of the question less the age that the answer states: the answer was made after the
// question, however long it took, and also when this process was suspended in between.
func (f *Follower) askReader(ctx context.Context, reader string) (Event, error) {
	asked := f.Clock.Now()
	a := f.peers.begin()
	f.Mesh.SendTo(reader, value.FeedAsk{}.WithNumber(a.number).WithRevision(f.state.Revision()))
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.Clock.After(listenTime):
		return nil, eris.New("the reader of the store does not answer")
	case content := <-a.done:
		m := &wire.FeedAnswer{}
		if err := proto.Unmarshal(content, m); err != nil {
			return nil, err
		}
		v := wire.FeedAnswerValue(m)
		if v.Gap() {
			return nil, errEmpty
		}
		if v.Away() || hoist.Millis(v.AgeMs()) > behindWaits*f.WatchTimeout {
			return nil, errBehind
		}
		records := make([]value.FeedRecord, 0, v.Records().Len())
		for r := range v.Records().All() {
			records = append(records, r)
		}
		c, proved := Changes{records, v.Revision()}, asked-hoist.Millis(v.AgeMs())
		if v.Whole() {
			return Listed{c, proved}, nil
		}
		return Changed{c, proved}, nil
	}
}

// begin opens the next question.
func (p *peers) begin() *answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.open = &answer{number: p.number, done: make(chan []byte, 1)}
	return p.open
}

// receive adds one part of an answer.
func (p *peers) receive(b value.FeedPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.open
	if a == nil || a.number != b.Number() || b.Count() < 1 || b.Index() < 0 || b.Index() >= b.Count() {
		return
	}
	if a.parts == nil {
		a.parts, a.left = make([][]byte, b.Count()), int(b.Count())
	}
	if int(b.Index()) >= len(a.parts) || a.parts[b.Index()] != nil {
		return
	}
	a.parts[b.Index()] = []byte(b.Content())
	if a.left--; a.left > 0 {
		return
	}
	var content []byte
	for _, part := range a.parts {
		content = append(content, part...)
	}
	a.done <- content
	p.open = nil
}

// Receive takes a message of another instance.
func (f *Follower) Receive(sender string, b value.DatagramBody) {
	switch b := b.(type) {
	case value.FeedAsk:
		f.reply(sender, b)
	case value.FeedPart:
		f.peers.receive(b)
	case value.FeedHint:
		select {
		case f.peers.hint <- struct{}{}:
		default:
		}
	default:
	}
}

// reply answers another instance with what is newer than its revision.
func (f *Follower) reply(to string, q value.FeedAsk) {
	k := f.known.Load()
	a := value.FeedAnswer{}.WithRevision(max(k.state.Revision(), q.Revision())).WithAgeMs(int64(k.view.Age(f.Clock.Now()))).
		WithGap(k.view.Table == nil).WithAway(k.state.away).WithWhole(q.Revision() < k.since)
	switch {
	case a.Gap():
	case a.Whole():
		a = a.WithRecords(value.ListOf(k.state.Records()...))
	default:
		var records []value.FeedRecord
		for r := range k.history.All() {
			if r.Revision() > q.Revision() {
				records = append(records, r)
			}
		}
		a = a.WithRecords(value.ListOf(records...))
	}
	content, err := proto.Marshal(wire.FeedAnswerWire(a))
	if err != nil {
		panic(err) // Strings of the store are valid UTF-8, which the decoder has checked.
	}
	count := max(1, (len(content)+partBytes-1)/partBytes)
	for i := range count {
		part := content[i*partBytes : min((i+1)*partBytes, len(content))]
		f.Mesh.SendTo(to, value.FeedPart{}.WithNumber(q.Number()).WithIndex(int32(i)).WithCount(int32(count)).WithContent(string(part)))
	}
}

// announce tells the neighbours that there is something new.
func (f *Follower) announce(revision int64) {
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
