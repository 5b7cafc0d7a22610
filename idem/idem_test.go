package idem_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/invar"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

func TestIdem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idem")
}

// script runs a golden script; each line holds a time, an event, a token and its argument.
func script(input string) string {
	var out strings.Builder
	s := idem.New(7, 0)
	for line := range strings.Lines(input) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var now hoist.Millis
		var event, text, argument string
		_, _ = fmt.Sscan(line, &now, &event, &text, &argument)
		t, err := idem.ParseToken(text)
		Expect(err).NotTo(HaveOccurred())
		var v idem.Verdict
		switch event {
		case "arrive":
			s, v = s.Decide(idem.Arrived{Token: t, Fingerprint: uint64(argument[0])}, now)
		case "complete":
			s, _ = s.Decide(idem.Completed{Token: t, Answer: response(argument)}, now)
		case "large":
			s, _ = s.Decide(idem.Completed{Token: t, Answer: response(strings.Repeat("x", 1<<20))}, now)
		}
		fmt.Fprintf(&out, "%s -> %s\n", strings.TrimSpace(line), verdict(v))
	}
	return out.String()
}

// Guards against a violation of I5 that is not reported; a second completion is the effect of a second run.
var _ = It("reports a second completion of a call", func() {
	var found []string
	defer invar.Attach(func(c invar.Invariant, d string) { found = append(found, c.String()+" "+d) })()
	s, t := idem.New(7, 0), idem.NewToken(7, 1, "x")
	s, _ = s.Decide(idem.Arrived{Token: t}, 0)
	s, _ = s.Decide(idem.Completed{Token: t, Answer: response("a")}, 0)
	Expect(found).To(BeEmpty())
	s.Decide(idem.Completed{Token: t, Answer: response("b")}, 0)
	Expect(found).To(Equal([]string{"I5 the call of token 7.1.x has completed twice"}))
})

func response(body string) value.ForwardAnswer {
	return value.ForwardAnswer{}.WithStatus(200).WithBody(body).WithOutcome(value.OutcomeRan)
}

func verdict(v idem.Verdict) string {
	switch v := v.(type) {
	case idem.Run:
		return "run"
	case idem.Join:
		return "join"
	case idem.Replay:
		return "replay " + v.Answer.Body()
	case idem.Forward:
		return fmt.Sprintf("forward to %x", v.Issuer)
	case idem.Refuse:
		return fmt.Sprintf("refuse %v, outcome %v", v.Reason, v.Outcome)
	}
	return "-"
}

var _ = Describe("State", func() {
	for _, c := range golden.Cases("testdata") {
		It("decides "+c.Name, func() { Expect(script(c.Input)).To(golden.Match(c.Path)) })
	}

	// Guards against a second run of a token's call for any order and time of arrivals.
	It("runs each token at most once", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := idem.New(7, 0)
			now := hoist.Millis(0)
			runs := map[idem.Token]int{}
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now += hoist.Millis(rapid.IntRange(0, 90_000).Draw(t, "delay"))
				token := idem.NewToken(7, uint64(rapid.IntRange(0, 30).Draw(t, "window")), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
				var v idem.Verdict
				if rapid.Bool().Draw(t, "arrives") {
					s, v = s.Decide(idem.Arrived{Token: token, Fingerprint: 1}, now)
				} else {
					s, _ = s.Decide(idem.Completed{Token: token, Answer: response("x")}, now)
				}
				if _, ok := v.(idem.Run); ok {
					runs[token]++
				}
			}
			for token, n := range runs {
				if n > 1 {
					t.Fatalf("%v ran %d times", token, n)
				}
			}
		})
	})
})

// FuzzParseToken guards against a parser that accepts a token that String does not reproduce.
func FuzzParseToken(f *testing.F) {
	f.Add("1a.2.x")
	f.Add("..")
	f.Fuzz(func(t *testing.T, s string) {
		token, err := idem.ParseToken(s)
		if err != nil {
			return
		}
		again, err := idem.ParseToken(token.String())
		if err != nil || again != token {
			t.Fatalf("%q does not survive a round trip", s)
		}
	})
}

func ExampleParseToken() {
	t, _ := idem.ParseToken("1f.3.order-17")
	fmt.Println(t.Issuer(), t.Window(), t)
	// Output: 31 3 1f.3.order-17
}
