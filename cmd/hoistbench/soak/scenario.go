package soak

import (
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/value"
)

const (
	// scenarioSeed is the seed of the demand of every scenario.
	scenarioSeed = 7
	// scenarioFaultTime is the time at which the only fault of a scenario begins.
	scenarioFaultTime = 20 * sim.Second
	scenarioDuration  = 90 * sim.Second
)

// runScenario runs a site with one fault.
func runScenario(site sim.Site, injected fault) *world {
	w := newWorldAt(site, scenarioSeed, scenarioDuration)
	w.scripted = true
	w.events.After(scenarioFaultTime, delayedAction{func(w *world) { w.inject(injected) }})
	w.run()
	return w
}

// CrashesByContent returns the number of server crashes when one caller sends crash-inducing content 20 times.
func CrashesByContent(site sim.Site) int {
	return runScenario(site, poison{20}).crashContents[1].crashes
}

// FailedAtPlannedStop returns the number of requests without a complete response in a run with one planned stop, of a
// router or of a server.
func FailedAtPlannedStop(site sim.Site, router bool) int {
	if router {
		return runScenario(site, stopRouter{1}).failedRequests()
	}
	return runScenario(site, stopServer{1}).failedRequests()
}

// FailedAtRouterCrash returns the number of requests that the crash of a router interrupts, and the number of those that
// fail at other routers.
func FailedAtRouterCrash(site sim.Site) (own, other int) {
	w := runScenario(site, kill{1})
	return w.interruptedRequests, w.failedRequests()
}

// failedRequests returns the number of requests that ended without a complete response.
func (w *world) failedRequests() int {
	return w.outcomes[value.OutcomeNotRun] + w.outcomes[value.OutcomeUnknown]
}
