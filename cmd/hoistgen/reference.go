package main

import (
	"crypto/sha256"
	"fmt"
	"sort"
	"strings"

	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// writeReference generates the reference page of settings and configuration objects.
func writeReference(p *protogen.Plugin) {
	g := p.NewGeneratedFile("docs/reference.md", "")
	g.P("# Settings and configuration reference\n")
	g.P("Generated from `wire/schema` by `make generate`. Keys are written in TOML.\n")
	for _, f := range p.Files {
		base := strings.TrimSuffix(f.Desc.Path(), ".proto")
		if !f.Generate || base == "peer" || base == "route" || base == "mesh" {
			continue
		}
		g.P("## ", base, "\n")
		for _, m := range f.Messages {
			g.P("### ", m.GoIdent.GoName, "\n\n", oneLine(m.Comments.Leading), "\n")
			g.P("| key | type | meaning |\n| --- | --- | --- |")
			for _, x := range m.Fields {
				g.P("| `", x.Desc.Name(), "` | ", referenceType(x), " | ", oneLine(x.Comments.Leading), " |")
			}
			g.P()
		}
	}
}

// referenceType returns the TOML type of a field for the reference page.
func referenceType(f *protogen.Field) string {
	t := ""
	switch f.Desc.Kind() {
	case protoreflect.MessageKind:
		t = "table " + f.Message.GoIdent.GoName
	case protoreflect.EnumKind:
		names := make([]string, 0, len(f.Enum.Values))
		for _, v := range f.Enum.Values[1:] {
			names = append(names, "`"+shortName(f.Enum, v)+"`")
		}
		t = "one of " + strings.Join(names, ", ")
	case protoreflect.StringKind, protoreflect.BytesKind:
		t = "string"
	case protoreflect.BoolKind:
		t = "boolean"
	case protoreflect.DoubleKind:
		t = "number"
	default:
		t = "integer"
	}
	if f.Desc.IsList() {
		return "list of " + t
	}
	return t
}

// writeDigest generates the SHA-256 digest of the descriptor of each schema file, including its comments.
func writeDigest(p *protogen.Plugin) error {
	var sums []string
	for _, f := range p.Files {
		if !f.Generate {
			continue
		}
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(protodesc.ToFileDescriptorProto(f.Desc))
		if err != nil {
			return err
		}
		sums = append(sums, fmt.Sprintf("%s %x", f.Desc.Path(), sha256.Sum256(b)))
	}
	sort.Strings(sums)
	g := p.NewGeneratedFile("wire/digest.gen.go", "chicoryhoist.example/hoist/wire")
	g.P(generatedHeader, "package wire\n")
	g.P("// SchemaDigests holds the SHA-256 of each schema file's descriptor.")
	g.P("const SchemaDigests = `", strings.Join(sums, "\n"), "`")
	return nil
}
