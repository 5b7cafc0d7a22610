package feed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"chicoryhoist.example/hoist"
)

const (
	// firstRelistDelay limits the delay before the first list that a watch has made necessary.
	firstRelistDelay = 50 * hoist.Millis(1)
	// minRelistDelay and maxRelistDelay limit the mean delay before a further list if a watch could not continue after the one
	// before it.
	minRelistDelay = 300 * hoist.Millis(1)
	maxRelistDelay = 2 * hoist.Second
)

// errOlderEra means that the response is that of a store that has been replaced by an older copy since.
var errOlderEra = errors.New("response is of an older era of the store")

// Lists counts the list requests to the store by their reason.
type Lists struct {
	// Start counts those without any content, Compacted those because the history was gone, and Era those because the store had
	// begun a new era.
	Start, Compacted, Era atomic.Int64
}

// needsList reports whether a request failed because the content must be listed.
func needsList(err error) bool { return errors.Is(err, ErrCompacted) || errors.Is(err, ErrEraChanged) }

// noteEra stores the era that a response or another instance has stated if it is the newest one.
func (f *Follower) noteEra(era int64) {
	for old := f.era.Load(); era > old && !f.era.CompareAndSwap(old, era); old = f.era.Load() {
	}
}

// checkEra returns the error of a request to the store, or errOlderEra if its response is of an older era than the newest one
// that is known.
func (f *Follower) checkEra(c Changes, err error) error {
	f.noteEra(c.Era)
	if known := f.era.Load(); c.Era < known && (err == nil || needsList(err)) {
		return fmt.Errorf("%w: %d, not %d", errOlderEra, c.Era, known)
	}
	return err
}

// mustList reports whether the next request to the store is a list.
func (f *Follower) mustList() bool {
	return !f.listed || f.compacted || f.era.Load() > f.state.Position().Era
}

// countList counts a list request by its reason.
func (f *Follower) countList() {
	switch {
	case !f.listed:
		f.Lists.Start.Add(1)
	case f.era.Load() > f.state.Position().Era:
		f.Lists.Era.Add(1)
	default:
		f.Lists.Compacted.Add(1)
	}
}

// relistDelay returns the delay before the next list. It grows while lists do not help, so that the calls to the store stay
// few whatever its responses are.
func (f *Follower) relistDelay() hoist.Millis {
	n := f.relists
	f.relists++
	if n == 0 {
		return rand.N(firstRelistDelay)
	}
	mean := maxRelistDelay
	if n < 4 {
		mean = min(minRelistDelay<<(n-1), maxRelistDelay)
	}
	return mean*3/4 + rand.N(mean/2)
}
