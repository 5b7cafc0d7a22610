package gossip

import (
	"iter"
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// MaxBytes is the encoded size of all items up to which items with new keys are stored. A larger version of a stored item
	// replaces it even above the limit. A record takes about three times its encoded size in memory, which keeps the store
	// well below the 32 MB that a node may use for control work.
	MaxBytes = 4 << 20
	// maxOriginRecords limits the items of one origin, so that a single faulty router cannot fill the store.
	maxOriginRecords = 4096
)

// Record is an item with its metadata in the store.
type Record struct {
	item       value.Item
	key        Key
	recipient  string
	sequence   uint64
	receivedAt hoist.Millis
}

// Item returns the item.
func (r Record) Item() value.Item { return r.item }

// Key returns the key of the item.
func (r Record) Key() Key { return r.key }

// Recipient returns the only router that receives the item, or an empty name if all do.
func (r Record) Recipient() string { return r.recipient }

// Sequence returns the sequence number of the last change of the item.
func (r Record) Sequence() uint64 { return r.sequence }

// expired reports whether the lifetime of the item is over.
func (r Record) expired(now hoist.Millis) bool { return now-r.receivedAt >= lifetime(r.item.Body()) }

// aged returns the item as it is sent now; the remaining time of a quarantine is reduced by the time since its receipt.
func (r Record) aged(now hoist.Millis) value.Item {
	q, ok := r.item.Body().(value.Quarantine)
	if !ok {
		return r.item
	}
	return r.item.WithBody(q.WithRemainingMs(max(0, q.RemainingMs()-int64(now-r.receivedAt))))
}

// origin is the immutable set of items of one incarnation of a router; lastSequence is the sequence number of the last
// change.
type origin struct {
	incarnation  uint64
	lastSequence uint64
	records      map[Key]Record
}

// Store is an immutable set of items, with the newest version for each origin and key.
type Store struct {
	self        string
	incarnation uint64
	version     uint64
	sequence    uint64
	bytes       int
	origins     map[string]origin
}

// New returns an empty store of the router with the name and incarnation.
//
// The sequence begins at the given number. A restarted process must pass a greater one than its predecessor reached, so that
// acknowledgements for the predecessor have no effect.
func New(self string, incarnation, sequence uint64) Store {
	return Store{self: self, incarnation: incarnation, sequence: sequence}
}

// Sequence returns the sequence number of the last change.
func (s Store) Sequence() uint64 { return s.sequence }

// Bytes returns the estimated encoded size of all items.
func (s Store) Bytes() int { return s.bytes }

// Get returns the item with the origin and key.
func (s Store) Get(from string, k Key) (value.Item, bool) {
	r, ok := s.origins[from].records[k]
	return r.item, ok
}

// All yields the items of a kind, in no particular order.
func (s Store) All(k Kind) iter.Seq[value.Item] {
	return func(yield func(value.Item) bool) {
		for _, o := range s.origins {
			for key, r := range o.records {
				if key.Kind == k && !yield(r.item) {
					return
				}
			}
		}
	}
}

// Members yields the member item of each origin, in no particular order.
func (s Store) Members() iter.Seq[value.Member] {
	return func(yield func(value.Member) bool) {
		for _, o := range s.origins {
			if m, ok := o.records[Key{Kind: KindMember}].item.Body().(value.Member); ok && !yield(m) {
				return
			}
		}
	}
}

// Put stores a new version of an own item; recipient is the only router that receives it, or empty for all.
func (s Store) Put(body value.ItemBody, recipient string, now hoist.Millis) Store {
	w := s.edit()
	w.store.version++
	i := value.Item{}.WithOrigin(s.self).WithIncarnation(s.incarnation).WithVersion(w.store.version).WithBody(body)
	w.put(i, recipient, now)
	return w.store
}

// Merge adds the items of a peer and returns those that were new.
//
// The result depends neither on the order of the items nor on repetitions: a higher incarnation replaces all items of its
// origin, a lower one is ignored, and within an incarnation the higher version of a key wins.
func (s Store) Merge(items value.List[value.Item], now hoist.Millis) (Store, []value.Item) {
	w := s.edit()
	var added []value.Item
	for i := range items.All() {
		if i.Origin() != s.self && i.Origin() != "" && s.newer(w, i) && w.put(i, "", now) {
			added = append(added, i)
		}
	}
	if len(added) == 0 {
		return s, nil
	}
	return w.store, added
}

