package front

import (
	"errors"
	"io"
	"net/http"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/prompt"
	"chicoryhoist.example/hoist/value"
)

// completion answers a chat or text completion.
func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	began := s.clock.Now()
	c, id, ok := s.accept(w, r)
	if !ok {
		return
	}
	request := engine.RequestID(id)
	body, fault := s.read(w, r)
	if fault != nil {
		s.refuse(w, *fault, request)
		return
	}
	p, err := prompt.Parse(body)
	if err != nil {
		s.refuse(w, NewErrorResponse(http.StatusBadRequest, "invalid_request", err.Error()), request)
		return
	}
	ask, fault := s.ask(c, p)
	if fault != nil {
		s.refuse(w, *fault, request)
		return
	}
	work := engine.Completion{Path: r.URL.Path, Request: request, Body: body}
	if !p.Request().Stream() {
		if work.Body, err = prompt.EnableStreaming(body); err != nil {
			s.refuse(w, NewErrorResponse(http.StatusBadRequest, "invalid_request", err.Error()), request)
			return
		}
	}
	if refusal, ok := s.source.Admit(c.class, c.workspace, p.EstimatedTokens()); !ok {
		s.refuse(w, refusalFault(refusal.Reason()).WithRetryAfter(hoist.Millis(refusal.RetryMs())), request)
		return
	}
	sink := s.sink(w, p, r.URL.Path, request)
	result := s.gateway.Run(r.Context(), ask.WithAttempt(id).WithWaitedMs(int64(s.clock.Now()-began)), work, sink)
	s.source.Release(c.class, c.workspace, result.Emitted)
	sink.finish(result)
	s.observe(c, result, sink.first(), began)
}

// observe adds a finished request to the metrics.
func (s *Server) observe(c caller, r call.Result, first, began hoist.Millis) {
	s.metrics.Observe(metric.Sample{
		Class: c.class, Workspace: c.workspace, Result: r,
		FirstToken: max(first-began, 0), Total: s.clock.Now() - began,
	})
}

// read returns the request body within the limits.
func (s *Server) read(w http.ResponseWriter, r *http.Request) ([]byte, *ErrorResponse) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.input.BodyBytes()))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &faultBody
	case err != nil:
		return nil, &faultRead
	}
	return body, nil
}

// ask returns the template of the request's asks after checking it against the configuration and the limits.
func (s *Server) ask(c caller, p prompt.Prompt) (value.Ask, *ErrorResponse) {
	request := p.Request()
	pools := c.view.PoolsForModel(request.Model())
	switch {
	case len(pools) == 0:
		return value.Ask{}, &faultModel
	case int64(p.EstimatedTokens()) > s.input.PromptTokens():
		return value.Ask{}, &faultPrompt
	case int64(request.Messages().Len()) > s.input.Messages():
		return value.Ask{}, &faultMessages
	case request.MaxTokens() < 0 || int64(request.MaxTokens()) > s.input.OutputTokens():
		return value.Ask{}, &faultOutput
	}
	if s.source.Quarantined(p.Fingerprint()) {
		f := refusalFault(value.RefusalReasonQuarantined)
		return value.Ask{}, &f
	}
	shard, ok := s.source.Shard(pools)
	if !ok {
		return value.Ask{}, &faultShard
	}
	return value.Ask{}.WithShard(shard).WithClass(c.class.Name()).WithWorkspace(c.workspace.Name()).
		WithModel(request.Model()).WithPrefixes(p.Prefixes()).WithFingerprint(p.Fingerprint()).
		WithPromptTokens(p.EstimatedTokens()).WithRepeatable(true).WithDatacentre(s.datacentre), nil
}
