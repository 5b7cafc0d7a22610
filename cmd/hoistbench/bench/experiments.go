package bench

import (
	"fmt"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/hoistbench/soak"
)

// schemes are the names of the policy and the two baselines.
var schemes = []string{"policy", "fifo", "shares"}

// scenarioSeed is the fixed seed of every scenario of this package.
const scenarioSeed = 7

// baseScenario returns a scenario without workloads; from, to and length are in seconds.
func baseScenario(site sim.Site, from, to, length int) Scenario {
	return Scenario{
		Site: site, Seed: scenarioSeed, From: seconds(from), To: seconds(to), Duration: seconds(length),
		ReportLag: sim.Second, StoppedServer: -1, StoppedRouter: -1,
	}
}

// workload returns a workload of ordinary requests; from and to are in seconds.
func workload(class Class, from, to int, load float64) Workload {
	return Workload{Class: class, From: seconds(from), To: seconds(to), Load: load, MeanTokens: meanOutputTokens}
}

// policyBound returns the bound for the policy and unbounded for the baselines.
func policyBound(scheme string, b bound) bound {
	if scheme == "policy" {
		return b
	}
	return unbounded{}
}

// peak raises the total demand from 0.7 of the capacity to a multiple of it for 20 s.
func peak(site sim.Site, scheme string, multiple int, guidanceLoad float64) []Figure {
	s := baseScenario(site, 20, 40, 60)
	otherLoad := (float64(multiple) - guidanceLoad) / 2
	s.Workloads = []Workload{
		workload(guidance, 0, 20, 0.3), workload(guidance, 20, 40, guidanceLoad), workload(guidance, 40, 60, 0.3),
		workload(triage, 0, 20, 0.2), workload(triage, 20, 40, otherLoad), workload(triage, 40, 60, 0.2),
		workload(digest, 0, 20, 0.2), workload(digest, 20, 40, otherLoad), workload(digest, 40, 60, 0.2),
	}
	w := runScenario(s, scheme)
	name := fmt.Sprintf("%s.peak%d.own%.0f.%s.", site.Name, multiple, guidanceLoad*100, scheme)
	top, middle, low := w.attainment(guidance), w.attainment(triage), w.attainment(digest)
	limit := 0.99
	if guidanceLoad > 1 {
		// Above the capacity at most 1/guidanceLoad of the requests can be served; early refusal must preserve 80% of that.
		limit = 0.8 / guidanceLoad
	}
	rankOrdered := 0.0
	if top >= middle && middle >= low {
		rankOrdered = 1
	}
	return []Figure{
		{name + "guidance_attainment", top, "ratio", policyBound(scheme, atLeast{limit})},
		{name + "triage_attainment", middle, "ratio", unbounded{}},
		{name + "digest_attainment", low, "ratio", unbounded{}},
		{name + "rank_order", rankOrdered, "bool", policyBound(scheme, atLeast{1})},
		{name + "goodput", w.goodput(), "ratio", policyBound(scheme, atLeast{0.95})},
		{name + "waste", w.waste(), "ratio", policyBound(scheme, atMost{0.02})},
		{name + "preempted", float64(w.tally.preempted), "attempts", unbounded{}},
	}
}

// blocking compares the first-token latency of ordinary upper-tier requests with and without 5% of long requests,
// at a load of 0.7 with peaks of twice that.
//
// Outputs are shorter than in the other experiments, so that the number of long requests in
// progress becomes steady before the window begins.
func blocking(site sim.Site, scheme string) []Figure {
	const (
		longPermille = 50
		shortTokens  = 60
		// loadGrowth is the factor by which the load rises if the output of 5% of the requests is 50 times as long.
		loadGrowth = 1 + 0.05*(longOutputFactor-1)
		// Peaks last the last 20 s of every 100 s.
		periodSeconds, peakSeconds, lengthSeconds = 100, 20, 600
	)
	runWith := func(topLongPermille, lowLongPermille int) *world {
		s := baseScenario(site, 200, 550, lengthSeconds)
		for start := 0; start < lengthSeconds; start += periodSeconds {
			for _, phase := range []struct {
				from, to int
				load     float64
			}{{start, start + periodSeconds - peakSeconds, 0.7}, {start + periodSeconds - peakSeconds, start + periodSeconds, 1.4}} {
				top, low := workload(guidance, phase.from, phase.to, phase.load/loadGrowth/2),
					workload(digest, phase.from, phase.to, phase.load/loadGrowth/2)
				top.LongPermille, low.LongPermille = topLongPermille, lowLongPermille
				top.MeanTokens, low.MeanTokens = shortTokens, shortTokens
				s.Workloads = append(s.Workloads, top, low)
			}
		}
		return runScenario(s, scheme)
	}
	name := fmt.Sprintf("%s.blocking.%s.", site.Name, scheme)
	without := p99(runWith(0, 0).firstTokenLatencies(guidance))
	lower := p99(runWith(0, 2*longPermille).firstTokenLatencies(guidance))
	same := p99(runWith(2*longPermille, 0).firstTokenLatencies(guidance))
	return []Figure{
		{name + "first_token_p99_without", without, "ms", unbounded{}},
		{name + "first_token_p99_lower", lower, "ms", unbounded{}},
		{name + "first_token_p99_same", same, "ms", unbounded{}},
		{name + "ratio_lower", ratio(lower, without), "ratio", policyBound(scheme, atMost{1.2})},
		{name + "ratio_same", ratio(same, without), "ratio", policyBound(scheme, atMost{2})},
	}
}

