package retry

import (
	"github.com/benbjohnson/immutable"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// maxCompletions bounds each of the two generations of a record; a full one takes 174 kB.
	maxCompletions = 4096
	// completionResolution is the time within which further complete responses with a content are not recorded, so that the
	// record of a content in every request changes once in that time.
	completionResolution = hoist.Second
)

// Completions records the newest complete response with each shared content; it is immutable, and the zero value is empty.
//
// A content that crashes every server is in no complete response. Contents that are rare enough to be absent from two
// generations are forgotten.
type Completions struct {
	recent, older *immutable.Map[uint64, hoist.Millis]
}

// fingerprintHasher uses a fingerprint, which is a hash already, as its own hash.
type fingerprintHasher struct{}

// Hash returns the upper half, because the lowest bit of some fingerprints is always set.
func (fingerprintHasher) Hash(fingerprint uint64) uint32 { return uint32(fingerprint >> 32) }

// Equal reports whether the fingerprints are equal.
func (fingerprintHasher) Equal(a, b uint64) bool { return a == b }

// At returns the time of the newest complete response with the content, rounded down by at most completionResolution, or
// zero if none is recorded.
func (c Completions) At(fingerprint uint64) hoist.Millis {
	for _, m := range []*immutable.Map[uint64, hoist.Millis]{c.recent, c.older} {
		if m == nil {
			continue
		}
		if at, ok := m.Get(fingerprint); ok {
			return at
		}
	}
	return 0
}

// Includes reports whether a complete response with all of the contents at the time would change nothing.
func (c Completions) Includes(contents []value.Content, now hoist.Millis) bool {
	for _, x := range contents {
		if c.isOutdated(x.Fingerprint(), now) {
			return false
		}
	}
	return true
}

// With returns the record after a complete response with the contents.
func (c Completions) With(contents []value.Content, now hoist.Millis) Completions {
	for _, x := range contents {
		if !c.isOutdated(x.Fingerprint(), now) {
			continue
		}
		if c.recent == nil || c.recent.Len() >= maxCompletions {
			c.older, c.recent = c.recent, immutable.NewMap[uint64, hoist.Millis](fingerprintHasher{})
		}
		c.recent = c.recent.Set(x.Fingerprint(), now)
	}
	return c
}

// isOutdated reports whether the recorded time of the content lags behind by completionResolution or more.
func (c Completions) isOutdated(fingerprint uint64, now hoist.Millis) bool {
	at := c.At(fingerprint)
	return at == 0 || now-at >= completionResolution
}
