package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/wire"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// print writes a message to standard output, as JSON or as text.
func (s session) print(m proto.Message) error {
	if s.JSON {
		return s.printJSON(m)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, columnGap, ' ', 0)
	switch x := m.(type) {
	case *wire.DryRun:
		printDryRun(w, x)
	case *wire.ChangeReport:
		printChanges(w, x.GetChanges())
	case *wire.BundleAnswer:
		printBundle(w, x)
	default:
		printRows(w, m.ProtoReflect())
	}
	return w.Flush()
}

// printJSON writes the same JSON as the administration interface, indented.
func (s session) printJSON(m proto.Message) error {
	content, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	// protojson varies its whitespace on purpose; json.Indent makes the output stable for scripts.
	if err := json.Indent(&b, content, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, b.String())
	return err
}

// printDryRun writes the findings about an invalid snapshot, or the version, verdict and changes of a valid one.
func printDryRun(w io.Writer, d *wire.DryRun) {
	for _, f := range d.GetFindings() {
		_, _ = fmt.Fprintf(w, "%s:%d:%d: %s\n", f.GetFile(), f.GetLine(), f.GetColumn(), f.GetMessage())
	}
	if !d.GetValid() {
		return
	}
	_, _ = fmt.Fprintln(w, "valid")
	if d.GetGeneration() != 0 {
		_, _ = fmt.Fprintf(w, "generation %d, digest %s\n", d.GetGeneration(), d.GetDigest())
	}
	if d.GetVerdict() != wire.Verdict_VERDICT_UNSPECIFIED {
		_, _ = fmt.Fprintf(w, "generation %d is in force; verdict %s\n", d.GetInForce(), shortName(d.GetVerdict()))
		printChanges(w, d.GetChanges())
	}
}

// printChanges writes one line for each change.
func printChanges(w io.Writer, changes []*wire.Change) {
	for _, c := range changes {
		_, _ = fmt.Fprintln(w, config.Describe(wire.ChangeValue(c)))
	}
}

// printBundle writes the list of values in the order of publication.
func printBundle(w io.Writer, b *wire.BundleAnswer) {
	_, _ = fmt.Fprintf(w, "generation %d, digest %s; publish in this order:\n", b.GetGeneration(), b.GetDigest())
	_, _ = fmt.Fprintln(w, "KEY\tBYTES\tFILE")
	for _, v := range b.GetValues() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", v.GetKey(), len(v.GetContent()), valueFile(v.GetKey()))
	}
}

// printRows writes the scalar fields of a message one per line, followed by its lists as tables.
func printRows(w io.Writer, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); !f.IsList() {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", f.Name(), formatCell(f, m.Get(f)))
		}
	}
	for i := range fields.Len() {
		if f := fields.Get(i); f.IsList() {
			printTable(w, f.Message(), m.Get(f).List())
		}
	}
}

// printTable writes a list of messages with one column for each field.
func printTable(w io.Writer, d protoreflect.MessageDescriptor, l protoreflect.List) {
	names := make([]string, 0, d.Fields().Len())
	for i := range d.Fields().Len() {
		names = append(names, strings.ToUpper(string(d.Fields().Get(i).Name())))
	}
	_, _ = fmt.Fprintln(w, strings.Join(names, "\t"))
	for i := range l.Len() {
		row := make([]string, 0, len(names))
		for j := range d.Fields().Len() {
			f := d.Fields().Get(j)
			row = append(row, formatCell(f, l.Get(i).Message().Get(f)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
}

// formatCell formats one value; an empty string becomes a dash, so that every row has the same number of columns.
func formatCell(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	text := v.String()
	if f.Kind() == protoreflect.EnumKind {
		text = config.EnumName(f.Enum(), f.Enum().Values().ByNumber(v.Enum()))
	}
	if text == "" {
		return "-"
	}
	return text
}

// shortName returns the name of an enum value without the prefix of its type, in lower case.
func shortName(e protoreflect.Enum) string {
	return config.EnumName(e.Descriptor(), e.Descriptor().Values().ByNumber(e.Number()))
}
