package front

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/samber/lo"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/accept"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/engine"
	"chicoryhoist.example/hoist/intake"
	"chicoryhoist.example/hoist/metric"
	"chicoryhoist.example/hoist/prompt"
	"chicoryhoist.example/hoist/value"
)

// completion handles a chat or text completion.
func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.clock.Now()
	c, id, ok := s.begin(w, r)
	if !ok {
		return
	}
	requestID := engine.RequestID(id)
	ticket := accept.Open(s.account, w, r)
	defer ticket.Release()
	body, rejection := s.readBody(w, r, ticket)
	if rejection != nil {
		s.reject(w, *rejection, requestID)
		return
	}
	p, err := prompt.Parse(body)
	if err != nil {
		s.reject(w, NewErrorResponse(http.StatusBadRequest, "invalid_request", err.Error()), requestID)
		return
	}
	ask, rejection := s.newAsk(c, p)
	if rejection != nil {
		s.reject(w, *rejection, requestID)
		return
	}
	completion := engine.Completion{Path: r.URL.Path, Request: requestID, Body: body}
	if !p.Request().Stream() {
		if completion.Body, err = prompt.EnableStreaming(body); err != nil {
			s.reject(w, NewErrorResponse(http.StatusBadRequest, "invalid_request", err.Error()), requestID)
			return
		}
	}
	if refusal, ok := s.router.Admit(c.class, c.workspace, p.EstimatedTokens()); !ok {
		s.reject(w, refusalError(refusal.Reason()).WithRetryAfter(hoist.Millis(refusal.RetryMs())), requestID)
		return
	}
	sink := s.newSink(w, p, r.URL.Path, requestID)
	result := s.gateway.Run(r.Context(), ask.WithAttempt(id).WithWaitedMs(int64(s.clock.Now()-arrivedAt)), completion, sink)
	s.router.Release(c.class, c.workspace, result.Emitted)
	sink.finish(result)
	s.observe(c, result, sink.firstFrame(), arrivedAt)
}

// observe records a finished request in the metrics.
func (s *Server) observe(c caller, r call.Result, firstFrameAt, arrivedAt hoist.Millis) {
	s.metrics.Observe(metric.Sample{
		Class: c.class, Workspace: c.workspace, Result: r,
		FirstToken: max(firstFrameAt-arrivedAt, 0), Total: s.clock.Now() - arrivedAt,
	})
}

// readBody reads the request body within the limits. What is held is charged to the ticket, which must be released at the end
// of the request.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, t *intake.Ticket) ([]byte, *ErrorResponse) {
	blocks, err := accept.ReadBody(w, r, t, s.limits.BodyBytes(), accept.Rate{Grace: hoist.Millis(s.limits.IdleMs())})
	var body []byte
	if err == nil {
		body, err = joinBlocks(blocks, t)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &errorBodyTooLarge
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrAddressFull), errors.Is(err, intake.ErrDisplaced):
		return nil, &errorMemoryExhausted
	case errors.Is(err, accept.ErrSlow):
		return nil, &errorBodyUnreadable
	case err != nil:
		return nil, &errorBodyBroken
	}
	return body, nil
}

// joinBlocks returns the body in one piece, as the parser of prompts needs it, and charges the copy.
func joinBlocks(blocks [][]byte, t *intake.Ticket) ([]byte, error) {
	switch len(blocks) {
	case 0:
		return []byte{}, nil
	case 1:
		return blocks[0], nil
	}
	if err := t.Grow(int64(lo.SumBy(blocks, func(b []byte) int { return len(b) }))); err != nil {
		return nil, err
	}
	return bytes.Join(blocks, nil), nil
}

// newAsk checks the request against the configuration and the limits and returns the template of its placement requests.
func (s *Server) newAsk(c caller, p prompt.Prompt) (value.Ask, *ErrorResponse) {
	request := p.Request()
	pools := c.view.PoolsForModel(request.Model())
	switch {
	case len(pools) == 0:
		return value.Ask{}, &errorUnknownModel
	case int64(p.EstimatedTokens()) > s.limits.PromptTokens():
		return value.Ask{}, &errorPromptTooLong
	case int64(request.Messages().Len()) > s.limits.Messages():
		return value.Ask{}, &errorTooManyMessages
	case request.MaxTokens() < 0 || int64(request.MaxTokens()) > s.limits.OutputTokens():
		return value.Ask{}, &errorOutputTooLong
	}
	if s.router.Quarantined(p.Fingerprint()) {
		f := refusalError(value.RefusalReasonQuarantined)
		return value.Ask{}, &f
	}
	shard, ok := s.router.Shard(pools)
	if !ok {
		return value.Ask{}, &errorNoServer
	}
	return value.Ask{}.WithShard(shard).WithClass(c.class.Name()).WithWorkspace(c.workspace.Name()).
		WithModel(request.Model()).WithPrefixes(p.Prefixes()).WithFingerprint(p.Fingerprint()).
		WithPromptTokens(p.EstimatedTokens()).WithRepeatable(true).WithDatacentre(s.datacentre), nil
}
