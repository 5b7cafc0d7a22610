package peer

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// queueMessages is the capacity of a send queue. An owner at its target rate sends 350 grants a second, so the queue holds
// about 12 s of them and fills up only if the peer is stuck.
const queueMessages = 4096

var (
	// ErrQueueFull means that the send queue of a stream was full; the stream is then closed.
	ErrQueueFull = eris.New("send queue of the stream is full")
	// ErrClosed means that the stream has ended.
	ErrClosed = eris.New("stream is closed")
	// ErrNoStream means that the gateway has no stream to this router.
	ErrNoStream = eris.New("gateway has no stream")
)

// queue is the bounded send queue of one stream; push never blocks.
type queue[M any] struct {
	messages chan M
	done     chan struct{}
	once     sync.Once
	err      error
}

// newQueue returns an open, empty queue.
func newQueue[M any]() *queue[M] {
	return &queue[M]{messages: make(chan M, queueMessages), done: make(chan struct{})}
}

// push adds a message. A full queue is closed, because a lost message must appear as a broken stream.
func (q *queue[M]) push(m M) error {
	select {
	case <-q.done:
		return ErrClosed
	default:
	}
	select {
	case q.messages <- m:
		return nil
	default:
		q.close(ErrQueueFull)
		return ErrQueueFull
	}
}

// close closes the queue with the error; later errors are ignored.
func (q *queue[M]) close(err error) {
	q.once.Do(func() {
		q.err = err
		close(q.done)
	})
}

// drain sends the messages until the queue is closed or a send fails.
func (q *queue[M]) drain(send func(M) error) {
	for {
		select {
		case <-q.done:
			return
		case m := <-q.messages:
			if err := send(m); err != nil {
				q.close(err)
				return
			}
		}
	}
}

// table is a copy-on-write map; reads take no lock.
type table[K comparable, V comparable] struct {
	mu      sync.Mutex
	current atomic.Pointer[map[K]V]
}

// all returns the current map; it must not be modified.
func (t *table[K, V]) all() map[K]V {
	if m := t.current.Load(); m != nil {
		return *m
	}
	return nil
}

// get returns the value for the key.
func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.all()[k]
	return v, ok
}

// swap stores the value and returns the previous one.
func (t *table[K, V]) swap(k K, v V) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.clone()
	old, ok := m[k]
	m[k] = v
	t.current.Store(&m)
	return old, ok
}

// getOrAdd returns the value for the key; it creates and stores one if there is none that is usable.
func (t *table[K, V]) getOrAdd(k K, usable func(V) bool, create func() V) (v V, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.all()[k]; ok && usable(v) {
		return v, false
	}
	m := t.clone()
	m[k] = create()
	t.current.Store(&m)
	return m[k], true
}

// remove deletes the key if its value is still v.
func (t *table[K, V]) remove(k K, v V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.all()[k]; !ok || old != v {
		return
	}
	m := t.clone()
	delete(m, k)
	t.current.Store(&m)
}

// clone returns a copy of the current map for modification.
func (t *table[K, V]) clone() map[K]V {
	if m := maps.Clone(t.all()); m != nil {
		return m
	}
	return map[K]V{}
}
