package bench

import (
	"fmt"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/hoistbench/soak"
)

// schemes are the policy and the two baselines.
var schemes = []string{"policy", "fifo", "shares"}

// seed is the fixed seed of every experiment.
const seed = 7

// base returns a scenario without demand.
func base(site sim.Site, from, to, length int) Scenario {
	return Scenario{
		Site: site, Seed: seed, From: seconds(from), To: seconds(to), Length: seconds(length),
		ReportLag: sim.Second, StoppedServer: -1, StoppedRouter: -1,
	}
}

// flow returns a demand of ordinary requests.
func flow(c Class, from, to int, load float64) Workload {
	return Workload{Class: c, From: seconds(from), To: seconds(to), Load: load, MeanTokens: meanTokens}
}

// bounded returns the bound for the policy and none for the baselines.
func bounded(scheme string, b bound) bound {
	if scheme == "policy" {
		return b
	}
	return none{}
}

// peak is a demand swing: the total rises from 0.7 to a multiple of the capacity for 20 s.
func peak(site sim.Site, scheme string, times int, own float64) []Figure {
	s := base(site, 20, 40, 60)
	rest := (float64(times) - own) / 2
	s.Workloads = []Workload{
		flow(guidance, 0, 20, 0.3), flow(guidance, 20, 40, own), flow(guidance, 40, 60, 0.3),
		flow(triage, 0, 20, 0.2), flow(triage, 20, 40, rest), flow(triage, 40, 60, 0.2),
		flow(digest, 0, 20, 0.2), flow(digest, 20, 40, rest), flow(digest, 40, 60, 0.2),
	}
	w := run(s, scheme)
	name := fmt.Sprintf("%s.peak%d.own%.0f.%s.", site.Name, times, own*100, scheme)
	top, middle, low := w.attainment(guidance), w.attainment(triage), w.attainment(digest)
	limit := 0.99
	if own > 1 {
		// Refusing early must keep four fifths of what the capacity allows.
		limit = 0.8 / own
	}
	order := 0.0
	if top >= middle && middle >= low {
		order = 1
	}
	return []Figure{
		{name + "guidance_attainment", top, "ratio", bounded(scheme, atLeast{limit})},
		{name + "triage_attainment", middle, "ratio", none{}},
		{name + "digest_attainment", low, "ratio", none{}},
		{name + "rank_order", order, "bool", bounded(scheme, atLeast{1})},
		{name + "goodput", w.goodput(), "ratio", bounded(scheme, atLeast{0.95})},
		{name + "waste", w.waste(), "ratio", bounded(scheme, atMost{0.02})},
		{name + "preempted", float64(w.tally.preempted), "attempts", none{}},
	}
}

// blocking compares short upper-tier work with and without 5% of long requests, at a load of 0.7 with peaks of twice that.
//
// Outputs are shorter here than elsewhere, so that the number of long requests in
// progress becomes steady before the window begins.
func blocking(site sim.Site, scheme string) []Figure {
	const (
		longPermille = 50
		shortTokens  = 60
		// grown is the factor by which 5% of requests that run 50 times longer raise the load.
		grown = 1 + 0.05*(longFactor-1)
		// Peaks last 20 s of every 100 s.
		period, high, length = 100, 20, 600
	)
	scene := func(inTop, inLow int) *world {
		s := base(site, 200, 550, length)
		for at := 0; at < length; at += period {
			for _, f := range []struct {
				from, to int
				load     float64
			}{{at, at + period - high, 0.7}, {at + period - high, at + period, 1.4}} {
				top, low := flow(guidance, f.from, f.to, f.load/grown/2), flow(digest, f.from, f.to, f.load/grown/2)
				top.LongPermille, low.LongPermille = inTop, inLow
				top.MeanTokens, low.MeanTokens = shortTokens, shortTokens
				s.Workloads = append(s.Workloads, top, low)
			}
		}
		return run(s, scheme)
	}
	name := fmt.Sprintf("%s.blocking.%s.", site.Name, scheme)
	without := p99(scene(0, 0).firstTokens(guidance))
	lower := p99(scene(0, 2*longPermille).firstTokens(guidance))
	same := p99(scene(2*longPermille, 0).firstTokens(guidance))
	return []Figure{
		{name + "first_token_p99_without", without, "ms", none{}},
		{name + "first_token_p99_lower", lower, "ms", none{}},
		{name + "first_token_p99_same", same, "ms", none{}},
		{name + "ratio_lower", ratio(lower, without), "ratio", bounded(scheme, atMost{1.2})},
		{name + "ratio_same", ratio(same, without), "ratio", bounded(scheme, atMost{2})},
	}
}

