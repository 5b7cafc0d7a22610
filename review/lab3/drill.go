//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revokeTime is the bound revoke_ms of the small deployments; stretchTime is max_stretch_ms and configTime config_apply_ms,
	// which are added so that no reading of the bounds excuses the result.
	revokeTime  = 5 * time.Second
	stretchTime = 5 * time.Second
	configTime  = 2 * time.Second
	// awayTime is the time for which the store is away in the drill, and lostTime the age of the copy from which it returns.
	awayTime = time.Second
	lostTime = 4 * time.Second
	// beatTime is heartbeat_ms, the interval at which servers write.
	beatTime = 1200 * time.Millisecond
	// calmTime is settle_window_ms.
	calmTime = 3 * time.Second
)

// drill is the state of playDrill: what the operator and the servers have written last.
type drill struct {
	*fleet
	version int
	servers []string
}

// publish writes the configuration of a version; the route table grows with the version.
func (d *drill) publish(version int, keys ...string) {
	r := d.store.put("op/config", configuration(version, 1000, version, keys...))
	d.note("store: version %d with the keys %v is acknowledged at revision %d", version, keys, r)
}

// announce writes the entry of each server with the time for which it is still cold.
func (d *drill) announce(coldMs int) {
	for _, id := range d.servers {
		d.registerCold(id, "ready", coldMs)
	}
}

// playDrill takes a key away after a drill of the store, and uses it later than revoke_ms after that was acknowledged.
func playDrill(f *fleet, trouble bool) (bool, error) {
	d := &drill{fleet: f}
	zones := []string{"a", "b", "c", "d"}
	for i := range 3 {
		d.servers = append(d.servers, fmt.Sprintf("app-%d", i+1))
		if err := f.startServer(d.servers[i], "app", zones[i]); err != nil {
			return false, err
		}
	}
	d.publish(1, "north-1", "north-2")
	d.announce(9000)
	if err := f.startRouters(6, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	for i, x := range f.routers {
		if status, _, err := f.send(x, http.MethodGet, "/read/1", fmt.Sprintf("before-%d", i), "north-2"); err != nil || status != http.StatusOK {
			return false, fmt.Errorf("%s doesn't serve before the drill: %d, %v", x.name, status, err)
		}
	}
	older := f.store.copyOf()
	f.note("store: has a copy of revision %d", older.revision)
	for i := range 2 {
		d.publish(2+i, "north-1", "north-2")
		time.Sleep(lostTime / 4)
		d.announce(4000 - 2000*i)
		time.Sleep(lostTime / 4)
	}
	if trouble {
		f.note("store: away")
		f.store.setAway(true)
		time.Sleep(awayTime)
		f.store.restore(older)
		f.note("store: back with the copy of revision %d, Store-Era 2; the operator and the servers write again", older.revision)
		d.publish(3, "north-1", "north-2")
		time.Sleep(beatTime / 2)
	}
	d.announce(0)
	time.Sleep(2 * calmTime)
	d.publish(4, "north-1")
	revoked := time.Now()
	calls := f.store.callCount()
	time.Sleep(time.Second)
	f.note("store: %d calls in a second of calm", f.store.callCount()-calls)
	time.Sleep(time.Until(revoked.Add(revokeTime + stretchTime + configTime)))
	return d.useRevoked(revoked)
}

// useRevoked sends requests with the key that was taken away to every router, and reports whether a server runs one.
func (d *drill) useRevoked(revoked time.Time) (bool, error) {
	broken := 0
	for round := range 3 {
		for i, x := range d.routers {
			id := fmt.Sprintf("after-%d-%d", round, i)
			age := time.Since(revoked)
			status, _, _ := d.send(x, http.MethodPost, "/order/1", id, "north-2")
			time.Sleep(30 * time.Millisecond)
			if d.ran(id) {
				broken++
				d.note("BROKEN: a server ran %s, sent to %s (ready: %t) %v after its key was taken away; status %d", id, x.name, x.isReady(), age, status)
			}
			if status, _, _ := d.send(x, http.MethodGet, "/read/1", "valid-"+id, "north-1"); status != http.StatusOK {
				return false, fmt.Errorf("%s doesn't serve a valid key: %d", x.name, status)
			}
		}
		time.Sleep(time.Second)
	}
	d.note("%d of %d requests with the key that was taken away ran", broken, 3*len(d.routers))
	return broken > 0, nil
}
