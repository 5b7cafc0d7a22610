package chaos

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryhoist.example/hoist/cmd/standin/kvsrv"
)

const (
	// restoreStream is the random stream of the returns of the store from older copies.
	restoreStream = proxyFaultStream + 1
	// maxCopyAge is the greatest age of a copy, maxAbsence the longest time for which the store is away before it returns, and
	// maxRewriteDelay the longest time until everything is written again that it has lost.
	maxCopyAge      = 4 * time.Second
	maxAbsence      = time.Second
	maxRewriteDelay = 1500 * time.Millisecond
	// minRestoreInterval is the shortest time between two returns; the mean is twice that.
	minRestoreInterval = 2 * time.Second
)

// written is what the operator and the servers have written last, which they write again after the store has lost it.
type written struct {
	mu    sync.Mutex
	items map[string][]byte
}

// put writes an item to the store.
func (r *run) put(key string, content []byte) {
	r.written.mu.Lock()
	defer r.written.mu.Unlock()
	r.written.items[key] = content
	r.store.Put(key, content)
}

// rewrite writes all items again, in random order.
func (r *run) rewrite() {
	r.written.mu.Lock()
	defer r.written.mu.Unlock()
	for key, content := range r.written.items {
		r.store.Put(key, content)
	}
}

// injectRestores lets the store return from older copies until ctx ends, and returns after everything is written again.
func (r *run) injectRestores(ctx context.Context) {
	g := r.randomStream(restoreStream)
	for {
		older := r.store.Copy()
		if !sleep(ctx, randomDuration(g, maxCopyAge)) {
			return
		}
		r.Faults.Add(1)
		r.store.SetMode(kvsrv.Refusing)
		sleep(ctx, randomDuration(g, maxAbsence))
		r.store.Restore(older)
		r.store.SetMode(kvsrv.Serving)
		sleep(ctx, randomDuration(g, maxRewriteDelay))
		r.rewrite()
		if !sleep(ctx, minRestoreInterval+randomDuration(g, 2*minRestoreInterval)) {
			return
		}
	}
}

// randomDuration returns a random duration below the limit.
func randomDuration(g *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(g.Int64N(int64(limit)))
}

// sleep waits for the duration; it returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
