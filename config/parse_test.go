package config

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/wire"
)

// renderForward returns the findings about settings of a forwarding router, or the settings with their defaults.
func renderForward(input string) string {
	s, findings := ParseForwardSettings("in.toml", []byte(input))
	if len(findings) > 0 {
		return findings.Error() + "\n"
	}
	var b bytes.Buffer
	formatTable(&b, "", wire.ForwardSettingsWire(s).ProtoReflect())
	return b.String()
}

// renderSnapshot returns the findings about a snapshot, or its canonical content with its digest.
func renderSnapshot(input string) string {
	s, findings := ParseSnapshot("in.toml", []byte(input))
	if len(findings) > 0 {
		return findings.Error() + "\n"
	}
	content := Format(s)
	return fmt.Sprintf("digest %016x\n\n%s", Digest(content), content)
}

// renderSettings returns the findings about settings, or the settings with their defaults.
func renderSettings(input string) string {
	s, findings := ParseSettings("in.toml", []byte(input))
	if len(findings) > 0 {
		return findings.Error() + "\n"
	}
	var b bytes.Buffer
	formatTable(&b, "", wire.SettingsWire(s).ProtoReflect())
	return b.String()
}

var _ = ginkgo.Describe("parsing", func() {
	// Guards against missing findings, wrong positions and an unstable canonical form.
	for _, c := range golden.Cases("testdata/snapshot") {
		ginkgo.It("reads the snapshot "+c.Name, func() {
			gomega.Expect(renderSnapshot(c.Input)).To(golden.Match(c.Path))
		})
	}
	// Guards against settings that are accepted although a key is invalid, or is missing and has no default.
	for _, c := range golden.Cases("testdata/settings") {
		ginkgo.It("reads the settings "+c.Name, func() {
			gomega.Expect(renderSettings(c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against settings of the forwarding router that are accepted but cannot work, and against unnoticed changes of defaults.
	for _, c := range golden.Cases("testdata/forward") {
		ginkgo.It("reads forwarding settings: "+c.Name, func() {
			gomega.Expect(renderForward(c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against a canonical form that loses or alters a key when it is parsed again.
	ginkgo.It("reads its own canonical form back", func() {
		in, err := os.ReadFile("testdata/snapshot/whole.in")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s, findings := ParseSnapshot("in.toml", in)
		gomega.Expect(findings).To(gomega.BeEmpty())
		again, findings := ParseSnapshot("out.toml", Format(s))
		gomega.Expect(findings).To(gomega.BeEmpty())
		gomega.Expect(Format(again)).To(gomega.Equal(Format(s)))
	})

	// Guards against a default that the reference page states and the parser does not apply.
	ginkgo.It("applies the defaults of the reference", func() {
		page, err := os.ReadFile("../docs/reference.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var b bytes.Buffer
		for _, m := range []proto.Message{&wire.Settings{}, &wire.ForwardSettings{}} {
			fillDefaults(m.ProtoReflect())
			formatTable(&b, "", m.ProtoReflect())
		}
		rows := regexp.MustCompile("(?m)^\\| `(\\w+)` .* default (\\d+)\\.").FindAllStringSubmatch(string(page), -1)
		gomega.Expect(rows).To(gomega.HaveLen(strings.Count(b.String(), " = ")))
		for _, r := range rows {
			gomega.Expect(b.String()).To(gomega.ContainSubstring(r[1] + " = " + r[2] + "\n"))
		}
	})

	// Guards against quadratic cost, which occurs when each finding copies the earlier ones or searches all names.
	ginkgo.It("takes time and memory linear in the number of findings", func() {
		cost := func(n int) uint64 {
			in := []byte("generation = 1\n" + strings.Repeat("[[credentials]]\nname = \"a\"\nwrong = 1\nclass = \"x\"\n", n))
			_, findings := ParseSnapshot("in.toml", in)
			gomega.Expect(len(findings)).To(gomega.BeNumerically(">=", 4*n))
			return allocatedBytes(func() { ParseSnapshot("in.toml", in) })
		}
		gomega.Expect(cost(8000)).To(gomega.BeNumerically("<", 12*cost(1000)))
	})
})
