// Package prompt extracts what scheduling needs from the body of a completion request.
package prompt

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

const (
	// bytesPerToken is the usual mean length of a token in text.
	bytesPerToken = 4
	// blockBytes is the length of one prefix block; engines cache prefixes in blocks of about 64 tokens.
	blockBytes = 256
	// maxBlocks bounds the prefix hashes that are sent with a placement request.
	maxBlocks = 8
)

// Prompt holds what scheduling needs of a completion request.
type Prompt struct {
	request     value.CompletionRequest
	text        string
	fingerprint uint64
}

// Parse decodes a completion request from JSON.
func Parse(body []byte) (Prompt, error) {
	message := &wire.CompletionRequest{}
	if err := decode(body, message); err != nil {
		// Most requests give their content as text, so only a body that cannot be decoded is read again with its
		// parts joined.
		joined, partsErr := withText(body)
		if partsErr != nil {
			return Prompt{}, partsErr
		}
		if err := decode(joined, message); err != nil {
			return Prompt{}, err
		}
	}
	request := wire.CompletionRequestValue(message)
	p := Prompt{request: request, text: text(request)}
	p.fingerprint = xxhash.Sum64String(request.Model() + "\x00" + p.text)
	return p, nil
}

// decode decodes a JSON message. Its errors have the same text in every build, which protojson deliberately avoids.
func decode(body []byte, m proto.Message) error {
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, m)
	if err == nil {
		return nil
	}
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return eris.New("decode completion request: " + strings.TrimSpace(strings.TrimPrefix(message, "proto:")))
}

// withText returns the body with the content of each message as one string where it is given in text parts.
func withText(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	var messages []map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return body, nil
	}
	for _, m := range messages {
		content := bytes.TrimSpace(m["content"])
		if !bytes.HasPrefix(content, []byte("[")) {
			continue
		}
		joined, err := joinParts(content)
		if err != nil {
			return nil, err
		}
		m["content"] = joined
	}
	var err error
	if fields["messages"], err = json.Marshal(messages); err != nil {
		return nil, eris.Wrap(err, "encode messages")
	}
	encoded, err := json.Marshal(fields)
	return encoded, eris.Wrap(err, "encode completion request")
}

// joinParts returns the texts of a list of content parts as one JSON string.
func joinParts(content []byte) (json.RawMessage, error) {
	parts := &wire.ContentParts{}
	if err := decode(slices.Concat([]byte(`{"parts":`), content, []byte("}")), parts); err != nil {
		return nil, err
	}
	var texts []string
	for _, p := range parts.GetParts() {
		if p.GetType() != "text" {
			return nil, eris.Errorf("decode completion request: a content part of type %q is not supported; send text parts", p.GetType())
		}
		texts = append(texts, p.GetText())
	}
	encoded, err := json.Marshal(strings.Join(texts, "\n"))
	return encoded, eris.Wrap(err, "encode content")
}

// text returns the request's prompt or messages as one string.
func text(r value.CompletionRequest) string {
	if r.Messages().Len() == 0 {
		return r.Prompt()
	}
	var b strings.Builder
	for m := range r.Messages().All() {
		b.WriteString(m.Role())
		b.WriteByte('\n')
		b.WriteString(m.Content())
		b.WriteByte('\n')
	}
	return b.String()
}

// Request returns the decoded request.
func (p Prompt) Request() value.CompletionRequest { return p.request }

// Fingerprint returns the hash of model and prompt by which suspected and quarantined content is recognised.
func (p Prompt) Fingerprint() uint64 { return p.fingerprint }

// EstimatedTokens returns the estimated length of the prompt in tokens.
func (p Prompt) EstimatedTokens() int32 {
	return int32((len(p.text) + bytesPerToken - 1) / bytesPerToken)
}

// Prefixes returns the hashes of the prompt's leading blocks, from the shortest prefix to the longest.
func (p Prompt) Prefixes() value.List[uint64] {
	var hashes []uint64
	digest := xxhash.New()
	for i := 0; i+blockBytes <= len(p.text) && len(hashes) < maxBlocks; i += blockBytes {
		_, _ = digest.WriteString(p.text[i : i+blockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return value.ListOf(hashes...)
}

// EnableStreaming returns the body with streaming enabled. The values of all other fields are kept; the body is encoded
// again, with its fields sorted by name.
func EnableStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "decode completion request")
	}
	fields["stream"] = json.RawMessage("true")
	encoded, err := json.Marshal(fields)
	return encoded, eris.Wrap(err, "encode completion request")
}
