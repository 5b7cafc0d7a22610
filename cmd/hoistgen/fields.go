package main

import (
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// valueType returns the Go type of one element of the field in package value; it panics on an unsupported kind.
func valueType(f *protogen.Field) string {
	switch f.Desc.Kind() {
	case protoreflect.StringKind:
		return "string"
	case protoreflect.BoolKind:
		return "bool"
	case protoreflect.Int32Kind:
		return "int32"
	case protoreflect.Int64Kind:
		return "int64"
	case protoreflect.Uint32Kind:
		return "uint32"
	case protoreflect.Uint64Kind:
		return "uint64"
	case protoreflect.DoubleKind:
		return "float64"
	case protoreflect.BytesKind:
		// Bytes are stored as a string, so that the value is immutable and comparable.
		return "string"
	case protoreflect.EnumKind:
		return f.Enum.GoIdent.GoName
	case protoreflect.MessageKind:
		return f.Message.GoIdent.GoName
	default:
		panic("hoistgen: unsupported kind " + f.Desc.Kind().String() + " of " + string(f.Desc.FullName()))
	}
}

// fieldType returns the Go type of the field in package value, which is a List for a repeated field.
func fieldType(f *protogen.Field) string {
	if f.Desc.IsList() {
		return "List[" + valueType(f) + "]"
	}
	return valueType(f)
}

// fieldName returns the name of the struct field for a schema field; Go keywords among the names get a trailing underscore.
func fieldName(name string) string {
	s := strings.ToLower(name[:1]) + name[1:]
	switch s {
	case "type", "range", "func", "map", "default":
		return s + "_"
	}
	return s
}

// outsideOneof reports whether the field is not a member of a oneof.
func outsideOneof(f *protogen.Field) bool {
	return f.Oneof == nil || f.Oneof.Desc.IsSynthetic()
}

// goComment formats the leading comment of a declaration as Go comment lines.
func goComment(c protogen.Comments, indent string) string {
	s := strings.TrimRight(string(c), "\n")
	if s == "" {
		return ""
	}
	lines := strings.Split(s, "\n")
	return indent + "//" + strings.Join(lines, "\n"+indent+"//") + "\n"
}

// oneLine returns the leading comment of a declaration joined to one line.
func oneLine(c protogen.Comments) string {
	return strings.Join(strings.Fields(string(c)), " ")
}
