//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// drainTime is the bound drain_ms of the small deployments, and slackTime is added to it.
	drainTime = 2 * time.Second
	slackTime = time.Second
	// burstOrders is the number of orders that clients send at each router.
	burstOrders = 4
)

// playLeave lets a server leave after a drill of the store, and sends orders later than drain_ms after that was acknowledged.
func playLeave(f *fleet, trouble bool) (bool, error) {
	d := &drill{fleet: f}
	zones := []string{"a", "b", "c", "d"}
	for i := range 3 {
		d.servers = append(d.servers, fmt.Sprintf("app-%d", i+1))
		if err := f.startServer(d.servers[i], "app", zones[i]); err != nil {
			return false, err
		}
	}
	d.publish(1, "north-1")
	d.announce(9000)
	if err := f.startRouters(6, zones...); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	older := f.store.copyOf()
	f.note("store: has a copy of revision %d", older.revision)
	for i := range 2 {
		d.announce(4000 - 2000*i)
		time.Sleep(lostTime / 2)
	}
	if trouble {
		f.note("store: away")
		f.store.setAway(true)
		time.Sleep(awayTime)
		f.store.restore(older)
		f.note("store: back with the copy of revision %d, Store-Era 2; the servers write again", older.revision)
		time.Sleep(beatTime / 2)
	}
	d.announce(0)
	time.Sleep(2 * calmTime)
	left := d.servers[2]
	d.register(left, "draining")
	acknowledged := time.Now()
	if err := f.servers[left].cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return false, err
	}
	time.Sleep(drainTime + slackTime)
	f.note("clients: send orders %v after the server's leaving was acknowledged", time.Since(acknowledged))
	var w sync.WaitGroup
	for i, x := range f.routers {
		for n := range burstOrders {
			w.Go(func() { f.send(x, http.MethodPost, "/order/1", fmt.Sprintf("late-%d-%d", i, n), "north-1") })
		}
	}
	w.Wait()
	time.Sleep(100 * time.Millisecond)
	late := 0
	for i := range f.routers {
		for n := range burstOrders {
			if f.ranAt(left, fmt.Sprintf("late-%d-%d", i, n)) {
				late++
			}
		}
	}
	f.note("%d of %d orders reached the leaving server %v after drain_ms", late, burstOrders*len(f.routers), slackTime)
	return late > 0, nil
}
