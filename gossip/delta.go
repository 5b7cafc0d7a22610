package gossip

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Class says how an item is sent to one peer.
type Class int

// Classes of sending.
const (
	// Withheld items are not sent to the peer, because another router spreads them to it.
	Withheld Class = iota
	// Bulk items wait until the byte budget allows them.
	Bulk
	// Urgent items are sent at once, up to MaxUrgentBytes in a batch.
	Urgent
)

// Batch is what one exchange carries to a peer.
type Batch struct {
	// Items of the batch, oldest change first.
	Items []value.Item
	// Start is the position behind which the batch begins.
	Start uint64
	// End is the position up to which the peer has everything once it has the batch.
	End uint64
	// UrgentEnd is the position up to which the peer has the urgent items once it has the batch.
	UrgentEnd uint64
	// Bytes is the estimated encoded size of the items.
	Bytes int
	// HasUrgent reports whether the batch holds an urgent item.
	HasUrgent bool
}

// MaxUrgentBytes bounds the urgent items of one batch, so that a burst of them fits into one packet for each peer and
// heartbeat and does not fill a thin link.
const MaxUrgentBytes = 1200

// Delta returns the items after the position that the peer is to get, up to a number of bytes of bulk items.
//
// Urgent items are not held up by bulk items that wait for the budget; those up to the
// second position are known to have arrived and are left out. A position behind the end of the sequence belongs to an earlier process and counts as zero.
func (s Store) Delta(after, urgent uint64, budget int, now hoist.Millis, class func(Record) Class) Batch {
	if after > s.sequence {
		after = 0
	}
	b := Batch{Start: after, End: s.sequence, UrgentEnd: s.sequence}
	cut := false
	left := MaxUrgentBytes
	for _, c := range s.since(after, class) {
		if c.class == Urgent && c.record.sequence <= urgent && urgent <= s.sequence {
			continue
		}
		size := Size(c.record.item)
		if c.class == Bulk && (cut || b.Bytes+size > budget) {
			if !cut {
				b.End = c.record.sequence - 1
			}
			cut = true
			continue
		}
		if c.class == Urgent {
			if size > left && left < MaxUrgentBytes {
				b.UrgentEnd = c.record.sequence - 1
				b.End = min(b.End, b.UrgentEnd)
				break
			}
			left -= size
		}
		b.Items = append(b.Items, c.record.aged(now))
		b.Bytes += size
		b.HasUrgent = b.HasUrgent || c.class == Urgent
	}
	return b
}

// choice is a record with the class of its sending.
type choice struct {
	record Record
	class  Class
}

// since returns the records after the position that are not withheld, in sequence.
func (s Store) since(after uint64, class func(Record) Class) []choice {
	var cs []choice
	for _, o := range s.origins {
		if o.top <= after {
			continue
		}
		for _, r := range o.records {
			if r.sequence <= after {
				continue
			}
			if c := class(r); c != Withheld {
				cs = append(cs, choice{r, c})
			}
		}
	}
	slices.SortFunc(cs, func(a, b choice) int { return cmp.Compare(a.record.sequence, b.record.sequence) })
	return cs
}

const (
	// BytesPerSecond is the number of bytes a second that a node may send for control work. It leaves
	// room for keepalives and for calls between routers under the bound of 12 KB/s.
	BytesPerSecond = 11_000
	// burst is the time over which unused bytes may be saved up.
	burst = 5 * hoist.Second
	// debt is the time in which the largest overdraft is earned back.
	debt = 2 * hoist.Second
	// MessageOverheadBytes is the number of bytes that HTTP/2 and gRPC add to one message of an exchange.
	MessageOverheadBytes = 50
)

// Bucket is an immutable token bucket over the bytes that a node sends.
type Bucket struct {
	left int
	at   hoist.Millis
}

// NewBucket returns a full bucket.
func NewBucket(now hoist.Millis) Bucket {
	return Bucket{int(burst / hoist.Second * BytesPerSecond), now}
}

// Refill returns the bucket with the bytes earned until now.
func (b Bucket) Refill(now hoist.Millis) Bucket {
	earned := int(max(0, min(now-b.at, burst))) * BytesPerSecond / int(hoist.Second)
	return Bucket{min(b.left+earned, int(burst/hoist.Second*BytesPerSecond)), now}
}

// Available returns the bytes that bulk items may use; it is never negative.
func (b Bucket) Available() int { return max(0, b.left) }

// Spend returns the budget after bytes were sent; heartbeats and urgent items may overdraw it.
//
// The debt is bounded, so that bulk items are not held up for long after many routers started at once.
func (b Bucket) Spend(bytes int) Bucket {
	b.left = max(b.left-bytes, -int(debt/hoist.Second*BytesPerSecond))
	return b
}
