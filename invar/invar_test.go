package invar_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"chicoryhoist.example/hoist/invar"
)

func TestInvar(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "invar")
}

var _ = ginkgo.Describe("Report", func() {
	// Guards against violations that are found but neither counted nor passed to a hook.
	ginkgo.It("counts each violation and calls every hook until it is detached", func() {
		var first, second []string
		stop := invar.Attach(func(c invar.Invariant, d string) { first = append(first, c.String()+" "+d) })
		defer invar.Attach(func(c invar.Invariant, d string) { second = append(second, c.String()+" "+d) })()
		before := invar.Count(invar.AnswerIdentity)
		invar.Report(invar.AnswerIdentity, "a")
		stop()
		invar.Report(invar.AnswerIdentity, "b")
		gomega.Expect(invar.Count(invar.AnswerIdentity) - before).To(gomega.Equal(uint64(2)))
		gomega.Expect(first).To(gomega.Equal([]string{"I3 a"}))
		gomega.Expect(second).To(gomega.Equal([]string{"I3 a", "I3 b"}))
	})

	// Guards against lost counts and hooks when several goroutines report and attach hooks at the same time.
	ginkgo.It("is safe for concurrent use", func() {
		before := invar.Count(invar.GracefulShutdown)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				stop := invar.Attach(func(invar.Invariant, string) {})
				for range 100 {
					invar.Report(invar.GracefulShutdown, "x")
				}
				stop()
			})
		}
		group.Wait()
		gomega.Expect(invar.Count(invar.GracefulShutdown) - before).To(gomega.Equal(uint64(800)))
	})
})

func ExampleAll() {
	for _, c := range invar.All() {
		fmt.Println(c, c.Title())
	}
	// Output:
	// I1 tier order
	// I2 waiting bound
	// I3 answer identity
	// I4 honest outcome
	// I5 at most once
	// I6 departure
	// I7 graceful shutdown
	// I8 configuration order
}
