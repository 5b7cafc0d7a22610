package spread_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/spread"
	"chicoryhoist.example/hoist/value"
)

func TestSpread(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spread")
}

// Guards against shares that differ from the numbers of servers, and against a changed number that moves keys between other
// shards, whose servers would read the prompt parts again.
var _ = Describe("Rank", func() {
	It("divides keys by the servers and moves only keys of the changed shard", func() {
		before := []spread.Shard{{Name: "a", Servers: 12}, {Name: "b", Servers: 20}, {Name: "c", Servers: 28}}
		after := slices.Clone(before)
		after[1].Servers = 18
		counts := make([]int, len(before))
		const keys = 60_000
		for k := range uint64(keys) {
			first, second := spread.Rank(before, k)
			Expect(second).NotTo(Equal(first))
			counts[first]++
			if moved, _ := spread.Rank(after, k); moved != first {
				Expect(first).To(Equal(1))
			}
		}
		for i, x := range before {
			Expect(counts[i]).To(BeNumerically("~", keys*x.Servers/60, keys/100))
		}
	})

	It("passes over shards without servers", func() {
		first, second := spread.Rank([]spread.Shard{{Name: "a"}, {Name: "b", Servers: 1}}, 7)
		Expect([]int{first, second}).To(Equal([]int{1, -1}))
		first, _ = spread.Rank([]spread.Shard{{Name: "a"}}, 7)
		Expect(first).To(Equal(-1))
	})
})

// Guards against old, doubled or impossible reports that change the known load, against own placements that are forgotten
// or counted twice, and against a move that does not pay.
var _ = DescribeTable("scripts", func(c golden.Case) {
	var l spread.Loads
	shards := []spread.Shard{{Name: "a", Servers: 10}, {Name: "b", Servers: 30}}
	Expect(golden.RunScript(c.Input, func(x golden.Line) string {
		at := hoist.Millis(x.Int("at"))
		switch x.Verb {
		case "report":
			pending := float64(x.Int("pending"))
			if x.Has("nan") {
				pending = math.NaN()
			}
			load := value.ShardLoad{}.WithServers(int32(x.Int("servers"))).WithPendingMs(pending).WithWaiting(int32(x.Int("waiting")))
			l = l.WithReport(x.Text("shard"), load, at)
		case "placed":
			l = l.WithPlacement(x.Text("shard"), float64(x.Int("ms")), at)
		case "choose":
			q := spread.Request{Key: uint64(x.Int("key")), RereadMs: float64(x.Int("reread")), Draw: float64(x.Int("draw")) / 100}
			d := l.Choose(shards, q, at)
			return fmt.Sprintf("shard=%s moved=%t excess=%.0f age=%d reported=%t", shards[d.Index].Name, d.Moved, d.ExcessMs, d.Age, d.Reported)
		case "drop":
			l = l.Retained(func(s string) bool { return s != x.Text("shard") })
		default:
			Fail("unknown verb " + x.Verb)
		}
		var out []string
		for i, k := range l.Estimate(shards, at) {
			out = append(out, fmt.Sprintf("%s=%.0f age=%d reported=%t", shards[i].Name, k.PendingMs, k.Age, k.Reported))
		}
		return strings.Join(out, " ")
	})).To(golden.Match(c.Path))
}, entries("testdata"))

// Each case names its load and the fault that it guards against. The bound is the share of the requests whose prompt is not
// read within the target of the first event. The golden file shows that the choice by load keeps to the bound, and whether
// equal shares by hash do.
var _ = DescribeTable("loads", func(c golden.Case) {
	Expect(golden.RunScript(c.Input, func(x golden.Line) string {
		results := make([]string, 0, 2)
		for _, equal := range []bool{false, true} {
			m := newModel(x, equal)
			late, ratio, reread := m.run()
			verdict := "beyond"
			if late <= float64(x.Int("late")) {
				verdict = "within"
			}
			results = append(results, verdict)
			fmt.Fprintf(GinkgoWriter, "%s choosers=%d age=%d equal=%t: %.1f permille late, largest to mean %.2f, %.1f%% of the tokens read again, %.1f%% moved\n",
				c.Name, x.Int("choosers"), x.Int("age"), equal, late, ratio, 100*reread, 100*float64(m.moved)/float64(m.requests))
		}
		return fmt.Sprintf("by load: %s, equal shares: %s", results[0], results[1])
	})).To(golden.Match(c.Path))
}, entries("testdata/loads"))

