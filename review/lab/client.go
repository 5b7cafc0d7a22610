//go:build review

package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Host is the host of all routes, Key the API key of the only tenant.
const (
	Host = "a.example"
	Key  = "n2ctnfzs989anu6wsjnb"
)

// Call is one request of a client.
type Call struct {
	Router           int
	Method, Path, ID string
	Parts            string
	Deadline         time.Duration
	Header           map[string]string
	// Body is sent with its length; nil sends none.
	Body []byte
}

// Answer is what the client has received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Complete is set if the response ended as its framing says.
	Complete bool
	Err      error
}

// Send sends the request on a new connection and reads the response until its end or the deadline.
func (l *Lab) Send(c Call) Answer {
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	var body io.Reader
	if c.Body != nil {
		body = bytes.NewReader(c.Body)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+l.Front(c.Router)+c.Path, body)
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = Host
	r.Header.Set(HeaderID, c.ID)
	r.Header.Set(HeaderKey, Key)
	r.Header.Set(HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Parts != "" {
		r.Header.Set(HeaderModel, "m")
		r.Header.Set(HeaderUsage, "200,20")
		r.Header.Set(HeaderParts, c.Parts)
	}
	for k, v := range c.Header {
		r.Header.Set(k, v)
	}
	l.Logf("client sends %s to router %d: %s %s %s", c.ID, c.Router+1, c.Method, c.Path, c.Parts)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // The body was read.
	content, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: content, Complete: err == nil, Err: err}
}

// Route is one route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutMs, TargetMs         int
	Attempts                    int
	Resumable                   bool
}

// Publish writes a version of the configuration with one tenant and returns the time of the acknowledgement.
func (l *Lab) Publish(version int, routes ...Route) time.Time {
	return l.PublishTenants(version, []Tenant{{"hule930", []string{Key}}}, routes...)
}

// Tenant is one tenant of the configuration with its keys.
type Tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}

// PublishTenants writes a version of the configuration and returns the time of the acknowledgement.
func (l *Lab) PublishTenants(version int, tenants []Tenant, routes ...Route) time.Time {
	holders, err := json.Marshal(tenants)
	if err != nil {
		panic(err) // Strings can always be marshalled.
	}
	var list string
	for i, r := range routes {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"route_type":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":%q,`+
			`"max_attempts":%d,"anonymous":false,"sticky":%t,"resumable":%t,"inter_token_ms":300}`,
			r.Name, Host, r.Prefix, r.Kind, r.TimeoutMs, r.TargetMs, r.Service, r.Attempts, r.Kind == "streaming", r.Resumable)
	}
	l.Store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":%s}`, version, list, holders))
	l.Logf("store acknowledged configuration %d with the tenants %s", version, holders)
	return time.Now()
}
