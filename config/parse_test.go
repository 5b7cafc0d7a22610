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

// renderForward returns the findings of the settings of a forwarding router, or all its settings with their defaults.
func renderForward(input string) string {
	s, findings := ParseForwardSettings("in.toml", []byte(input))
	if len(findings) > 0 {
		return findings.Error() + "\n"
	}
	var b bytes.Buffer
	formatTable(&b, "", wire.ForwardSettingsWire(s).ProtoReflect())
	return b.String()
}

// render returns the findings, or the canonical content with its digest.
func render(input string) string {
	s, findings := ParseSnapshot("in.toml", []byte(input))
	if len(findings) > 0 {
		return findings.Error() + "\n"
	}
	content := Format(s)
	return fmt.Sprintf("digest %016x\n\n%s", Digest(content), content)
}

// renderSettings returns the findings, or the settings with their defaults.
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
	// Guards against lost findings, wrong places and an unstable canonical form.
	for _, c := range golden.Cases("testdata/snapshot") {
		ginkgo.It("reads the snapshot "+c.Name, func() {
			gomega.Expect(render(c.Input)).To(golden.Match(c.Path))
		})
	}
	// Guards against settings that a router starts with although a key is wrong or has no default.
	for _, c := range golden.Cases("testdata/settings") {
		ginkgo.It("reads the settings "+c.Name, func() {
			gomega.Expect(renderSettings(c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against settings of the forwarding router that are accepted and cannot work, and defaults that change unseen.
	for _, c := range golden.Cases("testdata/forward") {
		ginkgo.It("reads forwarding settings: "+c.Name, func() {
			gomega.Expect(renderForward(c.Input)).To(golden.Match(c.Path))
		})
	}

	// Guards against a canonical form that loses or alters a key on the way through the parser.
	ginkgo.It("reads its own canonical form back", func() {
		in, err := os.ReadFile("testdata/snapshot/whole.in")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s, findings := ParseSnapshot("in.toml", in)
		gomega.Expect(findings).To(gomega.BeEmpty())
		again, findings := ParseSnapshot("out.toml", Format(s))
		gomega.Expect(findings).To(gomega.BeEmpty())
		gomega.Expect(Format(again)).To(gomega.Equal(Format(s)))
	})

	// Guards against a default that the reference promises to operators and the parser does not apply.
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

	// Guards against a quadratic parser: every reference and every key below is a finding.
	ginkgo.It("takes time and memory linear in the number of findings", func() {
		cost := func(n int) uint64 {
			in := []byte("generation = 1\n" + strings.Repeat("[[credentials]]\nname = \"a\"\nwrong = 1\nclass = \"x\"\n", n))
			_, findings := ParseSnapshot("in.toml", in)
			gomega.Expect(len(findings)).To(gomega.BeNumerically(">=", 4*n))
			return allocated(func() { ParseSnapshot("in.toml", in) })
		}
		gomega.Expect(cost(8000)).To(gomega.BeNumerically("<", 12*cost(1000)))
	})
})
