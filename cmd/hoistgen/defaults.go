package main

import (
	"regexp"

	"google.golang.org/protobuf/compiler/protogen"
)

// defaultClause matches the default at the end of a field comment.
var defaultClause = regexp.MustCompile(`; default (\d+)\.$`)

// writeDefaults generates the map of defaults from the field comments, so that the
// reference page and the parser have the same defaults.
func writeDefaults(p *protogen.Plugin) {
	g := p.NewGeneratedFile("wire/defaults.gen.go", "chicoryhoist.example/hoist/wire")
	g.P(generatedHeader, "package wire\n")
	g.P("// Defaults holds the default of each integer field that has one, by the field's full name.")
	g.P("var Defaults = map[string]int64{")
	for _, f := range p.Files {
		if !f.Generate {
			continue
		}
		for _, m := range f.Messages {
			for _, x := range m.Fields {
				if c := defaultClause.FindStringSubmatch(oneLine(x.Comments.Leading)); c != nil {
					g.P("\t\"", x.Desc.FullName(), "\": ", c[1], ",")
				}
			}
		}
	}
	g.P("}")
}
