package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// viewOf returns the view of a snapshot under its canonical digest.
func viewOf(s value.Snapshot) *View { return NewView(s, Digest(Format(s))) }

// renderDiff compares two documents that are separated by a line of equals signs.
func renderDiff(input string) string {
	before, after, _ := strings.Cut(input, "=====\n")
	a, findings := ParseSnapshot("before.toml", []byte(before))
	gomega.Expect(findings).To(gomega.BeEmpty())
	b, findings := ParseSnapshot("after.toml", []byte(after))
	gomega.Expect(findings).To(gomega.BeEmpty())
	var out strings.Builder
	for c := range Diff(a, b).All() {
		out.WriteString(Describe(c) + "\n")
	}
	d := NewDelta(viewOf(a), viewOf(b))
	fmt.Fprintf(&out, "delta puts %d objects and removes %d\n", d.Put().Len(), d.Removed().Len())
	return out.String()
}

// snapshots generates valid snapshots with many objects in common.
func snapshots(t *rapid.T, label string) value.Snapshot {
	s := value.Snapshot{}.WithGeneration(rapid.Uint64Range(1, 1<<62).Draw(t, label+" generation"))
	s = s.WithTiers(value.ListOf(value.Tier{}.WithName("live").WithRank(rapid.Int32Range(1, 6).Draw(t, label+" rank"))))
	for i := range rapid.IntRange(1, 4).Draw(t, label+" classes") {
		c := value.Class{}.WithName(fmt.Sprint("class-", i)).WithTier("live").WithFirstTokenMs(rapid.Int64Range(1, 3).Draw(t, label+" target"))
		s = s.WithClasses(s.Classes().Insert(0, c))
	}
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f][ก-ฮ]?`), 0, 8, rapid.ID).Draw(t, label+" workspaces")
	for _, n := range names {
		w := value.Workspace{}.WithName(n).WithDetailed(rapid.Bool().Draw(t, label+" detailed"))
		w = w.WithLimit(value.Limit{}.WithConcurrent(rapid.Int64Range(0, 2).Draw(t, label+" limit")))
		s = s.WithWorkspaces(s.Workspaces().Append(w))
	}
	m := value.Model{}.WithName("stove").WithVersion(rapid.StringN(0, 3, 8).Draw(t, label+" version"))
	s = s.WithModels(value.ListOf(m))
	return s.WithPolicy(value.Policy{}.WithEjectPermille(rapid.Int32Range(0, 2).Draw(t, label+" eject")))
}

var _ = ginkgo.Describe("changes", func() {
	// Guards against a missing or wrong change in the diff that operators read before they publish.
	for _, c := range golden.Cases("testdata/diff") {
		ginkgo.It("compares "+c.Name, func() {
			gomega.Expect(renderDiff(c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against routers with different contents under one version, which occurs when a delta does not
	// reproduce the canonical content of its result.
	ginkgo.It("reproduces the canonical content from a delta", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			a, b := viewOf(snapshots(t, "base")), viewOf(snapshots(t, "result"))
			encoded, err := EncodeDelta(NewDelta(a, b))
			if err != nil {
				t.Fatal(err)
			}
			d, err := DecodeDelta(encoded)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ApplyDelta(a, d)
			if err != nil {
				t.Fatal(err)
			}
			if got.Version() != b.Version() || string(Format(got.Snapshot)) != string(Format(b.Snapshot)) {
				t.Fatalf("delta gave\n%s\ninstead of\n%s", Format(got.Snapshot), Format(b.Snapshot))
			}
		})
	})

	// Guards against a delta that replaces the snapshot in force although it is damaged, invalid or for another base.
	ginkgo.It("refuses a delta that does not fit", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			a, b := viewOf(snapshots(t, "base")), viewOf(snapshots(t, "result"))
			d := NewDelta(a, b)
			w := value.Object{}.WithBody(value.Workspace{}.WithName("zz"))
			for _, invalid := range []value.Delta{
				d.WithDigest(d.Digest() + 1),
				d.WithGeneration(d.Generation() + 1),
				d.WithPut(d.Put().Append(w)),
				d.WithPut(d.Put().Append(w, w)),
				d.WithPut(d.Put().Append(value.Object{})),
				d.WithRemoved(d.Removed().Append(keyOf(w))),
				d.WithRemoved(value.ListOf(keyOf(value.Object{}.WithBody(a.Tiers().At(0))))),
			} {
				if _, err := ApplyDelta(a, invalid); !errors.Is(err, ErrInvalidDelta) {
					t.Fatalf("error is %v", err)
				}
			}
			if _, err := ApplyDelta(a, d.WithBaseDigest(d.BaseDigest()+1)); !errors.Is(err, ErrBaseMismatch) {
				t.Fatalf("error is %v", err)
			}
		})
	})

	// Guards against a split snapshot that is joined from missing or damaged parts, or to another content.
	ginkgo.It("splits and joins a snapshot", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			s := snapshots(t, "snapshot")
			values := Bundle("hoist", s, rapid.IntRange(1, 400).Draw(t, "limit"))
			last := values.At(values.Len() - 1)
			if !IsManifest([]byte(last.Content())) {
				if last.Content() != string(Format(s)) {
					t.Fatal("single value differs")
				}
				return
			}
			m, findings := ParseManifest("hoist", []byte(last.Content()))
			if len(findings) > 0 {
				t.Fatal(findings)
			}
			parts := make([][]byte, 0, values.Len())
			for v := range values.All() {
				parts = append(parts, []byte(v.Content()))
			}
			parts = parts[:len(parts)-1]
			content, err := JoinParts(m, parts)
			if err != nil || string(content) != string(Format(s)) {
				t.Fatalf("%v\n%s", err, content)
			}
			if _, err := JoinParts(m, parts[1:]); !errors.Is(err, ErrPartMismatch) {
				t.Fatalf("missing part gives %v", err)
			}
			parts[0] = []byte(strings.ToUpper(string(parts[0])) + "#")
			if _, err := JoinParts(m, parts); !errors.Is(err, ErrPartMismatch) {
				t.Fatalf("damaged part gives %v", err)
			}
		})
	})

	// Guards against routers that end up with different versions because offers reach them in different orders (I8).
	ginkgo.It("settles on the greatest version in any order of offers", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Version {
				return Version{rapid.Uint64Range(1, 3).Draw(t, "generation"), rapid.Uint64Range(1, 3).Draw(t, "digest")}
			}), 1, 10).Draw(t, "offers")
			inForce := Version{}
			greatest := Version{}
			for _, o := range offers {
				before := inForce
				switch v := Resolve(inForce, o).(type) {
				case Accept:
					inForce = o
				case Conflict:
					if v.Event.Number == 0 || before.Generation != o.Generation {
						t.Fatalf("conflict between %v and %v", before, o)
					}
					if v.Accepted {
						inForce = o
					}
				case Ignore:
				}
				if before.Newer(inForce) {
					t.Fatalf("%v replaced by the older %v", before, inForce)
				}
				if o.Newer(greatest) {
					greatest = o
				}
			}
			if inForce != greatest {
				t.Fatalf("version in force %v, greatest offer %v", inForce, greatest)
			}
		})
	})
})
