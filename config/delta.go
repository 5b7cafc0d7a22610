package config

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

// ErrBaseMismatch reports a delta that belongs to another base than the snapshot in force.
var ErrBaseMismatch = eris.New("delta has another base")

// ErrInvalidDelta reports a delta that is malformed or does not lead to the content that it promises.
var ErrInvalidDelta = eris.New("delta does not lead to its result")

// NewDelta returns the delta that turns the base into the result.
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

// EncodeDelta returns the form in which a delta travels between routers.
func EncodeDelta(d value.Delta) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(wire.DeltaWire(d))
	return b, eris.Wrap(err, "encode delta")
}

// DecodeDelta reads the form that EncodeDelta writes.
func DecodeDelta(content []byte) (value.Delta, error) {
	m := &wire.Delta{}
	if err := proto.Unmarshal(content, m); err != nil {
		return value.Delta{}, eris.Wrap(ErrInvalidDelta, err.Error())
	}
	return wire.DeltaValue(m), nil
}

// ApplyDelta returns the result of the delta on its base.
//
// The result is checked as a whole and must have the digest that the delta names;
// otherwise the error is ErrBaseMismatch or ErrInvalidDelta and the base stays in force.
func ApplyDelta(base *View, d value.Delta) (*View, error) {
	if base.version != (Version{d.BaseGeneration(), d.BaseDigest()}) {
		return nil, ErrBaseMismatch
	}
	s, err := merge(base.Snapshot, d)
	if err != nil {
		return nil, err
	}
	if findings := checkSnapshot(s, newPlaces("delta", nil)); len(findings) > 0 {
		return nil, eris.Wrap(ErrInvalidDelta, findings.Error())
	}
	if digest := Digest(Format(s)); digest != d.Digest() {
		return nil, eris.Wrapf(ErrInvalidDelta, "digest is %016x, not %016x", digest, d.Digest())
	}
	return NewView(s, d.Digest()), nil
}

// patch is a delta in the form of sets; merging takes out what it has applied.
type patch struct {
	put  map[value.ObjectKey]value.Object
	gone map[value.ObjectKey]bool
	// Touched holds the kinds that the delta changes; lists of other kinds are shared with the base.
	touched map[value.ObjectKind]bool
}

// patchOf returns the sets of a delta, or ErrInvalidDelta when an object is empty or stands twice.
func patchOf(d value.Delta) (patch, error) {
	p := patch{map[value.ObjectKey]value.Object{}, map[value.ObjectKey]bool{}, map[value.ObjectKind]bool{}}
	for o := range d.Put().All() {
		k := keyOf(o)
		if _, ok := p.put[k]; ok || k.Kind() == value.ObjectKindUnspecified {
			return p, eris.Wrapf(ErrInvalidDelta, "object %s is empty or twice in the delta", describeKey(k))
		}
		p.put[k] = o
		p.touched[k.Kind()] = true
	}
	for k := range d.Removed().All() {
		p.gone[k] = true
		p.touched[k.Kind()] = true
	}
	return p, nil
}

// merge returns the base with the objects of the delta replaced, added and removed.
func merge(base value.Snapshot, d value.Delta) (value.Snapshot, error) {
	p, err := patchOf(d)
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
	for policy := range pick[value.Policy](d.Put()).All() {
		s = s.WithPolicy(policy)
	}
	if len(p.gone) > 0 {
		return base, eris.Wrapf(ErrInvalidDelta, "%d removed objects are not in the base or are put as well", len(p.gone))
	}
	return s, nil
}

// mergeList applies the patch to the list of one kind.
func mergeList[T object](p patch, kind value.ObjectKind, base value.List[T], d value.Delta) value.List[T] {
	if !p.touched[kind] {
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
		case p.gone[k]:
			delete(p.gone, k)
		default:
			items = append(items, x)
		}
	}
	for x := range pick[T](d.Put()).All() {
		if _, added := p.put[value.ObjectKey{}.WithKind(kind).WithName(x.Name())]; added {
			items = append(items, x)
		}
	}
	return value.ListOf(items...)
}