// entries returns a table entry for each golden case of the folder.
func entries(folder string) []TableEntry {
	var found []TableEntry
	for _, c := range golden.Cases(folder) {
		found = append(found, Entry(c.Name, c))
	}
	return found
}

// engine is a server of the model: the time at which it has read all prompts, and the parts that it caches.
type engine struct {
	freeAt   float64
	slowness float64
	parts    map[uint64]float64
}

// delivery is a report on its way to a chooser.
type delivery struct {
	to       int
	shard    string
	load     value.ShardLoad
	at       hoist.Millis
	arriving float64
}

// model simulates engines in shards whose owners know all of their own placements, and choosers that know the shards only
// by the reports in the answers to their own requests.
type model struct {
	line     golden.Line
	equal    bool
	random   *rand.Rand
	shards   []spread.Shard
	engines  [][]engine
	loads    []spread.Loads
	mail     []delivery
	requests int
	moved    int
}

const (
	// modelTokensPerMs is the rate at which an engine of the model reads prompts, modelCacheMs the time for which it caches a
	// part, and modelTargetMs the target of the first event of long prompts.
	modelTokensPerMs = 42.8
	modelCacheMs     = 20_000
	modelTargetMs    = 1_500
	// modelWarmUpMs is the time at the start that is not measured.
	modelWarmUpMs = 5_000
	// modelLossPercent is the share of the reports that are lost, or doubled, where the case says so.
	modelLossPercent = 30
)

// newModel returns the model of a line.
func newModel(l golden.Line, equal bool) *model {
	m := &model{line: l, equal: equal, random: rand.New(rand.NewPCG(uint64(l.Int("seed")), 1)), loads: make([]spread.Loads, l.Int("choosers"))}
	for i, f := range l.List("shards") {
		var n, percent int
		_, err := fmt.Sscanf(f, "%d:%d", &n, &percent)
		Expect(err).NotTo(HaveOccurred())
		m.shards = append(m.shards, spread.Shard{Name: fmt.Sprint("llm/", i), Servers: n})
		engines := make([]engine, n)
		for k := range engines {
			engines[k] = engine{slowness: float64(percent) / 100, parts: map[uint64]float64{}}
		}
		m.engines = append(m.engines, engines)
	}
	return m
}

// rate returns the requests per ms at the time; the demand may swing or burst.
func (m *model) rate(now float64) float64 {
	r := float64(m.line.Int("rate")) / 1000
	if m.line.Has("swing") {
		r *= 1 + float64(m.line.Int("swing"))/100*math.Sin(2*math.Pi*now/11_000)
	}
	return r
}

// available returns the shards as the choosers see them at the time; one may be gone for a time.
func (m *model) available(now float64) []spread.Shard {
	if !m.line.Has("gone") {
		return m.shards
	}
	shards := slices.Clone(m.shards)
	if now < float64(m.line.Int("back")) {
		shards[m.line.Int("gone")].Servers = 0
	}
	return shards
}

// run returns the late requests of a thousand, the largest to the mean pending time of the shards, and the share of the
// tokens that were shared parts read again.
func (m *model) run() (late, ratio, reread float64) {
	end := float64(m.line.Int("seconds")) * 1000
	var total, missed, samples, again, tokens float64
	sampleAt := float64(modelWarmUpMs)
	for now := 0.0; now < end; now += m.random.ExpFloat64() / m.rate(now) {
		m.deliver(now)
		wait, read, shared := m.request(now)
		if now < modelWarmUpMs {
			continue
		}
		total++
		tokens += read
		again += shared
		if wait > modelTargetMs {
			missed++
		}
		for ; sampleAt < now; sampleAt += 100 {
			ratio += m.imbalance(now)
			samples++
		}
	}
	return 1000 * missed / total, ratio / samples, again / tokens
}

