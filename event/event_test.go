package event_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/golden"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("Catalog", func() {
	// Guards against a page that omits an event or describes an outdated one.
	It("matches docs/events.md", func() {
		Expect(event.Catalog()).To(golden.Match("../docs/events.md"))
	})
	// Guards against two events with the same number.
	It("has unique numbers in ascending order", func() {
		numbers := lo.Map(event.All(), func(c event.Code, _ int) int { return c.Number })
		Expect(lo.Uniq(numbers)).To(Equal(numbers))
		Expect(lo.IsSorted(numbers)).To(BeTrue())
	})
})
