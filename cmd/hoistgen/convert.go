package main

import (
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// writeConversions generates the functions that convert between wire messages and values.
func writeConversions(p *protogen.Plugin, f *protogen.File) {
	g := p.NewGeneratedFile(outputName(f, "wire", ".value.go"), "chicoryhoist.example/hoist/wire")
	g.P(generatedHeader, "package wire\n")
	g.P("import \"chicoryhoist.example/hoist/value\"\n")
	for _, m := range f.Messages {
		writeToValue(g, m)
		writeToWire(g, m)
	}
}

// writeToValue generates the conversion of a message to its value.
func writeToValue(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	g.P("// ", name, "Value returns the immutable value of the message.")
	g.P("func ", name, "Value(m *", name, ") value.", name, " {")
	g.P("\tvar v value.", name)
	for _, f := range m.Fields {
		switch {
		case !outsideOneof(f):
		case f.Desc.IsList():
			g.P("\tif s := m.Get", f.GoName, "(); len(s) > 0 {")
			g.P("\t\titems := make([]", elementType(f), ", len(s))")
			g.P("\t\tfor i := range s {\n\t\t\titems[i] = ", toValue(f, "s[i]"), "\n\t\t}")
			g.P("\t\tv = v.With", f.GoName, "(value.ListOf(items...))\n\t}")
		case f.Desc.Kind() == protoreflect.MessageKind:
			g.P("\tif m.Has", f.GoName, "() {\n\t\tv = v.With", f.GoName, "(", toValue(f, "m.Get"+f.GoName+"()"), ")\n\t}")
		default:
			g.P("\tv = v.With", f.GoName, "(", toValue(f, "m.Get"+f.GoName+"()"), ")")
		}
	}
	for _, o := range m.Oneofs {
		g.P("\tswitch m.Which", o.GoName, "() {")
		for _, f := range o.Fields {
			g.P("\tcase ", name, "_", f.GoName, "_case:\n\t\tv = v.With", o.GoName, "(", toValue(f, "m.Get"+f.GoName+"()"), ")")
		}
		g.P("\t}")
	}
	g.P("\treturn v\n}\n")
}

// writeToWire generates the conversion of a value to its message.
func writeToWire(g *protogen.GeneratedFile, m *protogen.Message) {
	name := m.GoIdent.GoName
	size := protogen.GoImportPath("google.golang.org/protobuf/proto").Ident("Size")
	g.P("// ", name, "Wire returns the message of the immutable value.")
	g.P("func ", name, "Wire(v value.", name, ") *", name, " {")
	g.P("\tm := &", name, "{}")
	for _, f := range m.Fields {
		switch {
		case !outsideOneof(f):
		case f.Desc.IsList():
			g.P("\tif v.", f.GoName, "().Len() > 0 {")
			g.P("\t\titems := make([]", wireType(f), ", 0, v.", f.GoName, "().Len())")
			g.P("\t\tfor x := range v.", f.GoName, "().All() {\n\t\t\titems = append(items, ", toWire(f, "x"), ")\n\t\t}")
			g.P("\t\tm.Set", f.GoName, "(items)\n\t}")
		case f.Desc.Kind() == protoreflect.MessageKind:
			// An empty message is omitted, so that JSON responses contain no empty objects.
			g.P("\tif x := ", toWire(f, "v."+f.GoName+"()"), "; ", size, "(x) > 0 {\n\t\tm.Set", f.GoName, "(x)\n\t}")
		default:
			g.P("\tm.Set", f.GoName, "(", toWire(f, "v."+f.GoName+"()"), ")")
		}
	}
	for _, o := range m.Oneofs {
		g.P("\tswitch b := v.", o.GoName, "().(type) {")
		for _, f := range o.Fields {
			g.P("\tcase value.", f.Message.GoIdent.GoName, ":\n\t\tm.Set", f.GoName, "(", toWire(f, "b"), ")")
		}
		g.P("\t}")
	}
	g.P("\treturn m\n}\n")
}

// elementType returns the Go type of a list element in package value, qualified for use in package wire.
func elementType(f *protogen.Field) string {
	switch f.Desc.Kind() {
	case protoreflect.MessageKind, protoreflect.EnumKind:
		return "value." + valueType(f)
	default:
		return valueType(f)
	}
}

// wireType returns the Go type of a list element in package wire.
func wireType(f *protogen.Field) string {
	switch f.Desc.Kind() {
	case protoreflect.MessageKind:
		return "*" + f.Message.GoIdent.GoName
	case protoreflect.EnumKind:
		return f.Enum.GoIdent.GoName
	case protoreflect.BytesKind:
		return "[]byte"
	default:
		return valueType(f)
	}
}

// toValue returns an expression that converts one element to its value.
func toValue(f *protogen.Field, expression string) string {
	switch f.Desc.Kind() {
	case protoreflect.MessageKind:
		return f.Message.GoIdent.GoName + "Value(" + expression + ")"
	case protoreflect.EnumKind:
		return "value." + f.Enum.GoIdent.GoName + "(" + expression + ")"
	case protoreflect.BytesKind:
		return "string(" + expression + ")"
	default:
		return expression
	}
}

// toWire returns an expression that converts one element to its wire type.
func toWire(f *protogen.Field, expression string) string {
	switch f.Desc.Kind() {
	case protoreflect.MessageKind:
		return f.Message.GoIdent.GoName + "Wire(" + expression + ")"
	case protoreflect.EnumKind:
		return f.Enum.GoIdent.GoName + "(" + expression + ")"
	case protoreflect.BytesKind:
		return "[]byte(" + expression + ")"
	default:
		return expression
	}
}