// straggling slows 2 of 12 servers down by a factor of 10 for 8 s at a time, while load reports arrive 5 s late.
func straggling(site sim.Site, scheme string) []Figure {
	runWith := func(slow bool) *world {
		s := baseScenario(site, 20, 80, 100)
		s.ReportLag = seconds(5)
		s.Workloads = []Workload{workload(guidance, 0, 100, 0.35), workload(triage, 0, 100, 0.2), workload(digest, 0, 100, 0.1)}
		for i, start := range []int{24, 40, 56, 70} {
			if slow {
				s.Slowdowns = append(s.Slowdowns, Slowdown{[]int{2 * i, 2*i + 1}, 10, seconds(start), seconds(start + 8)})
			}
		}
		return runScenario(s, scheme)
	}
	healthy, slow := runWith(false), runWith(true)
	name := fmt.Sprintf("%s.straggling.%s.", site.Name, scheme)
	first, firstSlow := p99(healthy.firstTokenLatencies(guidance)), p99(slow.firstTokenLatencies(guidance))
	interval, intervalSlow := p99(healthy.tally.tokenIntervals), p99(slow.tally.tokenIntervals)
	return []Figure{
		{name + "first_token_p99_healthy", first, "ms", unbounded{}},
		{name + "first_token_p99_slow", firstSlow, "ms", unbounded{}},
		{name + "first_token_ratio", ratio(firstSlow, first), "ratio", policyBound(scheme, atMost{1.5})},
		{name + "inter_token_p99_healthy", interval, "ms", unbounded{}},
		{name + "inter_token_p99_slow", intervalSlow, "ms", unbounded{}},
		{name + "inter_token_ratio", ratio(intervalSlow, interval), "ratio", policyBound(scheme, atMost{1.5})},
		{name + "waste", slow.waste(), "ratio", unbounded{}},
		{name + "hedged", float64(slow.tally.hedged), "asks", unbounded{}},
	}
}

// lasting keeps the demand of the higher tiers at twice the capacity from 10 s to 300 s, which is three minutes
// beyond the last request of the lowest tier.
func lasting(site sim.Site, scheme string) []Figure {
	s := baseScenario(site, 10, 120, 300)
	s.Workloads = []Workload{workload(guidance, 10, 300, 0.8), workload(triage, 10, 300, 1.2), workload(digest, 0, 120, 0.01)}
	w := runScenario(s, scheme)
	name := fmt.Sprintf("%s.lasting.%s.", site.Name, scheme)
	wait, unserved := w.longestWait(digest)
	return []Figure{
		{name + "digest_longest_wait", float64(wait), "ms", policyBound(scheme, atMost{float64(digest.MaxWait)})},
		{name + "digest_unserved", float64(unserved), "requests", policyBound(scheme, atMost{0})},
		{name + "guidance_attainment", w.attainment(guidance), "ratio", unbounded{}},
	}
}

// bursting raises the request rate of one class to ten times its usual value for 20 s.
func bursting(site sim.Site, scheme string) []Figure {
	// triageLimit is about twice the usual rate of the class, in requests per second.
	const triageLimit = 8
	runWith := func(load float64) *world {
		s := baseScenario(site, 20, 40, 60)
		s.Limits = map[string]int64{triage.Name: triageLimit}
		s.Workloads = []Workload{
			workload(guidance, 0, 60, 0.2), workload(notes, 0, 60, 0.15), workload(digest, 0, 60, 0.15),
			workload(triage, 0, 20, 0.1), workload(triage, 20, 40, load), workload(triage, 40, 60, 0.1),
		}
		return runScenario(s, scheme)
	}
	calm, burst := runWith(0.1), runWith(1)
	name := fmt.Sprintf("%s.bursting.%s.", site.Name, scheme)
	var figures []Figure
	for _, c := range []Class{guidance, notes, digest} {
		figures = append(figures, Figure{
			name + c.Name + "_relative_attainment",
			ratio(burst.attainment(c), calm.attainment(c)), "ratio", policyBound(scheme, atLeast{0.98}),
		})
	}
	return append(figures, Figure{name + "triage_attainment", burst.attainment(triage), "ratio", unbounded{}})
}

// leaving simulates a planned stop of one server at a load of 0.7.
func leaving(site sim.Site, scheme string) []Figure {
	s := baseScenario(site, 10, 40, 60)
	s.Workloads = []Workload{workload(guidance, 0, 50, 0.3), workload(triage, 0, 50, 0.2), workload(digest, 0, 50, 0.2)}
	s.StoppedServer, s.StopAt = 3, seconds(20)
	w := runScenario(s, scheme)
	name := fmt.Sprintf("%s.leaving.%s.", site.Name, scheme)
	interrupted := 0
	for _, r := range w.requests {
		if w.failed(r) && r.firstTokenAt != 0 {
			interrupted++
		}
	}
	return []Figure{
		{name + "started_after_3s", float64(w.tally.lateStarts), "attempts", policyBound(scheme, atMost{0})},
		{name + "interrupted", float64(interrupted), "requests", policyBound(scheme, atMost{0})},
	}
}

// stopping simulates planned stops, the crash of a router and crash-inducing content in the fleet of package soak.
func stopping(site sim.Site, scheme string) []Figure {
	if scheme != "policy" {
		return nil
	}
	name := site.Name + ".stopping.policy."
	onCrashed, onOthers := soak.FailedAtRouterCrash(site)
	return []Figure{
		{name + "lost_at_server_stop", float64(soak.FailedAtPlannedStop(site, false)), "requests", atMost{0}},
		{name + "lost_at_router_stop", float64(soak.FailedAtPlannedStop(site, true)), "requests", atMost{0}},
		{name + "lost_on_crashed_router", float64(onCrashed), "requests", unbounded{}},
		{name + "lost_on_other_routers", float64(onOthers), "requests", atMost{0}},
		{name + "crashes_by_content", float64(soak.CrashesByContent(site)), "crashes", atMost{2}},
	}
}
