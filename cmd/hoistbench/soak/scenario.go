package soak

import (
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/value"
)

const (
	// scenarioSeed fixes the demand of the scenarios.
	scenarioSeed = 7
	// scenarioAt is the time of a scenario's one fault.
	scenarioAt     = 20 * sim.Second
	scenarioLength = 90 * sim.Second
)

// scenario plays one fault at a site without any other.
func scenario(site sim.Site, f fault) *world {
	w := newWorldAt(site, scenarioSeed, scenarioLength)
	w.scripted = true
	w.loop.After(scenarioAt, heals{func(w *world) { w.inject(f) }})
	w.run()
	return w
}

// CrashesByContent returns the servers that crash when one caller sends crash-inducing content 20 times.
func CrashesByContent(site sim.Site) int {
	return scenario(site, poison{20}).poisonings[1].crashes
}

// FailedAtPlannedStop returns the requests without a whole answer in a run with one planned stop, of a router or of a server.
func FailedAtPlannedStop(site sim.Site, router bool) int {
	if router {
		return scenario(site, stopRouter{1}).lost()
	}
	return scenario(site, stopServer{1}).lost()
}

// FailedAtRouterCrash returns the requests on the connections of a router that crashes, and those lost at other routers.
func FailedAtRouterCrash(site sim.Site) (own, other int) {
	w := scenario(site, kill{1})
	return w.brokenRequests, w.lost()
}

// lost returns the requests that ended without a whole answer.
func (w *world) lost() int { return w.outcomes[value.OutcomeNotRun] + w.outcomes[value.OutcomeUnknown] }
