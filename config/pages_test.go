package config

import (
	"os"
	"regexp"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("operators' page", func() {
	// Guards against examples in docs/configuration.md that a router rejects.
	ginkgo.It("holds examples that parse", func() {
		page, err := os.ReadFile("../docs/configuration.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		blocks := regexp.MustCompile("(?s)```(?:toml|text)\n(.*?)```").FindAllSubmatch(page, -1)
		gomega.Expect(blocks).To(gomega.HaveLen(4))
		_, findings := ParseSnapshot("snapshot.toml", blocks[0][1])
		gomega.Expect(findings).To(gomega.BeEmpty())
		_, findings = ParseSettings("settings.toml", blocks[1][1])
		gomega.Expect(findings).To(gomega.BeEmpty())
		_, findings = ParseSnapshot("fault.toml", blocks[2][1])
		gomega.Expect(findings.Error() + "\n").To(gomega.Equal(string(blocks[3][1])))
	})
})
