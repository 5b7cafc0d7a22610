package config

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrBaseMismatch reports a delta whose base is not the snapshot in force.
var ErrBaseMismatch = eris.New("delta is for another base")

// ErrInvalidDelta reports a delta that is malformed or whose result does not have the stated digest.
var ErrInvalidDelta = eris.New("invalid delta")

// NewDelta returns the delta that transforms the base into the result.
func NewDelta(base, result *View) value.Delta {
	var put []value.Object
	var removed []value.ObjectKey
	compareObjects(objectsOf(base.Snapshot), objectsOf(result.Snapshot), func(old, next value.Object) {
		if next.Body() == nil {
			removed = append(removed, keyOf(old))
			return
		}
		put = append(put, next)
	})
	return value.Delta{}.
		WithBaseGeneration(base.version.Generation).
		WithBaseDigest(base.version.Digest).
		WithGeneration(result.version.Generation).
		WithDigest(result.version.Digest).
		WithPut(value.ListOf(put...)).
		WithRemoved(value.ListOf(removed...))
}

// EncodeDelta returns the encoding of a delta that is sent between routers.
func EncodeDelta(d value.Delta) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(wire.DeltaWire(d))
	return b, eris.Wrap(err, "encode delta")
}

// DecodeDelta decodes a delta that EncodeDelta has encoded.
func DecodeDelta(content []byte) (value.Delta, error) {
	m := &wire.Delta{}
	if err := proto.Unmarshal(content, m); err != nil {
		return value.Delta{}, eris.Wrap(ErrInvalidDelta, err.Error())
	}
	return wire.DeltaValue(m), nil
}

// ApplyDelta applies the delta to its base and returns the result.
//
// The complete result is checked and must have the digest that the delta states. Otherwise
// the error is ErrBaseMismatch or ErrInvalidDelta, and the base stays in force.
func ApplyDelta(base *View, d value.Delta) (*View, error) {
	if base.version != (Version{d.BaseGeneration(), d.BaseDigest()}) {
		return nil, ErrBaseMismatch
	}
	s, err := merge(base.Snapshot, d)
	if err != nil {
		return nil, err
	}
	if findings := checkSnapshot(s, newPositions("delta", nil)); len(findings) > 0 {
		return nil, eris.Wrap(ErrInvalidDelta, findings.Error())
	}
	if digest := Digest(Format(s)); digest != d.Digest() {
		return nil, eris.Wrapf(ErrInvalidDelta, "digest is %016x, not %016x", digest, d.Digest())
	}
	return NewView(s, d.Digest()), nil
}

// patch indexes the objects of a delta; merging deletes each object that it has applied.
type patch struct {
	put     map[value.ObjectKey]value.Object
	removed map[value.ObjectKey]bool
	// changedKinds holds the kinds that the delta changes; the lists of the other kinds are shared with the base.
	changedKinds map[value.ObjectKind]bool
}

// newPatch indexes a delta; it returns ErrInvalidDelta if an object is empty or occurs twice.
func newPatch(d value.Delta) (patch, error) {
	p := patch{map[value.ObjectKey]value.Object{}, map[value.ObjectKey]bool{}, map[value.ObjectKind]bool{}}
	for o := range d.Put().All() {
		k := keyOf(o)
		if _, ok := p.put[k]; ok || k.Kind() == value.ObjectKindUnspecified {
			return p, eris.Wrapf(ErrInvalidDelta, "object %s is empty or occurs twice in the delta", describeKey(k))
		}
		p.put[k] = o
		p.changedKinds[k.Kind()] = true
	}
	for k := range d.Removed().All() {
		p.removed[k] = true
		p.changedKinds[k.Kind()] = true
	}
	return p, nil
}

// merge returns the base with the objects of the delta added, replaced or removed.
func merge(base value.Snapshot, d value.Delta) (value.Snapshot, error) {
	p, err := newPatch(d)
	if err != nil {
		return base, err
	}
	s := base.WithGeneration(d.Generation()).
		WithTiers(mergeList(p, value.ObjectKindTier, base.Tiers(), d)).
		WithClasses(mergeList(p, value.ObjectKindClass, base.Classes(), d)).
		WithWorkspaces(mergeList(p, value.ObjectKindWorkspace, base.Workspaces(), d)).
		WithCredentials(mergeList(p, value.ObjectKindCredential, base.Credentials(), d)).
		WithPools(mergeList(p, value.ObjectKindPool, base.Pools(), d)).
		WithModels(mergeList(p, value.ObjectKindModel, base.Models(), d)).
		WithAdapters(mergeList(p, value.ObjectKindAdapter, base.Adapters(), d)).
		WithServices(mergeList(p, value.ObjectKindService, base.Services(), d))
	for policy := range bodiesOf[value.Policy](d.Put()).All() {
		s = s.WithPolicy(policy)
	}
	if len(p.removed) > 0 {
		return base, eris.Wrapf(ErrInvalidDelta, "%d removed objects are not in the base, or the delta replaces them as well", len(p.removed))
	}
	return s, nil
}

// mergeList applies the patch to the list of one kind.
func mergeList[T object](p patch, kind value.ObjectKind, base value.List[T], d value.Delta) value.List[T] {
	if !p.changedKinds[kind] {
		return base
	}
	items := make([]T, 0, base.Len()+1)
	for x := range base.All() {
		k := value.ObjectKey{}.WithKind(kind).WithName(x.Name())
		next, replaced := p.put[k]
		switch {
		case replaced:
			items = append(items, next.Body().(T))
			delete(p.put, k)
		case p.removed[k]:
			delete(p.removed, k)
		default:
			items = append(items, x)
		}
	}
	for x := range bodiesOf[T](d.Put()).All() {
		if _, added := p.put[value.ObjectKey{}.WithKind(kind).WithName(x.Name())]; added {
			items = append(items, x)
		}
	}
	return value.ListOf(items...)
}
