//go:build review

// Command broken-off sends idempotent requests for long answers, a few of which a faulty server breaks off, and compares the
// answers with those of the servers.
package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chicoryhoist.example/hoist/review/lab"
)

const (
	// faultyShare and faultRate are share and x of "garble": so many servers break off so many of their answers.
	faultyShare = 0.5
	faultRate   = 0.02
	serverCount = 4
	clients     = 12
	perClient   = 200
	// minBytes and maxBytes bound the answers.
	minBytes, maxBytes = 100 << 10, 900 << 10
	chunkBytes         = 16 << 10
)

// bodyOf returns the whole answer to the request with the id.
func bodyOf(id string) []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Never fails.
	g := rand.New(rand.NewPCG(h.Sum64(), 1))
	b := make([]byte, minBytes+g.IntN(maxBytes-minBytes))
	for i := range b {
		b[i] = 'a' + byte(g.UintN(26))
	}
	return b
}

// respond sends the answer in chunks; a broken answer ends with the connection somewhere in the middle.
func respond(l *lab.Lab, w http.ResponseWriter, r *http.Request, s *lab.Server, broken bool) {
	id := r.Header.Get(lab.HeaderID)
	b := bodyOf(id)
	end := len(b)
	if broken {
		end = len(b)/4 + rand.N(len(b)/2)
	}
	l.Logf("%s runs %s, %d bytes, sends %d", s.ID, id, len(b), end)
	w.Header().Set("Content-Type", "application/octet-stream")
	c := http.NewResponseController(w)
	for at := 0; at < end; at += chunkBytes {
		if _, err := w.Write(b[at:min(at+chunkBytes, end)]); err != nil {
			return
		}
		_ = c.Flush() // A caller that has left needs no answer.
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// check compares an answer with that of the servers.
func check(l *lab.Lab, id string, a lab.Answer) {
	want := bodyOf(id)
	switch {
	case a.Err != nil && a.Status == 0:
		l.Logf("answer to %s: %v", id, a.Err)
	case !a.Complete:
		l.Logf("answer to %s: status %d, ended early after %d bytes: %v", id, a.Status, len(a.Body), a.Err)
	case a.Status/100 != 2:
		l.Logf("answer to %s: status %d", id, a.Status)
	case a.Header.Get(lab.HeaderSeal) == "":
		l.Violate("MIXED: answer to %s is a success without a seal", id)
	case !bytes.Equal(a.Body, want):
		same := 0
		for same < min(len(a.Body), len(want)) && a.Body[same] == want[same] {
			same++
		}
		l.Violate("MIXED: answer to %s is a complete success of %d bytes, that of the servers has %d; they differ from byte %d on; the rest is the beginning of the answer again: %t",
			id, len(a.Body), len(want), same, bytes.HasSuffix(a.Body, want))
	default:
		l.Logf("answer to %s: status %d, whole", id, a.Status)
	}
}

func run(l *lab.Lab) error {
	for i := range serverCount {
		faulty := l.Trouble && float64(i) < faultyShare*serverCount
		_, err := l.AddServer("records", fmt.Sprintf("i-rec-%d", i+1), i%3, 6, func(s *lab.Server, w http.ResponseWriter, r *http.Request) {
			time.Sleep(15 * time.Millisecond)
			respond(l, w, r, s, faulty && rand.Float64() < faultRate)
		})
		if err != nil {
			return err
		}
	}
	l.Publish(1, lab.Route{Name: "read", Prefix: "/read/", Kind: "idempotent", Service: "records", TimeoutMs: 5000, TargetMs: 500, Attempts: 2})
	if err := l.StartRouters(); err != nil {
		return err
	}
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			for n := range perClient {
				id := fmt.Sprintf("r%02d%04d", c, n)
				check(l, id, l.Send(lab.Call{Router: c % l.Routers(), Method: http.MethodGet, Path: "/read/" + id, ID: id, Deadline: 5 * time.Second}))
			}
		})
	}
	group.Wait()
	return nil
}

func main() { lab.Main(run) }
