package assign_test

import (
	"fmt"
	"testing"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

// BenchmarkDecide measures a request from its submission to its end at the owner of a shard of 30 engines with 20 running
// requests each, with and without the rules for limited engines.
func BenchmarkDecide(b *testing.B) {
	for name, rules := range map[string]assign.Rules{"without": {}, "with": owned} {
		b.Run(name, func(b *testing.B) {
			var list []value.BackendServer
			for i := range 30 {
				list = append(list, value.BackendServer{}.WithId(fmt.Sprint("s", i)).WithDatacentre("x").WithSlots(64))
			}
			s, _ := assign.New().Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
			s, _ = s.Decide(assign.RulesChanged{Rules: rules}, 0)
			id := uint64(0)
			step := func(now hoist.Millis) {
				id++
				parts := value.ListOf(value.PromptPart{}.WithId(id%12).WithTokens(6300), value.PromptPart{}.WithId(1000+id).WithTokens(2890))
				w := value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithTargetMs(1200).WithParts(parts).
					WithWorkspace(fmt.Sprint("w", id%24)).WithArrivedMs(int64(now)).WithEndMs(int64(now) + 5000)
				s, _ = s.Decide(assign.Submitted{Work: w}, now)
			}
			for range 600 {
				step(1000)
			}
			for i := 0; b.Loop(); i++ {
				now := hoist.Millis(1001 + i/2)
				step(now)
				s, _ = s.Decide(assign.Responded{ID: id - 20}, now)
				s, _ = s.Decide(assign.Finished{ID: id - 600, Result: assign.ResultOK}, now)
			}
		})
	}
}

// BenchmarkRefuse measures the early refusal of a request at the owner of a shard of 30 engines with 20 running requests each,
// whose slots are all taken, while many callers wait for their return time.
func BenchmarkRefuse(b *testing.B) {
	var list []value.BackendServer
	for i := range 30 {
		list = append(list, value.BackendServer{}.WithId(fmt.Sprint("s", i)).WithDatacentre("x").WithSlots(20))
	}
	s, _ := assign.New().Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
	s, _ = s.Decide(assign.RulesChanged{Rules: owned}, 0)
	id, refused := uint64(0), 0
	step := func(now hoist.Millis) {
		id++
		parts := value.ListOf(value.PromptPart{}.WithId(id%12).WithTokens(6300), value.PromptPart{}.WithId(1000+id).WithTokens(2890))
		w := value.Work{}.WithId(id).WithOrigin("n").WithDatacentre("x").WithRank(2).WithTargetMs(1200).WithParts(parts).
			WithFingerprint(id).WithWorkspace(fmt.Sprint("w", id%24)).WithArrivedMs(int64(now)).WithEndMs(int64(now) + 1000)
		var effects []assign.Effect
		s, effects = s.Decide(assign.Submitted{Work: w}, now)
		if _, ok := effects[0].(assign.Refuse); ok {
			refused++
		}
	}
	for range 600 {
		step(1000)
	}
	refused = 0
	for i := 0; b.Loop(); i++ {
		step(hoist.Millis(1001 + i/8))
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}
