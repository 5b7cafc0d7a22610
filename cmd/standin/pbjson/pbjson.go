// Package pbjson encodes and decodes schema messages in the JSON form of the outside systems' protocols.
package pbjson

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxBodyBytes bounds the body of a control request; values of the platform are at most 1 MiB.
const maxBodyBytes = 2 << 20

// Marshal returns the JSON of the message with its schema field names, and with 64-bit integers as numbers.
//
// The standard protobuf mapping writes 64-bit integers as strings, which differs from the engines' protocol.
func Marshal(m proto.Message) []byte {
	b, err := json.Marshal(messageMap(m.ProtoReflect()))
	if err != nil {
		panic(err)
	}
	return b
}

// messageMap returns the message as a tree of maps, lists and scalars.
func messageMap(m protoreflect.Message) map[string]any {
	t := map[string]any{}
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.HasPresence() && !m.Has(f) {
			continue
		}
		v := m.Get(f)
		if !f.IsList() {
			t[string(f.Name())] = elementValue(f, v)
			continue
		}
		items := make([]any, v.List().Len())
		for j := range items {
			items[j] = elementValue(f, v.List().Get(j))
		}
		t[string(f.Name())] = items
	}
	return t
}

// elementValue returns a single value of a field as a map or a scalar.
func elementValue(f protoreflect.FieldDescriptor, v protoreflect.Value) any {
	if f.Kind() == protoreflect.MessageKind {
		return messageMap(v.Message())
	}
	return v.Interface()
}

// Unmarshal reads a message from JSON; unknown fields are ignored.
func Unmarshal(b []byte, m proto.Message) error {
	return eris.Wrap(protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, m), "parse JSON")
}

// Read reads a message from a request body.
func Read(r *http.Request, m proto.Message) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return eris.Wrap(err, "read body")
	}
	return Unmarshal(b, m)
}

// Write sends a message as the response body.
func Write(w http.ResponseWriter, m proto.Message) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(Marshal(m))
}
