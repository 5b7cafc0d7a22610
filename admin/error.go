package admin

import (
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// errorResponse is an error response in the same format as in the callers' API.
type errorResponse struct {
	status int
	info   value.ErrorInfo
}

// newErrorResponse returns an error response with an HTTP status, a stable code and a message.
func newErrorResponse(status int, code, message string) errorResponse {
	return errorResponse{status, value.ErrorInfo{}.WithCode(code).WithMessage(message)}
}

// GetStatus returns the HTTP status.
func (r errorResponse) GetStatus() int { return r.status }

// Error returns the message.
func (r errorResponse) Error() string { return r.info.Message() }

// MarshalJSON writes the error body.
func (r errorResponse) MarshalJSON() ([]byte, error) {
	body := value.ErrorBody{}.WithError(r.info)
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(wire.ErrorBodyWire(body))
}

// write sends the error response from a handler outside huma.
func (r errorResponse) write(w http.ResponseWriter) {
	body, err := r.MarshalJSON()
	if err != nil {
		body = []byte(`{"error":{"code":"internal"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

// withFindings returns a copy with the findings about a snapshot.
func (r errorResponse) withFindings(findings hoist.Findings) errorResponse {
	r.info = r.info.WithFindings(config.FindingInfos(findings))
	return r
}

// convertError converts errors of huma, such as a body that exceeds the limit, to errorResponse.
func convertError(_ huma.Context, _ string, v any) (any, error) {
	if e, ok := v.(*huma.ErrorModel); ok {
		return newErrorResponse(e.Status, "invalid_request", e.Detail), nil
	}
	return v, nil
}
