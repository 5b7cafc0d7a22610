package gossip

import (
	"cmp"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

// Class is the way in which an item is sent to a peer.
type Class int

// Classes.
const (
	// Withheld items are not sent to the peer, because another router forwards them to it.
	Withheld Class = iota
	// Bulk items wait until the token bucket allows them.
	Bulk
	// Urgent items are sent at once, up to MaxUrgentBytes in a batch.
	Urgent
)

// Batch is the content of one exchange for a peer.
type Batch struct {
	// Items of the batch, ordered by their last change.
	Items []value.Item
	// Start is the sequence number after which the batch begins.
	Start uint64
	// End is the sequence number up to which the peer has all items once it has received the batch.
	End uint64
	// UrgentEnd is the sequence number up to which the peer has the urgent items once it has received the batch.
	UrgentEnd uint64
	// Bytes is the estimated encoded size of the items.
	Bytes int
	// HasUrgent reports whether the batch contains an urgent item.
	HasUrgent bool
}

// MaxUrgentBytes limits the urgent items of one batch, so that a burst of them takes one packet for each peer and heartbeat
// and does not fill a thin link. The first urgent item of a batch is sent whole even if it is larger.
const MaxUrgentBytes = 1200

// Delta returns the items for a peer that changed after the sequence number after, with bulk items up to budget bytes.
//
// Urgent items are sent although bulk items before them wait for the budget; those up to the sequence number urgent have
// arrived and are omitted. A number beyond the end of the sequence belongs to an earlier process and counts as zero.
func (s Store) Delta(after, urgent uint64, budget int, now hoist.Millis, class func(Record) Class) Batch {
	if after > s.sequence {
		after = 0
	}
	batch := Batch{Start: after, End: s.sequence, UrgentEnd: s.sequence}
	bulkFull := false
	urgentBytesLeft := MaxUrgentBytes
	for _, c := range s.classifiedAfter(after, class) {
		if c.class == Urgent && c.record.sequence <= urgent && urgent <= s.sequence {
			continue
		}
		size := Size(c.record.item)
		if c.class == Bulk && (bulkFull || batch.Bytes+size > budget) {
			if !bulkFull {
				batch.End = c.record.sequence - 1
			}
			bulkFull = true
			continue
		}
		if c.class == Urgent {
			if size > urgentBytesLeft && urgentBytesLeft < MaxUrgentBytes {
				batch.UrgentEnd = c.record.sequence - 1
				batch.End = min(batch.End, batch.UrgentEnd)
				break
			}
			urgentBytesLeft -= size
		}
		batch.Items = append(batch.Items, c.record.aged(now))
		batch.Bytes += size
		batch.HasUrgent = batch.HasUrgent || c.class == Urgent
	}
	return batch
}

// classifiedRecord is a record with its class for a peer.
type classifiedRecord struct {
	record Record
	class  Class
}

// classifiedAfter returns the records after the sequence number that are not withheld, in sequence.
func (s Store) classifiedAfter(after uint64, class func(Record) Class) []classifiedRecord {
	var records []classifiedRecord
	for _, o := range s.origins {
		if o.lastSequence <= after {
			continue
		}
		for _, r := range o.records {
			if r.sequence <= after {
				continue
			}
			if c := class(r); c != Withheld {
				records = append(records, classifiedRecord{r, c})
			}
		}
	}
	slices.SortFunc(records, func(a, b classifiedRecord) int { return cmp.Compare(a.record.sequence, b.record.sequence) })
	return records
}

const (
	// BytesPerSecond is the number of control bytes a second that a node may send. It leaves room for keepalives and for calls
	// between routers under the limit of 12 KB/s.
	BytesPerSecond = 11_000
	// capacityTime is the time in which an empty bucket fills up.
	capacityTime = 5 * hoist.Second
	// maxDebtTime is the time in which the largest overdraft is refilled.
	maxDebtTime = 2 * hoist.Second
	// MessageOverheadBytes is the number of bytes that HTTP/2 and gRPC add to one message of an exchange.
	MessageOverheadBytes = 50
)

// Bucket is an immutable token bucket over the bytes that a node sends.
type Bucket struct {
	level      int
	refilledAt hoist.Millis
}

// NewBucket returns a full bucket.
func NewBucket(now hoist.Millis) Bucket {
	return Bucket{int(capacityTime / hoist.Second * BytesPerSecond), now}
}

// Refill returns the bucket with the bytes added until now.
func (b Bucket) Refill(now hoist.Millis) Bucket {
	added := int(max(0, min(now-b.refilledAt, capacityTime))) * BytesPerSecond / int(hoist.Second)
	return Bucket{min(b.level+added, int(capacityTime/hoist.Second*BytesPerSecond)), now}
}

// Available returns the bytes that bulk items may use; it is never negative.
func (b Bucket) Available() int { return max(0, b.level) }

// Spend returns the bucket after bytes were sent; heartbeats and urgent items may overdraw it.
//
// The overdraft is limited, so that bulk items do not wait for long after many routers have started at once.
func (b Bucket) Spend(bytes int) Bucket {
	b.level = max(b.level-bytes, -int(maxDebtTime/hoist.Second*BytesPerSecond))
	return b
}
