package hoist

import "sync/atomic"

// Update replaces the value behind the pointer by a changed copy and returns the copy (read-copy-update).
//
// It takes no lock. If another goroutine has replaced the value meanwhile, change is called again with the new
// value, so change must have no side effects other than results that its last call overwrites.
func Update[T any](p *atomic.Pointer[T], change func(T) T) T {
	for {
		old := p.Load()
		next := change(*old)
		if p.CompareAndSwap(old, &next) {
			return next
		}
	}
}
