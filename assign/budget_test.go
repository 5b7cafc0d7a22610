package assign_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// retryStorm submits requests to the state and then a retry of each of them, and returns the number of granted retries.
func retryStorm(s *assign.State, requests int, nextID *uint64, now hoist.Millis) int {
	granted := 0
	submit := func(retry bool) {
		*nextID++
		w := value.Work{}.WithId(*nextID).WithOrigin("a").WithArrivedMs(int64(now)).WithEndMs(int64(now) + 1000).WithRetry(retry)
		if retry {
			w = w.WithAvoid(value.ListOf("other"))
		}
		next, effects := s.Decide(assign.Submitted{Work: w}, now)
		for _, e := range effects {
			if _, ok := e.(assign.Grant); ok && retry {
				granted++
			}
		}
		*s, _ = next.Decide(assign.Finished{ID: *nextID, Result: assign.ResultOK}, now)
	}
	for range requests {
		submit(false)
	}
	for range requests {
		submit(true)
	}
	return granted
}

// Pattern: every request of a service fails while the instances do not agree on the shard owner. Guards against a retry
// budget that each part of a split fleet spends in full.
var _ = DescribeTable("retries in one window stay within the budget of the fleet", func(slack float64, shards, instances, owners int) {
	const permille, budgetPermille, requests = 160, 200, 40
	states := make([]assign.State, 0, owners*shards+instances*shards)
	for range owners * shards {
		s, _ := assign.New().Decide(assign.RetryLimitsChanged{Limits: assign.OwnerRetryLimits(slack, permille, shards)}, 0)
		states = append(states, s)
	}
	for range instances * shards {
		s, _ := assign.New().Decide(assign.RetryLimitsChanged{Limits: assign.LocalRetryLimits(slack, permille, shards, instances)}, 0)
		states = append(states, s)
	}
	servers := value.ListOf(value.BackendServer{}.WithId("s1"), value.BackendServer{}.WithId("other"))
	var id uint64
	granted := 0
	for i := range states {
		states[i], _ = states[i].Decide(assign.ServersUpdated{Servers: servers}, 0)
		// Earlier windows fill the budget completely.
		for range 10 {
			retryless := value.Work{}.WithOrigin("a").WithEndMs(1000)
			for range requests {
				id++
				next, _ := states[i].Decide(assign.Submitted{Work: retryless.WithId(id)}, 0)
				states[i], _ = next.Decide(assign.Finished{ID: id, Result: assign.ResultOK}, 0)
			}
		}
		granted += retryStorm(&states[i], requests, &id, 20000)
	}
	allowed := float64(len(states)*requests*budgetPermille)/1000 + slack
	Expect(float64(granted)).To(BeNumerically("<=", allowed))
	Expect(granted).To(BeNumerically(">", 0))
},
	Entry("one owner, 7 instances", 54.0, 1, 7, 1),
	Entry("two owners, 7 instances", 54.0, 1, 7, 2),
	Entry("two owners of three shards, 195 instances", 430.0, 3, 195, 2),
	Entry("no owner, 195 instances with a small slack", 35.8, 1, 195, 1),
)
