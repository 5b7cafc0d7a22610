package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/wire"
)

// maxResponseBytes limits the size of a response; a report of 4,500 servers needs a few megabytes.
const maxResponseBytes = 64 << 20

// show sends a request without a body to the router and prints the response.
func (s session) show(method, path string, result proto.Message) error {
	if err := s.call(method, path, nil, result); err != nil {
		return err
	}
	return s.print(result)
}

// call sends one request to the administration interface and decodes the response into result.
func (s session) call(method, path string, body []byte, result proto.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(s.Router, "/")+path, bytes.NewReader(body))
	if err != nil {
		return fail(exitUsage, "%v", err)
	}
	secret, err := s.operatorSecret()
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	if body != nil {
		request.Header.Set("Content-Type", "application/toml")
	}
	// The transport ignores the proxy settings of the environment, so the operator's secret is sent only to the router.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return fail(exitUnreachable, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fail(exitUnreachable, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response, content)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, result); err != nil {
		return fail(exitErrorResponse, "decode response: %v", err)
	}
	return nil
}

// operatorSecret returns the secret from the file or the environment. It is not a command-line option, because other users can see the command line.
func (s session) operatorSecret() (string, error) {
	if s.Secret == "" {
		return os.Getenv("HOISTCTL_SECRET"), nil
	}
	content, err := os.ReadFile(s.Secret)
	if err != nil {
		return "", fail(exitFile, "%v", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// responseError returns the failure for an error response.
func responseError(r *http.Response, content []byte) error {
	body := &wire.ErrorBody{}
	message := r.Status
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, body); err == nil && body.GetError().GetMessage() != "" {
		message = body.GetError().GetMessage()
	}
	if r.StatusCode == http.StatusUnauthorized {
		return fail(exitCredential, "%s", message)
	}
	return fail(exitErrorResponse, "%s", message)
}
