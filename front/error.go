package front

import (
	"net/http"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/call"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrorResponse is an HTTP error response; it is an immutable value.
type ErrorResponse struct {
	status     int
	code       string
	message    string
	outcome    value.Outcome
	retryAfter hoist.Millis
}

// NewErrorResponse returns an error response with the outcome not-run.
func NewErrorResponse(status int, code, message string) ErrorResponse {
	return ErrorResponse{status: status, code: code, message: message, outcome: value.OutcomeNotRun}
}

// WithOutcome returns a copy with the outcome replaced.
func (e ErrorResponse) WithOutcome(o value.Outcome) ErrorResponse {
	e.outcome = o
	return e
}

// WithRetryAfter returns a copy with the delay after which a retry is likely to be accepted.
func (e ErrorResponse) WithRetryAfter(m hoist.Millis) ErrorResponse {
	e.retryAfter = m
	return e
}

// Error responses to requests that are rejected before a placement request is sent to a dispatcher.
var (
	errorDraining          = NewErrorResponse(http.StatusServiceUnavailable, "draining", "this router is shutting down").WithRetryAfter(100)
	errorNotReady          = NewErrorResponse(http.StatusServiceUnavailable, "not_ready", "this router holds no configuration yet").WithRetryAfter(hoist.Second)
	errorBusy              = NewErrorResponse(http.StatusServiceUnavailable, "too_many_requests_in_progress", "this router has reached its limit of requests in progress").WithRetryAfter(hoist.Second)
	errorInvalidCredential = NewErrorResponse(http.StatusUnauthorized, "invalid_credential", "the credential is missing, unknown or expired")
	errorBodyTooLarge      = NewErrorResponse(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is over the limit of this router")
	errorMemoryExhausted   = NewErrorResponse(http.StatusServiceUnavailable, "memory_exhausted", "this router has no memory for the request body").WithRetryAfter(hoist.Second)
	errorBodyUnreadable    = NewErrorResponse(http.StatusBadRequest, "unreadable_body", "the request body could not be read in time")
	errorBodyBroken        = NewErrorResponse(http.StatusBadRequest, "broken_body", "the request body is malformed or ended early")
	errorUnknownPath       = NewErrorResponse(http.StatusNotFound, "unknown_path", "no operation has this method and path")
	errorUnknownModel      = NewErrorResponse(http.StatusNotFound, "unknown_model", "no pool carries the requested model or adapter")
	errorPromptTooLong     = NewErrorResponse(http.StatusRequestEntityTooLarge, "prompt_too_long", "the prompt is over the token limit of this router")
	errorTooManyMessages   = NewErrorResponse(http.StatusBadRequest, "too_many_messages", "the request holds more messages than this router allows")
	errorOutputTooLong     = NewErrorResponse(http.StatusBadRequest, "output_too_long", "max_tokens is negative or over the limit of this router")
	errorUnknownService    = NewErrorResponse(http.StatusNotFound, "unknown_service", "no service has the requested name")
	errorInvalidToken      = NewErrorResponse(http.StatusBadRequest, "invalid_token", "an idempotency token has the form issuer.window.number")
	errorTokenRequired     = NewErrorResponse(http.StatusPreconditionRequired, "token_required", "an Idempotency-Key alone cannot rule out a second execution; send Idempotency-Token: issuer.window.key with the issuer and window of this answer's headers")
	errorNoServer          = NewErrorResponse(http.StatusServiceUnavailable, "no_backend_server", "no backend server of the pool is listed").WithRetryAfter(hoist.Second)
)

// resultError returns the error response to a request that ended without a complete response.
func resultError(r call.Result) ErrorResponse {
	e := refusalError(r.Reason)
	if r.Outcome == value.OutcomeUnknown && r.Reason == value.RefusalReasonUnspecified {
		e = NewErrorResponse(http.StatusBadGateway, "attempt_failed", "the backend server failed; the request may have run")
	}
	return e.WithOutcome(r.Outcome).WithRetryAfter(r.RetryAfter)
}

// refusalError returns the error response for a refusal of a dispatcher.
func refusalError(reason value.RefusalReason) ErrorResponse {
	code := reason.String()
	switch reason {
	case value.RefusalReasonLate, value.RefusalReasonShed:
		return NewErrorResponse(http.StatusTooManyRequests, code, "demand exceeds capacity; the request could not meet its latency target")
	case value.RefusalReasonLimit:
		return NewErrorResponse(http.StatusTooManyRequests, code, "a limit of the class or the workspace is used up")
	case value.RefusalReasonQuarantined:
		return NewErrorResponse(http.StatusUnprocessableEntity, code, "this request has crashed backend servers and is refused for a time")
	case value.RefusalReasonTimeout:
		return NewErrorResponse(http.StatusServiceUnavailable, code, "the request waited longer than its class allows")
	case value.RefusalReasonBudget:
		return NewErrorResponse(http.StatusServiceUnavailable, code, "the retry budget is used up")
	case value.RefusalReasonInvalid:
		return NewErrorResponse(http.StatusBadRequest, code, "the model engine rejected the request as invalid")
	case value.RefusalReasonExpired:
		return NewErrorResponse(http.StatusConflict, code, "the window of the idempotency token is too old; look up whether the call ran")
	case value.RefusalReasonMismatch:
		return NewErrorResponse(http.StatusConflict, code, "the idempotency token belongs to another call or names a window that does not exist yet")
	case value.RefusalReasonRecords:
		return NewErrorResponse(http.StatusTooManyRequests, code, "this router holds too many idempotency records; use another issuer")
	case value.RefusalReasonIssuer:
		return NewErrorResponse(http.StatusConflict, "issuer_unreachable", "the issuer of the idempotency token cannot be reached; look up whether the call ran")
	case value.RefusalReasonUnkept:
		return NewErrorResponse(http.StatusConflict, code, "the call ran, but its answer was too large to keep")
	default:
		return NewErrorResponse(http.StatusServiceUnavailable, "unavailable", "no backend server could take the request")
	}
}

// body returns the JSON error body.
func (e ErrorResponse) body(requestID string) []byte {
	info := value.ErrorInfo{}.WithCode(e.code).WithMessage(e.message).WithOutcome(call.OutcomeName(e.outcome)).
		WithRequest(requestID).WithRetryAfterMs(int32(e.retryAfter))
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(wire.ErrorBodyWire(value.ErrorBody{}.WithError(info)))
	if err != nil {
		return []byte(`{"error":{"code":"internal","outcome":"unknown"}}`)
	}
	return b
}

// write sends the error response to the caller.
func (e ErrorResponse) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Outcome", call.OutcomeName(e.outcome))
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((e.retryAfter+hoist.Second-1)/hoist.Second), 10))
	}
	w.WriteHeader(e.status)
	_, _ = w.Write(e.body(requestID))
}