// imbalance returns the largest to the mean pending time of the shards.
func (m *model) imbalance(now float64) float64 {
	var largest, sum float64
	for i := range m.shards {
		p := m.pending(i, now)
		largest, sum = max(largest, p), sum+p
	}
	if sum == 0 {
		return 1
	}
	return largest / (sum / float64(len(m.shards)))
}

// pending returns the mean time after which the engines of the shard are free.
func (m *model) pending(shard int, now float64) float64 {
	var sum float64
	for _, e := range m.engines[shard] {
		sum += max(0, e.freeAt-now)
	}
	return sum / float64(len(m.engines[shard]))
}

// request places one request and returns the time until its prompt is read, the tokens read and those of them that are of a
// shared part that is cached elsewhere.
func (m *model) request(now float64) (wait, tokens, again float64) {
	m.requests++
	chooser := m.random.IntN(len(m.loads))
	part := m.random.Uint64N(uint64(m.line.Int("parts"))) * 0x9e3779b97f4a7c15
	own, shared := float64(m.line.Int("own")), float64(m.line.Int("shared"))
	shards, at := m.available(now), hoist.Millis(now)
	var c spread.Choice
	if m.equal {
		c.Index = int(part >> 20 % uint64(len(shards)))
		for shards[c.Index].Servers == 0 {
			c.Index = (c.Index + 1) % len(shards)
		}
	} else {
		q := spread.Request{Key: part, RereadMs: shared / modelTokensPerMs, Draw: m.random.Float64()}
		c = m.loads[chooser].Choose(shards, q, at)
		m.loads[chooser] = m.loads[chooser].WithPlacement(shards[c.Index].Name, own/modelTokensPerMs, at)
	}
	if c.Moved {
		m.moved++
	}
	best, endAt, read := 0, math.Inf(1), 0.0
	cached := false
	for i, e := range m.engines[c.Index] {
		n := own
		if t, ok := e.parts[part]; !ok || now-t > modelCacheMs {
			n += shared
		} else {
			cached = true
		}
		if t := max(e.freeAt, now) + n/modelTokensPerMs*e.slowness; t < endAt {
			best, endAt, read = i, t, n
		}
	}
	m.engines[c.Index][best].freeAt = endAt
	m.engines[c.Index][best].parts[part] = now
	m.report(chooser, c.Index, now)
	if cached || c.Moved {
		again = read - own
	}
	return endAt - now, read, again
}

// report sends the load of the shard to the chooser, which it reaches after the age of the case.
func (m *model) report(to, shard int, now float64) {
	load := value.ShardLoad{}.WithServers(int32(m.shards[shard].Servers)).WithPendingMs(m.pending(shard, now))
	if m.line.Has("false") && shard == int(m.line.Int("false")) {
		load = load.WithPendingMs(float64(m.line.Int("claims")))
	}
	d := delivery{to, m.shards[shard].Name, load, hoist.Millis(now), now + float64(m.line.Int("age"))}
	if m.line.Has("disordered") {
		d.arriving = now + 2*m.random.Float64()*float64(m.line.Int("age"))
	}
	if m.line.Has("lost") && m.random.IntN(100) < modelLossPercent {
		return
	}
	m.mail = append(m.mail, d)
	if m.line.Has("doubled") && m.random.IntN(100) < modelLossPercent {
		d.arriving += 1000
		m.mail = append(m.mail, d)
	}
}

// deliver passes the reports that have arrived to their choosers.
func (m *model) deliver(now float64) {
	m.mail = slices.DeleteFunc(m.mail, func(d delivery) bool {
		if d.arriving <= now {
			m.loads[d.to] = m.loads[d.to].WithReport(d.shard, d.load, d.at)
		}
		return d.arriving <= now
	})
}
