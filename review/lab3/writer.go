//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writerEntries is the number of times that the other writer writes, one for each heartbeat of the server.
	writerEntries = 5
	// heartbeat is heartbeat_ms.
	heartbeat = 1200 * time.Millisecond
)

// foreignEntry returns an entry of another writer: its numbers are text, and it names another service than the server's own.
func foreignEntry(s *server, service string) []byte {
	b, err := json.Marshal(map[string]any{
		"service": service, "address": s.address, "zone": s.zone, "version": "1", "slots": "6", "state": "ready", "cold_remaining_ms": "0",
		"sequence": "1", "born": fmt.Sprint(s.born),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// playWriter lets another writer write an entry whose fields have other types.
func playWriter(f *fleet, trouble bool) (bool, error) {
	zones := []string{"a", "b"}
	for i := range 2 {
		if err := f.startServer(fmt.Sprintf("app-%d", i+1), "app", zones[i]); err != nil {
			return false, err
		}
	}
	if err := f.startServer("parts-1", "parts", "a"); err != nil {
		return false, err
	}
	f.note("store: configuration at revision %d", f.store.put("op/config", configuration(2, 1000, 0, "north-1")))
	for _, id := range []string{"app-1", "app-2", "parts-1"} {
		f.register(id, "ready")
	}
	if err := f.startRouters(2, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	sent := 0
	var failed atomic.Int64
	for n := range writerEntries {
		if trouble {
			e := foreignEntry(f.servers["parts-1"], "app")
			f.note("store: another writer writes servers/parts-1 at revision %d: %s", f.store.put("servers/parts-1", e), e)
		}
		var w sync.WaitGroup
		for end := time.Now().Add(heartbeat); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			sent++
			id, x := fmt.Sprintf("order-%d-%d", n, sent), f.routers[sent%2]
			w.Go(func() {
				if status, _, err := f.send(x, http.MethodPost, "/order/1", id, "north-1"); err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			})
		}
		w.Wait()
		f.register("parts-1", "ready")
		time.Sleep(heartbeat)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	foreign := 0
	for _, line := range f.runs {
		if strings.HasPrefix(line, "run parts-1 order-") {
			foreign++
		}
	}
	fmt.Fprintf(f.record, "%d of %d orders ran at the server of another service; %d failed\n", foreign, sent, failed.Load())
	return foreign > 0, nil
}
