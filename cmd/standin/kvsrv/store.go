// Package kvsrv is a stand-in for the key-value store of the users' platform. It serves range reads and watches by
// revision, and can be made to fail or to return from an older copy.
package kvsrv

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/platform/message"
)

// pageSize is the number of items in one page; it is small so that range reads in tests span several pages.
const pageSize = 5

// Mode says how the store handles requests.
type Mode int

// Modes of the store.
const (
	// Serving handles requests normally.
	Serving Mode = iota
	// Refusing responds to requests with status 503.
	Refusing
	// Unresponsive leaves new requests without a response; a watch that is already waiting ends as SetMode describes.
	Unresponsive
)

// Store keeps items and the history of their changes in memory.
type Store struct {
	mu   sync.Mutex
	mode Mode
	// era is 1 at first, and rises with each return from a copy.
	era               int64
	revision          int64
	compactedRevision int64
	items             map[string]*message.Item
	history           []*message.Item
	changed           chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, revision: 1, compactedRevision: 1, items: map[string]*message.Item{}, changed: make(chan struct{})}
}

// SetMode changes how the store handles requests. A watch that is already waiting sends no changes while the mode isn't
// Serving, and gets status 503 if the mode is still Refusing or Unresponsive at the end of its wait.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyWatches()
}

// Put writes an item at the next revision.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := &message.Item{}
	i.SetKey(key)
	i.SetValue(value)
	i.SetRevision(s.revision)
	s.items[key] = i
	s.history = append(s.history, i)
	s.notifyWatches()
}

// Remove removes an item at the next revision; it has no effect on a missing key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	i := &message.Item{}
	i.SetKey(key)
	i.SetRevision(s.revision)
	i.SetRemoved(true)
	delete(s.items, key)
	s.history = append(s.history, i)
	s.notifyWatches()
}

// Compact drops the history, so that watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Copy is a copy of the content of a store.
type Copy struct {
	revision, compactedRevision int64
	items                       map[string]*message.Item
	history                     []*message.Item
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, s.compactedRevision, maps.Clone(s.items), slices.Clone(s.history)}
}

// Restore replaces the content with the copy and begins a new era, in which revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.notifyWatches()
}

// notifyWatches makes every waiting watch check the store again.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /chicoryhoist/kv-range", s.serveRange)
	m.HandleFunc("GET /chicoryhoist/kv-watch", s.serveWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, era := s.mode, s.era
		s.mu.Unlock()
		setEra(w, era)
		switch mode {
		case Refusing:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Unresponsive:
			<-r.Context().Done()
		default:
			m.ServeHTTP(w, r)
		}
	})
}

// serveRange sends one page of the items whose keys have the prefix.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	p := &message.Page{}
	p.SetAt(s.revision)
	p.SetHasMore(len(keys) > pageSize)
	var entries []*message.Item
	for _, k := range keys[:min(len(keys), pageSize)] {
		entries = append(entries, s.items[k])
	}
	p.SetEntries(entries)
	writeJSON(w, p)
}

// serveWatch sends the changes after a revision as soon as there is one, or an empty list when the wait ends.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		setEra(w, s.era)
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		e, mode, changed := s.eventsAfter(after), s.mode, s.changed
		s.mu.Unlock()
		if mode == Serving && (timedOut || len(e.GetEvents()) > 0) {
			writeJSON(w, e)
			return
		}
		if timedOut {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes after a revision, and the current revision.
func (s *Store) eventsAfter(after int64) *message.Events {
	e := &message.Events{}
	e.SetAt(s.revision)
	var events []*message.Item
	for _, i := range s.history {
		if i.GetRevision() > after {
			events = append(events, i)
		}
	}
	e.SetEvents(events)
	return e
}

// setEra sets the header that states the era of a response.
func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}

// writeJSON sends a message as JSON with the field names of the schema.
func writeJSON(w http.ResponseWriter, m proto.Message) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // A caller that has disconnected needs no response.
}
