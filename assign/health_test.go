package assign_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// plainRules are the rules of a plain service beside limited engines.
var plainRules = assign.Rules{Plain: true, Owner: true}

// runPlain sends 3,000 requests to three plain servers, six at once; 14% of them fail, and all at the failing server. It
// returns the number of requests at each server, and that of the requests that did not go to the server which had just
// become free.
func runPlain(rules assign.Rules, failing string) (at map[string]int, displaced int) {
	random := rand.New(rand.NewPCG(7, 8))
	var list []value.BackendServer
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, value.BackendServer{}.WithId(id).WithDatacentre("x").WithSlots(6))
	}
	s, _ := assign.New().Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
	s, _ = s.Decide(assign.RulesChanged{Rules: rules}, 0)
	at = map[string]int{}
	free := ""
	var running []assign.Grant
	for i := range 3000 {
		now := hoist.Millis(10 * i)
		if len(running) == 6 {
			g := running[0]
			running, free = running[1:], g.Server.Id()
			r := assign.ResultOK
			if random.Float64() < 0.14 || free == failing {
				r = assign.ResultError
			}
			s, _ = s.Decide(assign.Finished{ID: g.ID, Result: r}, now)
		}
		w := value.Work{}.WithId(uint64(i + 1)).WithOrigin("n").WithDatacentre("x").WithArrivedMs(int64(now)).WithEndMs(int64(now) + 3000)
		var effects []assign.Effect
		s, effects = s.Decide(assign.Submitted{Work: w}, now)
		for _, e := range effects {
			if g, ok := e.(assign.Grant); ok {
				at[g.Server.Id()]++
				if free != "" && g.Server.Id() != free {
					displaced++
				}
				running = append(running, g)
			}
		}
	}
	return at, displaced
}

// Pattern: 14% of the requests fail at every server of a plain service. Guards against a back-off of a healthy server, which
// sends its work to servers with the same errors.
var _ = It("backs no server off for errors at all of them", func() {
	_, displaced := runPlain(plainRules, "")
	Expect(displaced).To(Equal(0))
	_, displaced = runPlain(assign.Rules{}, "")
	Expect(displaced).To(BeNumerically(">", 0))
})

// Pattern: one plain server fails all requests, the others 14%. Guards against a back-off that comes too late or not at all.
var _ = It("backs a server off that fails alone", func() {
	at, _ := runPlain(plainRules, "a")
	Expect(at["a"]).To(BeNumerically("<", 200))
	Expect(at["a"]).To(BeNumerically(">", 0))
})
