// Package docs_test holds the pages against the code.
package docs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"google.golang.org/protobuf/reflect/protoreflect"

	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
	"chicoryhoist.example/hoist/wire"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docs")
}

// pages returns the content of every page by its path.
func pages() map[string]string {
	found := map[string]string{}
	for _, pattern := range []string{"../*.md", "*.md", "notes/*.md", "incidents/*.md"} {
		for _, path := range lo.Must(filepath.Glob(pattern)) {
			found[path] = string(lo.Must(os.ReadFile(path)))
		}
	}
	return found
}

// matches returns the first group of every match in the files.
func matches(pattern string, paths ...string) []string {
	var found []string
	for _, path := range paths {
		for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(lo.Must(os.ReadFile(path))), -1) {
			found = append(found, lo.Without(m[1:], "")...)
		}
	}
	return found
}

// keys returns the dotted keys of a message and the messages inside it.
func keys(m protoreflect.MessageDescriptor, prefix string) []string {
	var found []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		found = append(found, prefix+string(f.Name()))
		if f.Message() != nil {
			found = append(found, keys(f.Message(), prefix+string(f.Name())+".")...)
		}
	}
	return found
}

var _ = Describe("pages", func() {
	// Guards against links to pages that were renamed or never written.
	It("hold relative links that resolve", func() {
		link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
		for path, text := range pages() {
			for _, m := range link.FindAllStringSubmatch(text, -1) {
				Expect(filepath.Join(filepath.Dir(path), m[1])).To(BeAnExistingFile(), path)
			}
		}
	})

	// Guards against metrics that operators look for in vain, and against new ones that no page explains.
	It("name the metrics that exist", func() {
		exist := lo.Map(matches(`(?:histogram|counter|RegisterGauge|RegisterCounter|Value)\("(\w+)"|Name: "(\w+)"`,
			"../metric/metric.go", "../router/router.go", "../relay/metrics.go", "../daemon/daemon.go"),
			func(name string, _ int) string { return "hoist_" + name })
		Expect(exist).NotTo(BeEmpty())
		for _, name := range exist {
			Expect(pages()["metrics.md"]).To(ContainSubstring("| `" + name + "` |"))
		}
		for path, text := range pages() {
			for _, name := range regexp.MustCompile(`\bhoist_\w+`).FindAllString(text, -1) {
				Expect(exist).To(ContainElement(strings.TrimSuffix(name, "_bucket")), path)
			}
		}
	})

	// Guards against an error code that reaches callers without a word on their page, and against codes that are gone.
	It("explain every error code to callers", func() {
		codes := matches(`NewErrorResponse\([\w.]+, "(\w+)"`, lo.Must(filepath.Glob("../front/*.go"))...)
		for _, name := range matches(`case ((?:value\.RefusalReason\w+(?:, )?)+):`, "../front/error.go") {
			for _, reason := range strings.Split(name, ", ") {
				if reason != "value.RefusalReasonIssuer" {
					codes = append(codes, strings.ToLower(strings.TrimPrefix(reason, "value.RefusalReason")))
				}
			}
		}
		rows := matches("(?m)^\\| \\d{3} \\| `(\\w+)` \\|", "callers.md")
		Expect(rows).To(ConsistOf(lo.ToAnySlice(lo.Uniq(codes))...))
		Expect(codes).To(ContainElement(value.RefusalReasonQuarantined.String()))
	})

	// Guards against settings that a page names and no router reads.
	It("name the settings that exist", func() {
		exist := append(keys((&wire.Settings{}).ProtoReflect().Descriptor(), ""), keys((&wire.ForwardSettings{}).ProtoReflect().Descriptor(), "")...)
		key := regexp.MustCompile("`((?:listen|platform|input|timing|store|peers|resources|bounds|retries)\\.\\w+)`")
		for path, text := range pages() {
			for _, m := range key.FindAllStringSubmatch(text, -1) {
				Expect(exist).To(ContainElement(m[1]), path)
			}
		}
	})

	// Guards against a first configuration that newcomers copy and a router refuses.
	It("show a snapshot and settings in the README that parse", func() {
		blocks := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllStringSubmatch(pages()["../README.md"], -1)
		Expect(blocks).To(HaveLen(2))
		_, findings := config.ParseSnapshot("snapshot.toml", []byte(blocks[0][1]))
		Expect(findings).To(BeEmpty())
		_, findings = config.ParseSettings("router.toml", []byte(blocks[1][1]))
		Expect(findings).To(BeEmpty())
	})

	// Guards against defaults of the policy that operators rely on and the code has changed.
	It("state the defaults of the policy", func() {
		for key, want := range map[string]int64{
			"retry_budget_permille": int64(retry.DefaultBudgetPermille),
			"hedge_permille":        int64(retry.DefaultHedgePermille),
			"quarantine_ms":         int64(retry.DefaultQuarantine),
			"eject_permille":        int64(place.DefaultEjectPermille),
			"affinity_wait_ms":      int64(place.DefaultAffinityWait),
			"order_delay_ms":        int64(order.DefaultDelay),
		} {
			Expect(pages()["configuration.md"]).To(ContainSubstring(fmt.Sprintf("| `policy.%s` | %d |", key, want)))
		}
	})

	// Guards against pages that name an event which nothing logs under that number.
	It("name the events that exist", func() {
		exist := matches(`(?m)^\| (\d{3}) \|`, "events.md")
		for path, text := range pages() {
			for _, m := range regexp.MustCompile(`\bevent (\d{3})\b`).FindAllStringSubmatch(text, -1) {
				Expect(slices.Contains(exist, m[1])).To(BeTrue(), path+" names event "+m[1])
			}
		}
	})
})
