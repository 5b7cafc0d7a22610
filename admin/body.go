package admin

import (
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// responseBody is a response body that is a schema message in the JSON mapping of protobuf.
type responseBody[M proto.Message] struct {
	message M
}

// MarshalJSON also writes keys with zero values, so that scripts find every key.
func (b responseBody[M]) MarshalJSON() ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(b.message)
}

// Schema returns the OpenAPI schema of the message; huma calls it on the zero value.
func (b responseBody[M]) Schema(huma.Registry) *huma.Schema {
	return messageSchema(b.message.ProtoReflect().Descriptor())
}

// messageSchema returns the JSON schema of a message.
func messageSchema(m protoreflect.MessageDescriptor) *huma.Schema {
	s := &huma.Schema{Type: huma.TypeObject, Title: string(m.Name()), Properties: map[string]*huma.Schema{}}
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		x := elementSchema(f)
		if f.IsList() {
			x = &huma.Schema{Type: huma.TypeArray, Items: x}
		}
		s.Properties[string(f.Name())] = x
	}
	return s
}

// elementSchema returns the JSON schema of one element of a field.
func elementSchema(f protoreflect.FieldDescriptor) *huma.Schema {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return messageSchema(f.Message())
	case protoreflect.EnumKind:
		s := &huma.Schema{Type: huma.TypeString}
		for i := range f.Enum().Values().Len() {
			s.Enum = append(s.Enum, string(f.Enum().Values().Get(i).Name()))
		}
		return s
	case protoreflect.BoolKind:
		return &huma.Schema{Type: huma.TypeBoolean}
	case protoreflect.Int32Kind, protoreflect.Uint32Kind:
		return &huma.Schema{Type: huma.TypeInteger, Format: f.Kind().String()}
	case protoreflect.Int64Kind, protoreflect.Uint64Kind:
		// The JSON mapping of protobuf writes 64-bit integers as strings, because JavaScript numbers would lose precision.
		return &huma.Schema{Type: huma.TypeString, Format: f.Kind().String()}
	case protoreflect.BytesKind:
		return &huma.Schema{Type: huma.TypeString, ContentEncoding: "base64"}
	default:
		return &huma.Schema{Type: huma.TypeString}
	}
}

// operationID returns the identifier of an operation for generated clients.
func operationID(method, path string) string {
	return strings.ToLower(method) + strings.NewReplacer("/", "-", "{", "", "}", "").Replace(path)
}
