//go:build review

// Command last-key takes the keys of two tenants away, one after the other, and goes on sending requests with them.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	serverCount = 3
	workTime    = 15 * time.Millisecond
	deadline    = 600 * time.Millisecond
	// revokePause is gap_s of "revoke" at the site, and revokeBound revoke_ms.
	revokePause = 1500 * time.Millisecond
	revokeBound = 5 * time.Second
	// rounds is the number of requests with each key to each router in each phase.
	rounds = 5
	// neverHeld is a key that no configuration ever holds.
	neverHeld = "q7t1unheldkey0000000"
)

// tenants are the tenants of the first configuration.
var tenants = []lab.Tenant{{Name: "hule930", Keys: []string{"n2ctnfzs989anu6wsjnb"}}, {Name: "bado412", Keys: []string{"anfqasnmgkcuyj8pjbvk"}}}

// runs records the requests that servers ran, with the tenant that they were told.
type runs struct {
	mu      sync.Mutex
	tenants map[string]string
}

// serve runs one request.
func (x *runs) serve(l *lab.Lab, s *lab.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(lab.HeaderID)
	x.mu.Lock()
	x.tenants[id] = r.Header.Get("Chicoryhoist-Tenant")
	x.mu.Unlock()
	l.Logf("%s runs %s for tenant %q", s.ID, id, r.Header.Get("Chicoryhoist-Tenant"))
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(w, "answer to %s\n", id) // A caller that has left needs no answer.
}

// send sends requests with the key to all routers and returns how many a server ran.
func (x *runs) send(l *lab.Lab, phase, key string) int {
	n := 0
	for round := range rounds {
		for i := range l.Routers() {
			id := fmt.Sprintf("%s-%s-%d-%d", phase, key[:4], i, round)
			a := l.Send(lab.Call{
				Router: i, Method: http.MethodPost, Path: "/order/" + id, ID: id, Deadline: deadline,
				Header: map[string]string{lab.HeaderKey: key},
			})
			l.Logf("answer to %s: status %d, complete %t", id, a.Status, a.Complete)
			x.mu.Lock()
			if _, ok := x.tenants[id]; ok {
				n++
			}
			x.mu.Unlock()
		}
	}
	l.Logf("phase %s: %d of %d requests with key %s ran", phase, n, rounds*l.Routers(), key)
	return n
}

func run(l *lab.Lab) error {
	x := &runs{tenants: map[string]string{}}
	for i := range serverCount {
		_, err := l.AddServer("orders", fmt.Sprintf("i-ord-%d", i+1), i%3, 6, func(s *lab.Server, w http.ResponseWriter, r *http.Request) { x.serve(l, s, w, r) })
		if err != nil {
			return err
		}
	}
	route := lab.Route{Name: "order", Prefix: "/order/", Kind: "non_idempotent", Service: "orders", TimeoutMs: 600, TargetMs: 100, Attempts: 1}
	l.PublishTenants(1, tenants, route)
	if err := l.StartRouters(); err != nil {
		return err
	}
	for _, t := range tenants {
		if n := x.send(l, "held", t.Keys[0]); n == 0 {
			return fmt.Errorf("no request with a key of tenant %s ran", t.Name)
		}
	}
	if n := x.send(l, "held", neverHeld); n > 0 {
		l.Violate("ROUTE: %d requests ran with a key that no configuration ever held", n)
	}
	if !l.Trouble {
		time.Sleep(revokePause + revokeBound)
		for _, t := range tenants {
			x.send(l, "kept", t.Keys[0])
		}
		if n := x.send(l, "kept", neverHeld); n > 0 {
			l.Violate("ROUTE: %d requests ran with a key that no configuration ever held", n)
		}
		return nil
	}
	l.PublishTenants(2, tenants[1:], route)
	time.Sleep(revokePause)
	l.PublishTenants(3, []lab.Tenant{}, route)
	time.Sleep(revokeBound)
	for _, t := range tenants {
		if n := x.send(l, "revoked", t.Keys[0]); n > 0 {
			l.Violate("CONFIG: %d requests with the key of tenant %s, sent later than revoke_ms after the acknowledgement of the configuration that took it away, ran", n, t.Name)
		}
	}
	if n := x.send(l, "revoked", neverHeld); n > 0 {
		l.Violate("ROUTE: %d requests ran with a key that no configuration ever held", n)
	}
	return nil
}

func main() { lab.Main(run) }
