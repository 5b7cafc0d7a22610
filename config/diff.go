package config

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist/value"
)

// Diff returns the changes between two snapshots in the order of kind and name.
// It ignores the generation and the order of the objects in the documents.
func Diff(before, after value.Snapshot) value.List[value.Change] {
	var changes []value.Change
	compareObjects(objectsOf(before), objectsOf(after), func(old, next value.Object) {
		switch {
		case old.Body() == nil:
			changes = append(changes, value.Change{}.WithBody(value.Added{}.WithObject(next)))
		case next.Body() == nil:
			changes = append(changes, value.Change{}.WithBody(value.Removed{}.WithObject(old)))
		default:
			c := value.Changed{}.WithObject(keyOf(old)).WithFields(value.ListOf(changedFields(old, next)...))
			changes = append(changes, value.Change{}.WithBody(c))
		}
	})
	return value.ListOf(changes...)
}

// compareObjects calls visit for each object that differs between two sorted lists; an object that one list lacks is empty.
func compareObjects(before, after []value.Object, visit func(old, next value.Object)) {
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		order := 0
		switch {
		case i == len(before):
			order = 1
		case j == len(after):
			order = -1
		default:
			order = compareKeys(keyOf(before[i]), keyOf(after[j]))
		}
		switch {
		case order < 0:
			visit(before[i], value.Object{})
			i++
		case order > 0:
			visit(value.Object{}, after[j])
			j++
		default:
			if !equalObjects(before[i], after[j]) {
				visit(before[i], after[j])
			}
			i++
			j++
		}
	}
}

// equalObjects reports whether all keys of two objects have the same values.
func equalObjects(a, b value.Object) bool {
	return reflect.DeepEqual(a, b) || len(changedFields(a, b)) == 0
}

// changedFields returns the keys with different values in two objects of one kind.
func changedFields(before, after value.Object) []value.FieldChange {
	return appendFields(nil, "", bodyMessage(before).ProtoReflect(), bodyMessage(after).ProtoReflect())
}

// appendFields appends the keys with different values in two tables; keys of inner tables are dotted.
func appendFields(out []value.FieldChange, path string, before, after protoreflect.Message) []value.FieldChange {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		key := path + string(f.Name())
		if f.Message() != nil {
			out = appendFields(out, key+".", before.Get(f).Message(), after.Get(f).Message())
			continue
		}
		a, b := fieldText(f, before), fieldText(f, after)
		if a != b {
			out = append(out, value.FieldChange{}.WithKey(key).WithBefore(a).WithAfter(b))
		}
	}
	return out
}

// fieldText returns the value of a key in TOML, or an empty string for the zero value.
func fieldText(f protoreflect.FieldDescriptor, m protoreflect.Message) string {
	if !m.Has(f) {
		return ""
	}
	var b bytes.Buffer
	formatField(&b, f, m.Get(f))
	return b.String()
}

// Describe returns a change as one line, such as `~ class "guidance": floor_permille 600 -> 500`.
func Describe(c value.Change) string {
	switch b := c.Body().(type) {
	case value.Added:
		return "+ " + describeKey(keyOf(b.Object()))
	case value.Removed:
		return "- " + describeKey(keyOf(b.Object()))
	case value.Changed:
		fields := make([]string, 0, b.Fields().Len())
		for f := range b.Fields().All() {
			fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Key(), orUnset(f.Before()), orUnset(f.After())))
		}
		return "~ " + describeKey(b.Object()) + ": " + strings.Join(fields, ", ")
	}
	return ""
}

// describeKey returns the kind and name of an object for display.
func describeKey(k value.ObjectKey) string {
	if k.Name() == "" {
		return k.Kind().String()
	}
	return fmt.Sprintf("%s %q", k.Kind(), k.Name())
}

// orUnset returns the text, or "unset" if it is empty.
func orUnset(text string) string {
	if text == "" {
		return "unset"
	}
	return text
}
