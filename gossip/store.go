package gossip

import (
	"iter"
	"maps"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// MaxBytes bounds the encoded size of all items; in memory a record takes about three times that,
	// which keeps the store well below the 32 MB that a node may use for control work.
	MaxBytes = 4 << 20
	// maxRecords bounds the items of one origin, so that one faulty router cannot fill the store.
	maxRecords = 4096
)

// Record is an item with what the store knows about it.
type Record struct {
	item     value.Item
	key      Key
	to       string
	sequence uint64
	heard    hoist.Millis
}

// Item returns the item.
func (r Record) Item() value.Item { return r.item }

// Key returns the key of the item.
func (r Record) Key() Key { return r.key }

// Recipient returns the only router that the item is for; empty when it is for all.
func (r Record) Recipient() string { return r.to }

// Sequence returns the position at which the store last changed the item.
func (r Record) Sequence() uint64 { return r.sequence }

// expired reports whether the item's lifetime is over.
func (r Record) expired(now hoist.Millis) bool { return now-r.heard >= lifetime(r.item.Body()) }

// aged returns the item as it is sent now; a quarantine loses the time that it has been held.
func (r Record) aged(now hoist.Millis) value.Item {
	q, ok := r.item.Body().(value.Quarantine)
	if !ok {
		return r.item
	}
	return r.item.WithBody(q.WithRemainingMs(max(0, q.RemainingMs()-int64(now-r.heard))))
}

// origin is the immutable set of items of one incarnation of a router.
type origin struct {
	incarnation uint64
	top         uint64
	records     map[Key]Record
}

// Store is an immutable set of items; the newest version of each origin and key is kept.
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
// Sequences start at the given number; a restarted process must pass a greater one
// than its predecessor reached, so that acknowledgements of the predecessor have no effect.
func New(self string, incarnation, sequence uint64) Store {
	return Store{self: self, incarnation: incarnation, sequence: sequence}
}

// Sequence returns the position of the latest change.
func (s Store) Sequence() uint64 { return s.sequence }

// Bytes returns the estimated encoded size of all items.
func (s Store) Bytes() int { return s.bytes }

// Get returns the item of the origin and key.
func (s Store) Get(from string, k Key) (value.Item, bool) {
	r, ok := s.origins[from].records[k]
	return r.item, ok
}

// All yields the items of one kind, in no order.
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

// Members yields the member item of each origin, in no order.
func (s Store) Members() iter.Seq[value.Member] {
	return func(yield func(value.Member) bool) {
		for _, o := range s.origins {
			if m, ok := o.records[Key{Kind: KindMember}].item.Body().(value.Member); ok && !yield(m) {
				return
			}
		}
	}
}

// Put stores a new version of an own item; to names its only receiver, or is empty.
func (s Store) Put(body value.ItemBody, to string, now hoist.Millis) Store {
	w := s.edit()
	w.store.version++
	i := value.Item{}.WithOrigin(s.self).WithIncarnation(s.incarnation).WithVersion(w.store.version).WithBody(body)
	w.put(i, to, now)
	return w.store
}

// Merge adds the items of a peer and returns those that were new.
//
// The result depends neither on the order of the items nor on repetitions: a higher
// incarnation replaces all items of its origin, a lower one is ignored, and within an
// incarnation the higher version of a key wins.
func (s Store) Merge(items value.List[value.Item], now hoist.Millis) (Store, []value.Item) {
	w := s.edit()
	var fresh []value.Item
	for i := range items.All() {
		if i.Origin() != s.self && i.Origin() != "" && s.newer(w, i) && w.put(i, "", now) {
			fresh = append(fresh, i)
		}
	}
	if len(fresh) == 0 {
		return s, nil
	}
	return w.store, fresh
}

// newer reports whether the item is newer than what the writer holds under its key.
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

// RemoveFailed removes the items that are worthless once their origin has failed.
func (s Store) RemoveFailed(failed string) Store {
	return s.filter(func(from string, r Record) bool { return from != failed || r.key.Kind.outlives() })
}

// Remove deletes an own item that no longer holds.
func (s Store) Remove(k Key) Store {
	w := s.edit()
	w.remove(s.self, k)
	return w.store
}

// RemoveKind deletes the items of one kind of an origin.
func (s Store) RemoveKind(from string, k Kind) Store {
	w := s.edit()
	for key := range s.origins[from].records {
		if key.Kind == k {
			w.remove(from, key)
		}
	}
	return w.store
}

// filter keeps the records that pass; an origin without records is forgotten.
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

// writer builds a new store; it copies each map before its first write to it.
type writer struct {
	store  Store
	outer  bool
	copied map[string]bool
}

// edit returns a writer that starts from the store.
func (s Store) edit() *writer { return &writer{store: s, copied: map[string]bool{}} }

// own makes the maps of the origin writable.
func (w *writer) own(from string) origin {
	if !w.outer {
		w.store.origins = maps.Clone(w.store.origins)
		if w.store.origins == nil {
			w.store.origins = map[string]origin{}
		}
		w.outer = true
	}
	o := w.store.origins[from]
	if !w.copied[from] {
		w.copied[from] = true
		o.records = maps.Clone(o.records)
		if o.records == nil {
			o.records = map[Key]Record{}
		}
		w.store.origins[from] = o
	}
	return o
}

// put stores an item that is known to be newer; it reports false when the bounds leave no room.
func (w *writer) put(i value.Item, to string, now hoist.Millis) bool {
	k := KeyOf(i.Body())
	if k.Kind == KindNone {
		return false
	}
	o := w.own(i.Origin())
	if o.incarnation != i.Incarnation() {
		for old := range maps.Clone(o.records) {
			w.remove(i.Origin(), old)
		}
		o = w.own(i.Origin())
		o.incarnation = i.Incarnation()
		w.store.origins[i.Origin()] = o
	}
	_, known := o.records[k]
	if !known && (len(o.records) >= maxRecords || w.store.bytes+Size(i) > MaxBytes) {
		return false
	}
	w.remove(i.Origin(), k)
	o = w.own(i.Origin())
	o.incarnation = i.Incarnation()
	w.store.origins[i.Origin()] = o
	w.store.bytes += Size(i)
	w.number(i.Origin(), Record{item: i, key: k, to: to, heard: now})
	return true
}

// number stores the record at the end of the sequence.
func (w *writer) number(from string, r Record) {
	w.store.sequence++
	r.sequence = w.store.sequence
	o := w.store.origins[from]
	o.records[r.key] = r
	o.top = r.sequence
	w.store.origins[from] = o
}

// remove deletes the record of the key, and the origin with its last record.
func (w *writer) remove(from string, k Key) {
	o := w.own(from)
	r, ok := o.records[k]
	if !ok {
		return
	}
	w.store.bytes -= Size(r.item)
	delete(o.records, k)
	if len(o.records) == 0 {
		delete(w.store.origins, from)
		delete(w.copied, from)
	}
}
