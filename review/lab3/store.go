//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the time that the store takes for an answer.
const answerTime = 4 * time.Millisecond

// historyTime is the time for which the store keeps changes.
const historyTime = 20 * time.Second

// item is one key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: range reads, watches, and the return from an older copy.
type store struct {
	mu       sync.Mutex
	away     bool
	era      int
	revision int64
	items    map[string]item
	history  []item
	// times are those of the history, and dropped is the newest revision that it no longer has.
	times   []time.Time
	dropped int64
	changed chan struct{}
	calls   int
}

func newStore() *store {
	return &store{era: 1, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key; a nil value removes it. It returns the new revision, which acknowledges the write.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Removed: value == nil}
	if i.Removed {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	s.times = append(s.times, time.Now())
	for len(s.times) > 0 && time.Since(s.times[0]) > historyTime {
		s.dropped = s.history[0].Revision
		s.history, s.times = s.history[1:], s.times[1:]
	}
	s.wake()
	return s.revision
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyOf returns a copy of the content, to which the store can return.
func (s *store) copyOf() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newStore()
	c.revision = s.revision
	for k, v := range s.items {
		c.items[k] = v
	}
	c.history, c.times, c.dropped = append(c.history, s.history...), append(c.times, s.times...), s.dropped
	return c
}

// setAway makes the store answer 503 to every call, or ends that.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore returns to the copy under the next era.
func (s *store) restore(c *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.away = c.revision, c.items, false
	s.history, s.times, s.dropped = c.history, c.times, c.dropped
	s.wake()
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(answerTime)
	switch {
	case strings.HasSuffix(r.URL.Path, "/kv-range"):
		s.serveRange(w, r)
	case strings.HasSuffix(r.URL.Path, "/kv-watch"):
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// head writes the header of an answer; the lock is held.
func (s *store) head(w http.ResponseWriter, status int) {
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.head(w, http.StatusServiceUnavailable)
		return
	}
	var list []item
	for k, v := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	s.head(w, http.StatusOK)
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": list, "has_more": false, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if s.away {
			s.head(w, http.StatusServiceUnavailable)
			s.mu.Unlock()
			return
		}
		if after > s.revision || after < s.dropped {
			s.head(w, http.StatusGone)
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after {
				events = append(events, i)
			}
		}
		if over || len(events) > 0 {
			s.head(w, http.StatusOK)
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// entry returns the store entry of a server.
func entry(service, address, zone, state string, coldMs int, born int64) []byte {
	b, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1", "slots": 6, "state": state, "cold_remaining_ms": coldMs, "sequence": 1, "born": born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// configuration returns the operator's configuration with the routes' common time-out and the keys of the tenant north.
func configuration(version, timeoutMs, extra int, keys ...string) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "target_latency_ms": 150,
			"priority": 2, "service": service, "max_attempts": 2,
		}
	}
	routes := []map[string]any{route("order", "/order/", "non_idempotent", "app"), route("read", "/read/", "idempotent", "app")}
	for i := range extra {
		routes = append(routes, route(fmt.Sprintf("read-%d", i), fmt.Sprintf("/read%d/", i), "idempotent", "app"))
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "app", "max_connections": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{
			{"name": "north", "api_keys": keys, "priority": 1},
			{"name": "south", "api_keys": []string{"south-1"}, "priority": 1},
		},
	})
	if err != nil {
		panic(err)
	}
	return b
}
