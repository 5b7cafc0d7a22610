package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"chicoryhoist.example/hoist/value"
)

// callService runs a service call and passes its complete response to the sink.
func (r *run) callService(ctx context.Context, call ServiceCall) value.EndKind {
	timer := r.startTimeout(r.limits.FirstFrame)
	defer timer.Stop()
	req, err := http.NewRequestWithContext(r.traceConnection(ctx), call.Method, "http://"+r.address+call.Path, bytes.NewReader(call.Body))
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
		transport = r.unpooled
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return r.brokenEndKind(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if kind, ok := refusalKind(resp); ok {
		return kind
	}
	if resp.Header.Get("X-Request-Id") != AttemptID(r.id) {
		r.countMismatch()
		return value.EndKindFailed
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.limits.MaxBody+1))
	if err != nil {
		return r.brokenEndKind(ctx)
	}
	if int64(len(body)) > r.limits.MaxBody {
		return value.EndKindFailed
	}
	if !r.sink(Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}) {
		return value.EndKindCancelled
	}
	return value.EndKindFinished
}
