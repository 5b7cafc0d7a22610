package chaos

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// deadlyPath is the path of a request, and deadlyPart the prompt part, that crash the servers that run them.
	deadlyPath = "/stream/deadly"
	deadlyPart = "dead:20"
	// partsHeader is the request header with the parts of a prompt.
	partsHeader = "Chicoryhoist-Prompt-Prefix"
	// deadlyInterval is the time between two deadly requests to one router, and deadlyTimeout the time for each.
	deadlyInterval = 50 * time.Millisecond
	deadlyTimeout  = 500 * time.Millisecond
	// quarantineCrashes is the number of crashes after which content is quarantined.
	quarantineCrashes = 2
)

// isDeadly reports whether the request crashes the server that runs it.
func isDeadly(r *http.Request) bool {
	return r.URL.Path == deadlyPath || strings.Contains(r.Header.Get(partsHeader), deadlyPart)
}

// runDeadlyCaller sends requests that crash servers to one router until ctx ends: with even seeds the same request again and
// again, with odd seeds requests that share nothing but a prompt part.
func (r *run) runDeadlyCaller(ctx context.Context, router int) {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path, parts := deadlyPath, ""
		if r.Seed%2 == 1 {
			path, parts = fmt.Sprintf("/stream/%d-%d", router, n), fmt.Sprintf("f1:100,%s,%x:10", deadlyPart, 1<<20*router+n)
		}
		id := fmt.Sprintf("f-deadly-%d-%d", router, n)
		limited, cancel := context.WithTimeout(ctx, deadlyTimeout)
		status, body, interrupted := send(limited, t, http.MethodGet, r.routers[router].url+path, "b.example", id, "k1", partsHeader, parts)
		cancel()
		r.checkResponse(id, status, body, interrupted)
		time.Sleep(deadlyInterval)
	}
}

// checkCrashes checks that deadly content is quarantined: each router may let a few crashes pass until it knows, and knows
// nothing after a restart.
func (r *run) checkCrashes() {
	crashes := 0
	for _, h := range r.hosts {
		crashes += h.Crashes()
	}
	if limit := quarantineCrashes * (len(r.routers) + int(r.restarts.Load())); crashes > limit {
		r.addViolation("content crashed %d servers, more than %d", crashes, limit)
	}
	r.Crashes.Store(int64(crashes))
}