// newer reports whether the item is newer than the one with the same origin and key in the writer.
func (s Store) newer(w *writer, i value.Item) bool {
	o, ok := w.store.origins[i.Origin()]
	if !ok || i.Incarnation() != o.incarnation {
		return !ok || i.Incarnation() > o.incarnation
	}
	r, ok := o.records[KeyOf(i.Body())]
	return !ok || i.Version() > r.item.Version()
}

// Expire removes the items whose lifetime is over.
func (s Store) Expire(now hoist.Millis) Store {
	return s.filter(func(_ string, r Record) bool { return !r.expired(now) })
}

// RemoveFailed removes the items that become invalid with the failure of their origin.
func (s Store) RemoveFailed(failed string) Store {
	return s.filter(func(from string, r Record) bool { return from != failed || r.key.Kind.survivesFailure() })
}

// Remove removes an own item that is no longer valid.
func (s Store) Remove(k Key) Store {
	w := s.edit()
	w.remove(s.self, k)
	return w.store
}

// RemoveKind removes the items of a kind from an origin.
func (s Store) RemoveKind(from string, k Kind) Store {
	w := s.edit()
	for key := range s.origins[from].records {
		if key.Kind == k {
			w.remove(from, key)
		}
	}
	return w.store
}

// filter retains the records for which keep returns true, and removes origins without records.
func (s Store) filter(keep func(from string, r Record) bool) Store {
	w := s.edit()
	for from, o := range s.origins {
		for _, r := range o.records {
			if !keep(from, r) {
				w.remove(from, r.key)
			}
		}
	}
	return w.store
}

// AdvanceSequence advances the sequence without a change, so that a later acknowledgement can be told from an earlier one.
func (s Store) AdvanceSequence() Store {
	s.sequence++
	return s
}

// writer builds a new store; it copies each map before the first write to it.
type writer struct {
	store         Store
	originsCopied bool
	recordsCopied map[string]bool
}

// edit returns a writer that starts from the store.
func (s Store) edit() *writer { return &writer{store: s, recordsCopied: map[string]bool{}} }

// writableOrigin returns the origin after making its maps writable.
func (w *writer) writableOrigin(from string) origin {
	if !w.originsCopied {
		w.store.origins = maps.Clone(w.store.origins)
		if w.store.origins == nil {
			w.store.origins = map[string]origin{}
		}
		w.originsCopied = true
	}
	o := w.store.origins[from]
	if !w.recordsCopied[from] {
		w.recordsCopied[from] = true
		o.records = maps.Clone(o.records)
		if o.records == nil {
			o.records = map[Key]Record{}
		}
		w.store.origins[from] = o
	}
	return o
}

// put stores a newer item; it returns false if the item has no body or a size limit prevents it.
func (w *writer) put(i value.Item, recipient string, now hoist.Millis) bool {
	k := KeyOf(i.Body())
	if k.Kind == KindNone {
		return false
	}
	o := w.writableOrigin(i.Origin())
	if o.incarnation != i.Incarnation() {
		for old := range maps.Clone(o.records) {
			w.remove(i.Origin(), old)
		}
		o = w.writableOrigin(i.Origin())
		o.incarnation = i.Incarnation()
		w.store.origins[i.Origin()] = o
	}
	_, known := o.records[k]
	if !known && (len(o.records) >= maxOriginRecords || w.store.bytes+Size(i) > MaxBytes) {
		return false
	}
	w.remove(i.Origin(), k)
	o = w.writableOrigin(i.Origin())
	o.incarnation = i.Incarnation()
	w.store.origins[i.Origin()] = o
	w.store.bytes += Size(i)
	w.appendRecord(i.Origin(), Record{item: i, key: k, recipient: recipient, receivedAt: now})
	return true
}

// appendRecord stores the record at the end of the sequence.
func (w *writer) appendRecord(from string, r Record) {
	w.store.sequence++
	r.sequence = w.store.sequence
	o := w.store.origins[from]
	o.records[r.key] = r
	o.lastSequence = r.sequence
	w.store.origins[from] = o
}

// remove removes the record with the key, and the origin with its last record.
func (w *writer) remove(from string, k Key) {
	o := w.writableOrigin(from)
	r, ok := o.records[k]
	if !ok {
		return
	}
	w.store.bytes -= Size(r.item)
	delete(o.records, k)
	if len(o.records) == 0 {
		delete(w.store.origins, from)
		delete(w.recordsCopied, from)
	}
}
