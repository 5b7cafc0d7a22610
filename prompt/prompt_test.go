package prompt_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/prompt"
)

func TestPrompt(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "prompt")
}

// This suite guards against bodies that are rejected although engines accept them, and against changed fingerprints and
// prefixes.
var _ = ginkgo.Describe("Parse", func() {
	for _, c := range golden.Cases("testdata") {
		ginkgo.It("reads "+c.Name, func() {
			p, err := prompt.Parse([]byte(c.Input))
			out := fmt.Sprintf("error: %v\n", err)
			if err == nil {
				r := p.Request()
				out = fmt.Sprintf("model %s stream %t max %d tokens %d fingerprint %x prefixes %x\n",
					r.Model(), r.Stream(), r.MaxTokens(), p.EstimatedTokens(), p.Fingerprint(), p.Prefixes())
				for m := range r.Messages().All() {
					out += fmt.Sprintf("%s: %q\n", m.Role(), m.Content())
				}
				b, err := prompt.EnableStreaming([]byte(c.Input))
				out += fmt.Sprintf("streaming %s %v\n", b, err)
			}
			gomega.Expect(out).To(golden.Match(c.Path))
		})
	}

	// This case guards against another encoding of the same content that gets another fingerprint and so evades its
	// quarantine.
	ginkgo.It("gives text and text parts the same fingerprint", func() {
		a, _ := prompt.Parse([]byte(`{"model":"m","messages":[{"role":"user","content":"one\ntwo"}]}`))
		b, _ := prompt.Parse([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"one"},{"type":"text","text":"two"}]}]}`))
		gomega.Expect(b.Fingerprint()).To(gomega.Equal(a.Fingerprint()))
	})
})
