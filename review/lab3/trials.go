//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

// playOld lets a server answer by HTTP/1.0 with chunks and a long header.
func playOld(f *fleet, trouble bool) (bool, error) {
	if err := f.startApp(); err != nil {
		return false, err
	}
	path := "/read/1"
	if trouble {
		path += "?old=1"
	}
	status, body, err := f.send(f.routers[0], http.MethodGet, path, "old-1", "north-1")
	f.note("client: %q", body)
	return err == nil && status == http.StatusOK && strings.Contains(body, "\r\n"), nil
}

// startApp starts one server and one router.
func (f *fleet) startApp() error {
	if err := f.startServer("app-1", "app", "a"); err != nil {
		return err
	}
	f.store.put("op/config", configuration(2, 1000, 0, "north-1"))
	f.register("app-1", "ready")
	if err := f.startRouters(1, "a"); err != nil {
		return err
	}
	time.Sleep(calmTime)
	return nil
}

// rapidInterval is the time between two writes of the entry in playRapid.
const rapidInterval = 120 * time.Millisecond

// playRapid is playBulk at a faster pace.
func playRapid(f *fleet, trouble bool) (bool, error) { return f.writeBulk(trouble, rapidInterval) }
