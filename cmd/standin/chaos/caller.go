package chaos

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chicoryhoist.example/hoist/cmd/standin/origin"
)

// unservedDelay is the delay of a caller after a request that was not served.
const unservedDelay = 20 * time.Millisecond

// requestKinds are the kinds of requests; the letter is the first one of their ids.
var requestKinds = []struct{ letter, method, host, path string }{
	{"s", http.MethodPost, "a.example", "/stream/x"},
	{"f", http.MethodPost, "b.example", "/stream/x"},
	{"o", http.MethodPost, "a.example", "/once/x"},
	{"r", http.MethodGet, "a.example", "/read/x"},
}

// runCaller sends requests over persistent connections until ctx ends. After the recovery time every request must be
// served, except those with a revoked key.
func (r *run) runCaller(ctx context.Context, caller int) {
	g := r.randomStream(uint64(caller) + 1)
	t := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	defer t.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		k := requestKinds[g.IntN(len(requestKinds))]
		key := "k1"
		if g.IntN(4) == 0 {
			key = "k2"
		}
		p := r.routers[g.IntN(len(r.routers))]
		id := fmt.Sprintf("%s-%d-%d", k.letter, caller, n)
		recovered, sentAt := r.recovered.Load(), time.Now()
		status, body, interrupted := send(ctx, t, k.method, p.url+k.path, k.host, id, key)
		if ctx.Err() != nil {
			return
		}
		r.Requests.Add(1)
		revoked := key == "k2" && r.revokedAt.Load() > 0
		r.checkResponse(id, status, body, interrupted)
		if revokedAt := r.revokedAt.Load(); key == "k2" && revokedAt > 0 && sentAt.UnixMilli() > revokedAt+revocationBound.Milliseconds() && len(r.log.Runs(id)) > 0 {
			r.addViolation("request %s ran though it was sent %d ms after its key was revoked", id, sentAt.UnixMilli()-revokedAt)
		}
		if status != http.StatusOK {
			time.Sleep(unservedDelay)
		}
		if recovered && !revoked && (status != http.StatusOK || interrupted) {
			r.addViolation("request %s got status %d (interrupted %v) after the recovery time", id, status, interrupted)
		}
	}
}

// checkResponse compares a response with the expected response of the request and with its runs.
func (r *run) checkResponse(id string, status int, body string, interrupted bool) {
	want := origin.ResponseBody(id)
	if id[0] == 's' || id[0] == 'f' {
		var b strings.Builder
		for n := range origin.EventsPerStream {
			b.WriteString(origin.StreamEvent(id, n+1))
		}
		want = b.String()
	}
	switch {
	case status == http.StatusOK && interrupted:
		if !strings.HasPrefix(want, body) {
			r.addViolation("request %s got bytes that are not a prefix of its response", id)
		}
	case status == http.StatusOK:
		r.Served.Add(1)
		if body != want {
			r.addViolation("request %s got a body that differs from its response: %d bytes, want %d", id, len(body), len(want))
		}
	case status == http.StatusServiceUnavailable:
		r.Refused.Add(1)
		if n := len(r.log.Runs(id)); n > 0 && (id[0] == 'o' || id[0] == 'f') {
			r.addViolation("request %s was refused as not run but ran %d times", id, n)
		}
	case status == http.StatusNotFound:
		r.addViolation("request %s got status 404 though its route is published", id)
	}
}

// send sends one request; header lists the names and values of further headers alternately. It returns the status, the body
// and whether the response was interrupted or missing.
func send(ctx context.Context, t *http.Transport, method, url, host, id, key string, header ...string) (int, string, bool) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var content io.Reader
	if method == http.MethodPost {
		content = strings.NewReader("body of " + id)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return 0, "", true
	}
	// Without GetBody, net/http never retries a request on its own.
	q.GetBody = nil
	q.Host = host
	q.Header.Set("Chicoryhoist-Request-Id", id)
	q.Header.Set("Chicoryhoist-Key", key)
	q.Header.Set("Chicoryhoist-Deadline-Ms", "4000")
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	resp, err := t.RoundTrip(q)
	if err != nil {
		return 0, "", true
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err != nil
}
