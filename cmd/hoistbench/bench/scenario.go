// Package bench simulates fixed experiments on the decision code and compares their figures with the stated bounds.
package bench

import (
	"math/rand/v2"
	"slices"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/value"
)

const (
	// slotsPerServer is the number of requests that a model server runs at once.
	slotsPerServer = 16
	// meanOutputTokens is the mean output length of ordinary requests.
	meanOutputTokens = 150
	// minOutputDivisor divides the mean output length of a workload to give its shortest output.
	minOutputDivisor = 5
	// longOutputFactor is the factor by which the output of a long request exceeds that of an ordinary one.
	longOutputFactor = 50
	// poolName names the only pool.
	poolName = "engines"
	// modelName names the only model.
	modelName = "model"
)

// serverSpeed is the service time of a model server: 30 ms for a token, 8 prompt tokens per millisecond.
var serverSpeed = llmsrv.Speed{TokenMs: 30, PromptTokensPerMs: 8}

// Class is a class of requests in an experiment.
type Class struct {
	// Name is the name of the class and of its tier.
	Name string
	// Rank is the rank of the tier.
	Rank int32
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget hoist.Millis
	// PromptTokens is the prompt length of every request.
	PromptTokens int
	// Batch marks a class whose requests wait in the queue instead of being refused early.
	Batch bool
	// MaxWait is the longest wait in the queue.
	MaxWait hoist.Millis
}

// The classes of the experiments are named as the first user's are; the load of the second user has the same shape.
var (
	guidance = Class{Name: "guidance", Rank: 1, FirstTokenTarget: 690, PromptTokens: 200, MaxWait: 5 * hoist.Second}
	triage   = Class{Name: "triage", Rank: 2, FirstTokenTarget: 2 * hoist.Second, PromptTokens: 400, MaxWait: 10 * hoist.Second}
	notes    = Class{Name: "notes", Rank: 2, FirstTokenTarget: 2 * hoist.Second, PromptTokens: 400, MaxWait: 10 * hoist.Second}
	digest   = Class{Name: "digest", Rank: 3, FirstTokenTarget: 10 * hoist.Second, PromptTokens: 1200, Batch: true, MaxWait: 120 * hoist.Second}
)

// classes lists every class of the published configuration.
var classes = []Class{guidance, triage, notes, digest}

// Workload is the demand of one class during an interval.
type Workload struct {
	Class Class
	// From and To bound the interval in which requests are sent.
	From, To sim.Micros
	// Load is the demand relative to the capacity of all servers for ordinary requests of the class.
	Load float64
	// LongPermille is the proportion of long requests, in thousandths.
	LongPermille int
	// MeanTokens is the mean output length of ordinary requests.
	MeanTokens int
}

// Slowdown is an interval in which some servers run slower by a factor.
type Slowdown struct {
	Servers  []int
	Factor   int
	From, To sim.Micros
}

// Scenario is one experiment.
type Scenario struct {
	Site      sim.Site
	Seed      uint64
	Workloads []Workload
	Slowdowns []Slowdown
	Duration  sim.Micros
	// From and To bound the window over which the figures are taken.
	From, To sim.Micros
	// ReportLag is the age of a load report when it reaches the shard owner.
	ReportLag sim.Micros
	// Limits are the fleet-wide limits of the classes by name, in requests per second.
	Limits map[string]int64
	// StoppedServer is the number of the server that has a planned stop, or -1.
	StoppedServer int
	// StoppedRouter is the number of the router that has a planned stop, or -1; no experiment reads it.
	StoppedRouter int
	// StopAt is the time of the planned stop.
	StopAt sim.Micros
}

// arrival is a request as drawn from a workload; sentAt is the time at which the client sends it.
type arrival struct {
	sentAt       sim.Micros
	class        Class
	outputTokens int
	long         bool
	router       int
}

// meanServiceMs returns the mean time that an ordinary request of the workload holds a slot.
func (w Workload) meanServiceMs() float64 {
	return float64(w.Class.PromptTokens)/float64(serverSpeed.PromptTokensPerMs) + float64(w.MeanTokens)*float64(serverSpeed.TokenMs)
}

// drawArrivals draws the requests of every workload in the order of sending. Each workload has its own
// random source, so that a change to one workload leaves the requests of the others as they are.
func (s Scenario) drawArrivals() []arrival {
	var arrivals []arrival
	for i, workload := range s.Workloads {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		requestsPerMs := workload.Load * float64(slotsPerServer*s.Site.Servers) / workload.meanServiceMs()
		for sentAt := workload.From; ; {
			sentAt += sim.Micros(random.ExpFloat64() / requestsPerMs * float64(sim.Millisecond))
			if sentAt >= workload.To {
				break
			}
			a := arrival{sentAt: sentAt, class: workload.Class, router: random.IntN(s.Site.Routers)}
			minTokens := workload.MeanTokens / minOutputDivisor
			a.outputTokens = minTokens + int(random.ExpFloat64()*float64(workload.MeanTokens-minTokens))
			if a.long = random.IntN(1000) < workload.LongPermille; a.long {
				a.outputTokens *= longOutputFactor
			}
			arrivals = append(arrivals, a)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.sentAt - b.sentAt) })
	return arrivals
}

// view returns the published configuration of the experiment.
func (s Scenario) view() *config.View {
	var tiers []value.Tier
	var configClasses []value.Class
	for _, c := range classes {
		tiers = append(tiers, value.Tier{}.WithName(c.Name).WithRank(c.Rank))
		configClasses = append(configClasses, value.Class{}.WithName(c.Name).WithTier(c.Name).
			WithFirstTokenMs(int64(c.FirstTokenTarget)).WithInterTokenMs(2*int64(serverSpeed.TokenMs)).
			WithFloorPermille(20).WithBatch(c.Batch).WithMaxWaitMs(int64(c.MaxWait)).
			WithLimit(value.Limit{}.WithRequestsPerSecond(s.Limits[c.Name])))
	}
	pool := value.Pool{}.WithName(poolName).WithKind(value.PoolKindEngine).WithModels(value.ListOf(modelName)).
		WithSlots(slotsPerServer).WithLongCap(slotsPerServer / 4).WithReservedSlots(slotsPerServer / 8).
		WithTokensPerSecond(int32(hoist.Second / serverSpeed.TokenMs))
	return config.NewView(value.Snapshot{}.WithGeneration(1).WithTiers(value.ListOf(tiers...)).
		WithClasses(value.ListOf(configClasses...)).WithPools(value.ListOf(pool)).
		WithWorkspaces(value.ListOf(value.Workspace{}.WithName("north"))).
		WithModels(value.ListOf(value.Model{}.WithName(modelName).WithVersion("1"))), 1)
}
