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

// Fault is an error answer; it is an immutable value.
type Fault struct {
	status  int
	code    string
	message string
	outcome value.Outcome
	retry   hoist.Millis
}

// NewFault returns a fault of a request that was not run.
func NewFault(status int, code, message string) Fault {
	return Fault{status: status, code: code, message: message, outcome: value.OutcomeNotRun}
}

// WithOutcome returns a copy with the outcome replaced.
func (f Fault) WithOutcome(o value.Outcome) Fault {
	f.outcome = o
	return f
}

// WithRetry returns a copy with the time after which a retry is likely to be accepted.
func (f Fault) WithRetry(m hoist.Millis) Fault {
	f.retry = m
	return f
}

// Faults of requests that are refused before they reach a dispatcher.
var (
	faultDraining   = NewFault(http.StatusServiceUnavailable, "draining", "this router is shutting down").WithRetry(100)
	faultNotReady   = NewFault(http.StatusServiceUnavailable, "not_ready", "this router holds no configuration yet").WithRetry(hoist.Second)
	faultBusy       = NewFault(http.StatusServiceUnavailable, "too_many_requests_in_progress", "this router has reached its limit of requests in progress").WithRetry(hoist.Second)
	faultCredential = NewFault(http.StatusUnauthorized, "invalid_credential", "the credential is missing, unknown or expired")
	faultBody       = NewFault(http.StatusRequestEntityTooLarge, "body_too_large", "the request body is over the limit of this router")
	faultRead       = NewFault(http.StatusBadRequest, "unreadable_body", "the request body could not be read in time")
	faultPath       = NewFault(http.StatusNotFound, "unknown_path", "no operation has this method and path")
	faultModel      = NewFault(http.StatusNotFound, "unknown_model", "no pool carries the requested model or adapter")
	faultPrompt     = NewFault(http.StatusRequestEntityTooLarge, "prompt_too_long", "the prompt is over the token limit of this router")
	faultMessages   = NewFault(http.StatusBadRequest, "too_many_messages", "the request holds more messages than this router allows")
	faultOutput     = NewFault(http.StatusBadRequest, "output_too_long", "max_tokens is negative or over the limit of this router")
	faultService    = NewFault(http.StatusNotFound, "unknown_service", "no service has the requested name")
	faultToken      = NewFault(http.StatusBadRequest, "invalid_token", "an idempotency token has the form issuer.window.number")
	faultKey        = NewFault(http.StatusPreconditionRequired, "token_required", "an Idempotency-Key alone cannot rule out a second execution; send Idempotency-Token: issuer.window.key with the issuer and window of this answer's headers")
	faultShard      = NewFault(http.StatusServiceUnavailable, "no_backend_server", "no backend server of the pool is listed").WithRetry(hoist.Second)
)

// resultFault returns the error answer for a request that ended without a whole answer.
func resultFault(r call.Result) Fault {
	f := refusalFault(r.Reason)
	if r.Outcome == value.OutcomeUnknown && r.Reason == value.RefusalReasonUnspecified {
		f = NewFault(http.StatusBadGateway, "attempt_failed", "the backend server failed; the request may have run")
	}
	return f.WithOutcome(r.Outcome).WithRetry(r.RetryAfter)
}

// refusalFault returns the error answer for a dispatcher's refusal.
func refusalFault(reason value.RefusalReason) Fault {
	code := reason.String()
	switch reason {
	case value.RefusalReasonLate, value.RefusalReasonShed:
		return NewFault(http.StatusTooManyRequests, code, "demand exceeds capacity; the request could not meet its latency target")
	case value.RefusalReasonLimit:
		return NewFault(http.StatusTooManyRequests, code, "a limit of the class or the workspace is used up")
	case value.RefusalReasonQuarantined:
		return NewFault(http.StatusUnprocessableEntity, code, "this request has crashed backend servers and is refused for a time")
	case value.RefusalReasonTimeout:
		return NewFault(http.StatusServiceUnavailable, code, "the request waited longer than its class allows")
	case value.RefusalReasonBudget:
		return NewFault(http.StatusServiceUnavailable, code, "the retry budget is used up")
	case value.RefusalReasonInvalid:
		return NewFault(http.StatusBadRequest, code, "the model engine rejected the request as invalid")
	case value.RefusalReasonExpired:
		return NewFault(http.StatusConflict, code, "the window of the idempotency token is too old; look up whether the call ran")
	case value.RefusalReasonMismatch:
		return NewFault(http.StatusConflict, code, "the idempotency token belongs to another call or names a window that does not exist yet")
	case value.RefusalReasonRecords:
		return NewFault(http.StatusTooManyRequests, code, "this router holds too many idempotency records; use another issuer")
	case value.RefusalReasonIssuer:
		return NewFault(http.StatusConflict, "issuer_unreachable", "the issuer of the idempotency token cannot be reached; look up whether the call ran")
	case value.RefusalReasonUnkept:
		return NewFault(http.StatusConflict, code, "the call ran, but its answer was too large to keep")
	default:
		return NewFault(http.StatusServiceUnavailable, "unavailable", "no backend server could take the request")
	}
}

// body returns the JSON error body.
func (f Fault) body(request string) []byte {
	info := value.ErrorInfo{}.WithCode(f.code).WithMessage(f.message).WithOutcome(call.OutcomeName(f.outcome)).
		WithRequest(request).WithRetryAfterMs(int32(f.retry))
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(wire.ErrorBodyWire(value.ErrorBody{}.WithError(info)))
	if err != nil {
		return []byte(`{"error":{"code":"internal","outcome":"unknown"}}`)
	}
	return b
}

// write answers the caller with the fault.
func (f Fault) write(w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Outcome", call.OutcomeName(f.outcome))
	if f.retry > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.retry+hoist.Second-1)/hoist.Second), 10))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(f.body(request))
}
