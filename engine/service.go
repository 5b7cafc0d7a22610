package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"chicoryhoist.example/hoist/value"
)

// exchange runs a plain call and passes its whole answer on.
func (r *run) exchange(ctx context.Context, call ServiceCall) value.EndKind {
	timer := r.watch(r.limits.FirstFrame)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(r.trace(ctx), call.Method, "http://"+r.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return value.EndKindUnreachable
	}
	req.GetBody = nil
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set("X-Request-Id", AttemptID(r.id))
	transport := r.pooled
	if call.NoReuse {
		transport = r.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return r.broken(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if kind, ok := refusal(resp); ok {
		return kind
	}
	if resp.Header.Get("X-Request-Id") != AttemptID(r.id) {
		r.foreign()
		return value.EndKindFailed
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.limits.MaxBody+1))
	if err != nil {
		return r.broken(ctx)
	}
	if int64(len(body)) > r.limits.MaxBody {
		return value.EndKindFailed
	}
	if !r.sink(Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}) {
		return value.EndKindCancelled
	}
	return value.EndKindFinished
}
