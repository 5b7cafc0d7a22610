package config

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// keyOf returns the kind and name of an object, or the zero key for an empty object.
func keyOf(o value.Object) value.ObjectKey {
	var k value.ObjectKey
	switch b := o.Body().(type) {
	case value.Tier:
		return k.WithKind(value.ObjectKindTier).WithName(b.Name())
	case value.Class:
		return k.WithKind(value.ObjectKindClass).WithName(b.Name())
	case value.Workspace:
		return k.WithKind(value.ObjectKindWorkspace).WithName(b.Name())
	case value.Credential:
		return k.WithKind(value.ObjectKindCredential).WithName(b.Name())
	case value.Pool:
		return k.WithKind(value.ObjectKindPool).WithName(b.Name())
	case value.Model:
		return k.WithKind(value.ObjectKindModel).WithName(b.Name())
	case value.Adapter:
		return k.WithKind(value.ObjectKindAdapter).WithName(b.Name())
	case value.Service:
		return k.WithKind(value.ObjectKindService).WithName(b.Name())
	case value.Policy:
		return k.WithKind(value.ObjectKindPolicy)
	}
	return k
}

// bodyMessage returns the body of an object as a wire message; the object must not be empty.
func bodyMessage(o value.Object) proto.Message {
	switch b := o.Body().(type) {
	case value.Tier:
		return wire.TierWire(b)
	case value.Class:
		return wire.ClassWire(b)
	case value.Workspace:
		return wire.WorkspaceWire(b)
	case value.Credential:
		return wire.CredentialWire(b)
	case value.Pool:
		return wire.PoolWire(b)
	case value.Model:
		return wire.ModelWire(b)
	case value.Adapter:
		return wire.AdapterWire(b)
	case value.Service:
		return wire.ServiceWire(b)
	case value.Policy:
		return wire.PolicyWire(b)
	}
	panic("config: empty object")
}

// compareKeys compares two keys by kind, then by name, which is the order of the canonical content.
func compareKeys(a, b value.ObjectKey) int {
	return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), cmp.Compare(a.Name(), b.Name()))
}

// objectsOf returns the objects of a snapshot in the order of kind and name; the policy is last.
func objectsOf(s value.Snapshot) []value.Object {
	s = canonical(s)
	var out []value.Object
	out = appendObjects(out, s.Tiers())
	out = appendObjects(out, s.Classes())
	out = appendObjects(out, s.Workspaces())
	out = appendObjects(out, s.Credentials())
	out = appendObjects(out, s.Pools())
	out = appendObjects(out, s.Models())
	out = appendObjects(out, s.Adapters())
	out = appendObjects(out, s.Services())
	return append(out, value.Object{}.WithBody(s.Policy()))
}

// appendObjects appends the items of a list as objects.
func appendObjects[T value.ObjectBody](out []value.Object, l value.List[T]) []value.Object {
	for x := range l.All() {
		out = append(out, value.Object{}.WithBody(x))
	}
	return out
}

// object is the body of a snapshot object that has a name.
type object interface {
	value.ObjectBody
	named
}

// bodiesOf returns the bodies of the objects of one kind.
func bodiesOf[T value.ObjectBody](objects value.List[value.Object]) value.List[T] {
	var items []T
	for o := range objects.All() {
		if x, ok := o.Body().(T); ok {
			items = append(items, x)
		}
	}
	return value.ListOf(items...)
}