// straggling slows 2 of 12 servers 10 times for 8 s at a time, with load reports that arrive 5 s late.
func straggling(site sim.Site, scheme string) []Figure {
	scene := func(slow bool) *world {
		s := base(site, 20, 80, 100)
		s.ReportLag = seconds(5)
		s.Workloads = []Workload{flow(guidance, 0, 100, 0.35), flow(triage, 0, 100, 0.2), flow(digest, 0, 100, 0.1)}
		for i, at := range []int{24, 40, 56, 70} {
			if slow {
				s.Slows = append(s.Slows, Slow{[]int{2 * i, 2*i + 1}, 10, seconds(at), seconds(at + 8)})
			}
		}
		return run(s, scheme)
	}
	healthy, slow := scene(false), scene(true)
	name := fmt.Sprintf("%s.straggling.%s.", site.Name, scheme)
	first, firstSlow := p99(healthy.firstTokens(guidance)), p99(slow.firstTokens(guidance))
	gap, gapSlow := p99(healthy.tally.gaps), p99(slow.tally.gaps)
	return []Figure{
		{name + "first_token_p99_healthy", first, "ms", none{}},
		{name + "first_token_p99_slow", firstSlow, "ms", none{}},
		{name + "first_token_ratio", ratio(firstSlow, first), "ratio", bounded(scheme, atMost{1.5})},
		{name + "inter_token_p99_healthy", gap, "ms", none{}},
		{name + "inter_token_p99_slow", gapSlow, "ms", none{}},
		{name + "inter_token_ratio", ratio(gapSlow, gap), "ratio", bounded(scheme, atMost{1.5})},
		{name + "waste", slow.waste(), "ratio", none{}},
		{name + "hedged", float64(slow.tally.hedged), "asks", none{}},
	}
}

// lasting holds twice the capacity of higher tiers for three minutes.
func lasting(site sim.Site, scheme string) []Figure {
	s := base(site, 10, 120, 300)
	s.Workloads = []Workload{flow(guidance, 10, 300, 0.8), flow(triage, 10, 300, 1.2), flow(digest, 0, 120, 0.01)}
	w := run(s, scheme)
	name := fmt.Sprintf("%s.lasting.%s.", site.Name, scheme)
	wait, unserved := w.longestWait(digest)
	return []Figure{
		{name + "digest_longest_wait", float64(wait), "ms", bounded(scheme, atMost{float64(digest.MaxWait)})},
		{name + "digest_unserved", float64(unserved), "requests", bounded(scheme, atMost{0})},
		{name + "guidance_attainment", w.attainment(guidance), "ratio", none{}},
	}
}

// bursting lets one class send ten times its usual rate for 20 s.
func bursting(site sim.Site, scheme string) []Figure {
	// triageLimit is twice the usual rate of the class, in requests a second.
	const triageLimit = 8
	scene := func(load float64) *world {
		s := base(site, 20, 40, 60)
		s.Limits = map[string]int64{triage.Name: triageLimit}
		s.Workloads = []Workload{
			flow(guidance, 0, 60, 0.2), flow(notes, 0, 60, 0.15), flow(digest, 0, 60, 0.15),
			flow(triage, 0, 20, 0.1), flow(triage, 20, 40, load), flow(triage, 40, 60, 0.1),
		}
		return run(s, scheme)
	}
	calm, burst := scene(0.1), scene(1)
	name := fmt.Sprintf("%s.bursting.%s.", site.Name, scheme)
	var figures []Figure
	for _, c := range []Class{guidance, notes, digest} {
		figures = append(figures, Figure{
			name + c.Name + "_relative_attainment",
			ratio(burst.attainment(c), calm.attainment(c)), "ratio", bounded(scheme, atLeast{0.98}),
		})
	}
	return append(figures, Figure{name + "triage_attainment", burst.attainment(triage), "ratio", none{}})
}

// leaving stops a server as planned at a load of 0.7.
func leaving(site sim.Site, scheme string) []Figure {
	s := base(site, 10, 40, 60)
	s.Workloads = []Workload{flow(guidance, 0, 50, 0.3), flow(triage, 0, 50, 0.2), flow(digest, 0, 50, 0.2)}
	s.StoppedServer, s.StopAt = 3, seconds(20)
	w := run(s, scheme)
	name := fmt.Sprintf("%s.leaving.%s.", site.Name, scheme)
	interrupted := 0
	for _, r := range w.requests {
		if w.failed(r) && r.first != 0 {
			interrupted++
		}
	}
	return []Figure{
		{name + "started_after_3s", float64(w.tally.late), "attempts", bounded(scheme, atMost{0})},
		{name + "interrupted", float64(interrupted), "requests", bounded(scheme, atMost{0})},
	}
}

// stopping plays planned stops, the crash of a router and crash-inducing content on the world of the soak run.
func stopping(site sim.Site, scheme string) []Figure {
	if scheme != "policy" {
		return nil
	}
	name := site.Name + ".stopping.policy."
	own, other := soak.FailedAtRouterCrash(site)
	return []Figure{
		{name + "lost_at_server_stop", float64(soak.FailedAtPlannedStop(site, false)), "requests", atMost{0}},
		{name + "lost_at_router_stop", float64(soak.FailedAtPlannedStop(site, true)), "requests", atMost{0}},
		{name + "lost_on_crashed_router", float64(own), "requests", none{}},
		{name + "lost_on_other_routers", float64(other), "requests", atMost{0}},
		{name + "crashes_by_content", float64(soak.CrashesByContent(site)), "crashes", atMost{2}},
	}
}
