package event_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist/event"
	"chicoryhoist.example/hoist/golden"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

var _ = Describe("Contain", func() {
	// Guards against one unexpected input that ends the process, and against a panic that leaves no trace.
	It("logs a panic with its stack and returns", func() {
		var out bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&out)
		l := event.NewLog(logger)
		Expect(l.Contain("datagram", func() { panic("unexpected") })).To(BeFalse())
		Expect(out.String()).To(And(ContainSubstring("event=704"), ContainSubstring("unexpected"), ContainSubstring("event_test.go")))
		Expect(l.Contain("datagram", func() {})).To(BeTrue())
	})
})

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
