package soak

import (
	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	enginePool   = "engines"
	servicePool  = "services"
	model        = "model"
	engineSlots  = 6
	serviceSlots = 16
)

// class is a class of callers with its demand.
type class struct {
	name    string
	rank    int32
	batch   bool
	service bool
	maxWait hoist.Millis
	// requestsPerSecond is the demand while no burst multiplies it.
	requestsPerSecond float64
	// meanTokens is the mean number of output tokens of a request.
	meanTokens int
}

var classes = []class{
	{name: "guidance", rank: 1, maxWait: 5 * hoist.Second, requestsPerSecond: 14, meanTokens: 30},
	{name: "triage", rank: 2, maxWait: 10 * hoist.Second, requestsPerSecond: 9, meanTokens: 60},
	{name: "digest", rank: 3, batch: true, maxWait: 60 * hoist.Second, requestsPerSecond: 3, meanTokens: 250},
	{name: "booking", rank: 2, service: true, maxWait: 10 * hoist.Second, requestsPerSecond: 6, meanTokens: 1},
}

// snapshot returns the published configuration of a generation; another variant has another digest.
func snapshot(generation, variant uint64) *config.View {
	var tiers []value.Tier
	var classList []value.Class
	for _, c := range classes {
		tiers = append(tiers, value.Tier{}.WithName(c.name).WithRank(c.rank))
		classList = append(classList, value.Class{}.WithName(c.name).WithTier(c.name).WithFirstTokenMs(690*int64(c.rank)).
			WithInterTokenMs(60).WithFloorPermille(20).WithBatch(c.batch).WithMaxWaitMs(int64(c.maxWait)))
	}
	pools := value.ListOf(
		value.Pool{}.WithName(enginePool).WithKind(value.PoolKindEngine).WithModels(value.ListOf(model)).
			WithSlots(engineSlots).WithLongCap(3).WithReservedSlots(1).WithTokensPerSecond(50),
		value.Pool{}.WithName(servicePool).WithKind(value.PoolKindService).WithSlots(serviceSlots),
	)
	return config.NewView(value.Snapshot{}.WithGeneration(generation).WithTiers(value.ListOf(tiers...)).
		WithClasses(value.ListOf(classList...)).WithPools(pools).
		WithWorkspaces(value.ListOf(value.Workspace{}.WithName("north"))).
		WithModels(value.ListOf(value.Model{}.WithName(model).WithVersion("1"))).
		WithPolicy(value.Policy{}.WithLongAfterTokens(150)), generation*16+variant)
}
