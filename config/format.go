package config

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// Format returns the canonical content of a snapshot in TOML.
//
// Objects are sorted by name and keys are in the order of the schema; keys with zero values
// are omitted. Snapshots with the same meaning have the same content, so a delta can
// reproduce it byte for byte.
func Format(s value.Snapshot) []byte {
	var b bytes.Buffer
	formatTable(&b, "", wire.SnapshotWire(canonical(s)).ProtoReflect())
	return b.Bytes()
}

// canonical returns the snapshot with the objects of each kind sorted by name.
func canonical(s value.Snapshot) value.Snapshot {
	return s.WithTiers(sortedByName(s.Tiers())).
		WithClasses(sortedByName(s.Classes())).
		WithWorkspaces(sortedByName(s.Workspaces())).
		WithCredentials(sortedByName(s.Credentials())).
		WithPools(sortedByName(s.Pools())).
		WithModels(sortedByName(s.Models())).
		WithAdapters(sortedByName(s.Adapters())).
		WithServices(sortedByName(s.Services()))
}

// sortedByName returns the list sorted by name; a list that is already sorted is returned unchanged.
func sortedByName[T named](l value.List[T]) value.List[T] {
	sorted := true
	for i := 1; i < l.Len() && sorted; i++ {
		sorted = l.At(i-1).Name() <= l.At(i).Name()
	}
	if sorted {
		return l
	}
	items := slices.Collect(l.All())
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(a.Name(), b.Name()) })
	return value.ListOf(items...)
}

// formatTable writes the scalar keys of a table, followed by its inner tables.
func formatTable(b *bytes.Buffer, path string, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); f.Message() == nil && m.Has(f) {
			b.WriteString(string(f.Name()))
			b.WriteString(" = ")
			formatField(b, f, m.Get(f))
			b.WriteByte('\n')
		}
	}
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Message() == nil || !m.Has(f) {
			continue
		}
		name := path + string(f.Name())
		if !f.IsList() {
			formatHeader(b, "[", name, "]", m.Get(f).Message())
			continue
		}
		for l, j := m.Get(f).List(), 0; j < l.Len(); j++ {
			formatHeader(b, "[[", name, "]]", l.Get(j).Message())
		}
	}
}

// formatHeader writes one table with its header. An empty table is omitted unless it is an item of a list.
func formatHeader(b *bytes.Buffer, left, name, right string, m protoreflect.Message) {
	if left == "[" && isEmpty(m) {
		return
	}
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	b.WriteString(left + name + right + "\n")
	formatTable(b, name+".", m)
}

// isEmpty reports whether all keys of the table have zero values.
func isEmpty(m protoreflect.Message) bool {
	empty := true
	m.Range(func(protoreflect.FieldDescriptor, protoreflect.Value) bool {
		empty = false
		return false
	})
	return empty
}

// formatField writes a scalar or a list of scalars.
func formatField(b *bytes.Buffer, f protoreflect.FieldDescriptor, v protoreflect.Value) {
	if !f.IsList() {
		formatScalar(b, f, v)
		return
	}
	b.WriteByte('[')
	for l, i := v.List(), 0; i < l.Len(); i++ {
		if i > 0 {
			b.WriteString(", ")
		}
		formatScalar(b, f, l.Get(i))
	}
	b.WriteByte(']')
}

// formatScalar writes one value in TOML.
func formatScalar(b *bytes.Buffer, f protoreflect.FieldDescriptor, v protoreflect.Value) {
	switch f.Kind() {
	case protoreflect.StringKind:
		formatString(b, v.String())
	case protoreflect.EnumKind:
		formatString(b, EnumName(f.Enum(), f.Enum().Values().ByNumber(v.Enum())))
	default:
		b.WriteString(v.String())
	}
}

// formatString writes a basic string with the escapes that TOML defines.
func formatString(b *bytes.Buffer, s string) {
	b.WriteByte('"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f:
			b.WriteString(`\u` + padHex(strconv.FormatInt(int64(c), 16)))
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
}

// padHex pads hexadecimal digits with leading zeros to four digits.
func padHex(digits string) string { return strings.Repeat("0", max(0, 4-len(digits))) + digits }
