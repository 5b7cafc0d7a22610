//go:build review

package lab2

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Call is one request of an ordinary client.
type Call struct {
	Address, Method, Path, ID, Prefix string
	BodyBytes                         int
	Deadline                          time.Duration
}

// Result is what the client has seen.
type Result struct {
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// Key is the API key of ordinary clients, and Host the host of the routes.
const (
	Key  = "n2ctnfzs989anu6wsjnb"
	Host = "ficu95.example"
)

// Send sends the request on a new connection and waits for the answer until the deadline.
func Send(c Call) Result {
	var body io.Reader
	if c.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, c.BodyBytes))
	}
	q, err := http.NewRequest(c.Method, "http://"+c.Address+c.Path, body)
	Must(err)
	q.Host = Host
	q.Header.Set("Chicoryhoist-Request-Id", c.ID)
	q.Header.Set("Chicoryhoist-Key", Key)
	q.Header.Set("Chicoryhoist-Deadline-Ms", itoa(c.Deadline.Milliseconds()))
	if c.Prefix != "" {
		q.Header.Set("Chicoryhoist-Model", "m")
		q.Header.Set("Chicoryhoist-Token-Usage", "1460,80")
		q.Header.Set("Chicoryhoist-Prompt-Prefix", c.Prefix)
	}
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	began := time.Now()
	resp, err := (&http.Client{Transport: t, Timeout: c.Deadline}).Do(q)
	if err != nil {
		return Result{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Body: string(b), Err: err, Took: time.Since(began)}
}

// Config returns a configuration of a small deployment: a stream of engines that may be resumed, and a plain service.
func Config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-triage", "host": Host, "prefix": "/triage/", "route_type": "streaming", "timeout_ms": 3000, "target_latency_ms": 400,
				"priority": 1, "service": "llm", "max_attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "inter_token_ms": 300,
			},
			map[string]any{
				"name": "r-guide", "host": Host, "prefix": "/guide/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 250,
				"priority": 0, "service": "llm", "max_attempts": 1, "anonymous": false, "sticky": true, "resumable": false, "inter_token_ms": 200,
			},
			map[string]any{
				"name": "r-read", "host": Host, "prefix": "/read/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 2, "anonymous": false,
			},
			map[string]any{
				"name": "r-order", "host": Host, "prefix": "/order/", "route_type": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 150,
				"priority": 2, "service": "app", "max_attempts": 1, "anonymous": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "llm", "health_path": "/health", "max_connections": 610, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 415706},
			},
			map[string]any{"name": "app", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{Key}, "priority": 1}},
	}
}
