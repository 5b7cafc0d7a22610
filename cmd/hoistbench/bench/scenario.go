// Package bench drives the decision code through fixed experiments and compares the figures with the stated bounds.
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
	// slots is the number of requests that a model server runs at once.
	slots = 16
	// meanTokens is the mean output length of ordinary requests; leastShare of it is the shortest one.
	meanTokens = 150
	leastShare = 5
	// longFactor is how much longer long requests run.
	longFactor = 50
	// pool is the name of the only pool.
	pool = "engines"
	// model is the name of the only model.
	model = "model"
)

// speed is the service time of a model server: 30 ms for a token, 8 prompt tokens per millisecond.
var speed = llmsrv.Speed{TokenMs: 30, PromptTokensPerMs: 8}

// Class is a class of callers in an experiment.
type Class struct {
	// Name of the class and of its tier.
	Name string
	// Rank of the tier.
	Rank int32
	// Target of the first token.
	Target hoist.Millis
	// Prompt is the prompt length, in tokens.
	Prompt int
	// Batch classes wait instead of being refused early.
	Batch bool
	// MaxWait is the longest wait in the queue.
	MaxWait hoist.Millis
}

// The classes of the experiments; the names are those of the first user, the second one's work has the same shape.
var (
	guidance = Class{Name: "guidance", Rank: 1, Target: 690, Prompt: 200, MaxWait: 5 * hoist.Second}
	triage   = Class{Name: "triage", Rank: 2, Target: 2 * hoist.Second, Prompt: 400, MaxWait: 10 * hoist.Second}
	notes    = Class{Name: "notes", Rank: 2, Target: 2 * hoist.Second, Prompt: 400, MaxWait: 10 * hoist.Second}
	digest   = Class{Name: "digest", Rank: 3, Target: 10 * hoist.Second, Prompt: 1200, Batch: true, MaxWait: 120 * hoist.Second}
)

// classes lists every class of the published configuration.
var classes = []Class{guidance, triage, notes, digest}

// Workload is the demand of one class over a time.
type Workload struct {
	Class Class
	// From and To bound the time of the demand.
	From, To sim.Micros
	// Load is the demand as a share of the servers' capacity for this class's ordinary work.
	Load float64
	// LongPermille is the share of long requests, in thousandths.
	LongPermille int
	// MeanTokens is the mean output length of ordinary requests.
	MeanTokens int
}

// Slow is a time in which some servers straggle.
type Slow struct {
	Servers  []int
	Factor   int
	From, To sim.Micros
}

// Scenario is one experiment.
type Scenario struct {
	Site      sim.Site
	Seed      uint64
	Workloads []Workload
	Slows     []Slow
	Length    sim.Micros
	// Window bounds the arrivals that the figures count.
	From, To sim.Micros
	// ReportLag is the age of load reports on arrival.
	ReportLag sim.Micros
	// Limits are the fleet-wide limits of classes by name, in requests a second.
	Limits map[string]int64
	// StoppedServer is a server that is stopped as planned, by number, or -1.
	StoppedServer int
	// StoppedRouter is a router that is stopped as planned, by number, or -1.
	StoppedRouter int
	// StopAt is the time of the planned stop.
	StopAt sim.Micros
}

// arrival is one request before it is sent.
type arrival struct {
	at     sim.Micros
	class  Class
	tokens int
	long   bool
	router int
}

// serviceMs returns the time that a mean ordinary request of the flow holds a slot, in milliseconds.
func (f Workload) serviceMs() float64 {
	return float64(f.Class.Prompt)/float64(speed.PromptTokensPerMs) + float64(f.MeanTokens)*float64(speed.TokenMs)
}

// arrivals draws the requests of every flow; each flow has its own random source,
// so that a change to one flow leaves the others as they are.
func (s Scenario) arrivals() []arrival {
	var all []arrival
	for i, f := range s.Workloads {
		r := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		perMs := f.Load * float64(slots*s.Site.Servers) / f.serviceMs()
		for at := f.From; ; {
			at += sim.Micros(r.ExpFloat64() / perMs * float64(sim.Millisecond))
			if at >= f.To {
				break
			}
			a := arrival{at: at, class: f.Class, router: r.IntN(s.Site.Routers)}
			least := f.MeanTokens / leastShare
			a.tokens = least + int(r.ExpFloat64()*float64(f.MeanTokens-least))
			if a.long = r.IntN(1000) < f.LongPermille; a.long {
				a.tokens *= longFactor
			}
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// view returns the published configuration of the experiment.
func (s Scenario) view() *config.View {
	var tiers []value.Tier
	var list []value.Class
	for _, c := range classes {
		tiers = append(tiers, value.Tier{}.WithName(c.Name).WithRank(c.Rank))
		list = append(list, value.Class{}.WithName(c.Name).WithTier(c.Name).WithFirstTokenMs(int64(c.Target)).
			WithInterTokenMs(2*int64(speed.TokenMs)).WithFloorPermille(20).WithBatch(c.Batch).
			WithMaxWaitMs(int64(c.MaxWait)).WithLimit(value.Limit{}.WithRequestsPerSecond(s.Limits[c.Name])))
	}
	p := value.Pool{}.WithName(pool).WithKind(value.PoolKindEngine).WithModels(value.ListOf(model)).WithSlots(slots).
		WithLongCap(slots / 4).WithReservedSlots(slots / 8).WithTokensPerSecond(int32(hoist.Second / speed.TokenMs))
	return config.NewView(value.Snapshot{}.WithGeneration(1).WithTiers(value.ListOf(tiers...)).
		WithClasses(value.ListOf(list...)).WithPools(value.ListOf(p)).
		WithWorkspaces(value.ListOf(value.Workspace{}.WithName("north"))).
		WithModels(value.ListOf(value.Model{}.WithName(model).WithVersion("1"))), 1)
}
