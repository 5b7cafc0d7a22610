package intake_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/intake"
)

func TestIntake(t *testing.T) {
	golden.FixSeed()
	RegisterFailHandler(Fail)
	RunSpecs(t, "account of what callers send")
}

// play runs a script against an account of 100 bytes, of which one address gets 60, and returns what it decided. The commands
// are "open ID ADDRESS", "charge ID BYTES", "progress ID", "complete ID", "release ID" and "wait MS".
func play(script string) string {
	s, now := intake.NewState(100, 60), hoist.Millis(0)
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var command, address string
		var id uint64
		var n int64
		_, _ = fmt.Sscan(line, &command, &id)
		switch command {
		case "open":
			_, _ = fmt.Sscan(line, &command, &id, &address)
			s = s.WithHolding(id, address, now)
		case "charge":
			_, _ = fmt.Sscan(line, &command, &id, &n)
			var v intake.Verdict
			s, v = s.Charge(id, n, now)
			fmt.Fprintf(&out, "%s: %T %+v, %d held\n", line, v, v, s.Used())
		case "progress":
			s = s.WithProgress(id, now)
		case "complete":
			s = s.WithComplete(id)
		case "release":
			s = s.Without(id)
		case "wait":
			now += hoist.Millis(id)
		default:
			Fail("unknown command " + line)
		}
	}
	return out.String()
}

// Guards against a body that is dropped although another one has to give way first, against one that is dropped after it has
// arrived, and against an address that takes the memory of the others.
var _ = Describe("the account", func() {
	for _, c := range golden.Cases("testdata") {
		It(c.Name, func() { Expect(play(c.Input)).To(golden.Match(c.Path)) })
	}

	// Guards against an account that exceeds its limits, or whose sums differ from what is held, after any sequence of events.
	It("keeps its sums", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := intake.NewState(100, 60)
			held := map[uint64]int64{}
			for range rapid.IntRange(1, 60).Draw(t, "events") {
				id := rapid.Uint64Range(1, 8).Draw(t, "id")
				now := hoist.Millis(rapid.Int64Range(0, 5000).Draw(t, "now"))
				_, open := held[id]
				switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
				case !open:
					s = s.WithHolding(id, fmt.Sprint(id%3), now)
					held[id] = 0
				case kind == 0:
					s = s.Without(id)
					delete(held, id)
				case kind == 1:
					s = s.WithComplete(id)
				default:
					n := rapid.Int64Range(1, 50).Draw(t, "bytes")
					var v intake.Verdict
					s, v = s.Charge(id, n, now)
					if _, ok := v.(intake.Granted); ok {
						held[id] += n
					}
				}
				sum, byAddress := int64(0), map[uint64]int64{}
				for k, n := range held {
					sum += n
					byAddress[k%3] += n
				}
				if sum != s.Used() || sum > 100 || byAddress[0] > 60 || byAddress[1] > 60 || byAddress[2] > 60 || len(held) != s.Holdings() {
					t.Fatalf("%v held, the account has %d bytes in %d", held, s.Used(), s.Holdings())
				}
			}
		})
	})

	// Guards against charges that are lost or counted twice when many bodies arrive at once.
	It("is empty after concurrent use", func() {
		a := intake.NewAccount(hoist.NewBootClock(), 1000, 1000)
		var group sync.WaitGroup
		for i := range 16 {
			group.Go(func() {
				for range 200 {
					t := a.Open(fmt.Sprint(i%4), func() {})
					for range 5 {
						if t.Grow(50) != nil {
							break
						}
					}
					if i%2 == 0 {
						_ = t.Complete()
					}
					t.Release()
				}
			})
		}
		group.Wait()
		Expect(a.State().Used()).To(BeZero())
		Expect(a.State().Holdings()).To(BeZero())
	})
})
