package assign_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/value"
)

const (
	// modelTokens is the size of the prompts of the model, read at modelTokensPerMs by an engine of the usual speed.
	modelTokens      = 2890
	modelTokensPerMs = 42.8
	// modelRate is the demand in requests a second, 0.5 of what the 20 engines can do and 0.86 of what the slow ones can if all
	// get the same number, and modelTargetMs the target of the
	// first event.
	modelRate     = 160
	modelTargetMs = 1500
	// modelSeconds is the length of a run, of which modelWarmUpMs are not measured.
	modelSeconds  = 15
	modelWarmUpMs = 3000
)

// localRun is a request of the model at an engine.
type localRun struct {
	id      uint64
	chooser int
	engine  int
	endAt   float64
}

// localModel simulates instances that reach no owner and place their requests at the same engines.
type localModel struct {
	random  *rand.Rand
	states  []assign.State
	delay   float64
	freeAt  []float64
	slow    []float64
	running []localRun
	// queued holds the arrival of the requests that no server has taken.
	queued      map[uint64]float64
	late, total int
	most        int
	// list holds the servers, and fault what is wrong in the case.
	list  []value.BackendServer
	fault fault
}

// fault is what is wrong in a case of the model.
type fault int

const (
	noFault fault = iota
	// falseReport means that a slow server claims to be fast and idle.
	falseReport
	// lostReports means that three of ten responses come without a load report.
	lostReports
	// serverBack means that two servers are listed only after half of the time.
	serverBack
)

// newLocalModel returns a model of n instances that learn of a response after the delay. Engines 0 to 6 are faster than
// usual, 14 to 19 slower.
func newLocalModel(n int, delay float64, bounded bool, f fault) *localModel {
	m := &localModel{random: rand.New(rand.NewPCG(1, 2)), delay: delay, freeAt: make([]float64, 20), queued: map[uint64]float64{}, fault: f}
	var list []value.BackendServer
	for i := range m.freeAt {
		list = append(list, value.BackendServer{}.WithId(fmt.Sprint(i)).WithSlots(64).WithDatacentre("x"))
		m.slow = append(m.slow, []float64{.6, 1, 1.6}[i/7])
	}
	m.list = list
	if f == serverBack {
		list = list[2:]
	}
	for range n {
		s, _ := assign.New().Decide(assign.LocalPlacementChanged{Local: bounded}, 0)
		s, _ = s.Decide(assign.ServersUpdated{Servers: value.ListOf(list...)}, 0)
		m.states = append(m.states, s)
	}
	return m
}

// decide applies an event to the state of an instance and starts what it grants.
func (m *localModel) decide(chooser int, e assign.Event, now float64) {
	s, effects := m.states[chooser].Decide(e, hoist.Millis(now)+1)
	m.states[chooser] = s
	for _, x := range effects {
		g, ok := x.(assign.Grant)
		if !ok {
			continue
		}
		var at int
		_, err := fmt.Sscan(g.Server.Id(), &at)
		Expect(err).NotTo(HaveOccurred())
		m.freeAt[at] = max(m.freeAt[at], now) + modelTokens/modelTokensPerMs*m.slow[at]
		m.running = append(m.running, localRun{g.ID, chooser, at, m.freeAt[at]})
		if now > modelWarmUpMs {
			m.total++
			if m.freeAt[at]-m.queued[g.ID] > modelTargetMs {
				m.late++
			}
		}
		delete(m.queued, g.ID)
		m.most = max(m.most, m.ahead(at, now))
	}
}

// ahead returns the number of requests whose prompts the engine has yet to read.
func (m *localModel) ahead(engine int, now float64) int {
	n := 0
	for _, r := range m.running {
		if r.engine == engine && r.endAt > now {
			n++
		}
	}
	return n
}

// finish reports the responses that the instances have learnt of, in their order.
func (m *localModel) finish(now float64) {
	for {
		first := -1
		for i, r := range m.running {
			if r.endAt+m.delay <= now && (first < 0 || r.endAt < m.running[first].endAt) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		r := m.running[first]
		m.running = slices.Delete(m.running, first, first+1)
		waiting := 0
		for _, x := range m.running {
			if x.engine == r.engine && x.endAt > r.endAt {
				waiting++
			}
		}
		load := value.ServerLoad{}.WithRunning(1).WithWaiting(int32(waiting)).WithSlots(64).WithSlowness(int32(100 * m.slow[r.engine]))
		if m.fault == falseReport && r.engine == len(m.list)-1 {
			load = load.WithWaiting(0).WithSlowness(10)
		}
		loaded := m.fault != lostReports || m.random.IntN(10) >= 3
		m.decide(r.chooser, assign.Responded{ID: r.id, Load: load, Loaded: loaded}, r.endAt+m.delay)
		m.decide(r.chooser, assign.Finished{ID: r.id, Result: assign.ResultOK}, r.endAt+m.delay)
	}
}

// run returns the late requests of a thousand.
func (m *localModel) run() float64 {
	id, back := uint64(0), m.fault == serverBack
	for now := 1.0; now < modelSeconds*1000; now += m.random.ExpFloat64() * 1000 / modelRate {
		m.finish(now)
		if back && now > modelSeconds*1000/2 {
			back = false
			for i := range m.states {
				m.decide(i, assign.ServersUpdated{Servers: value.ListOf(m.list...)}, now)
			}
		}
		id++
		m.queued[id] = now
		w := value.Work{}.WithId(id).WithArrivedMs(int64(now)).WithEndMs(math.MaxInt32).WithOrigin("n").WithDatacentre("x").
			WithParts(value.ListOf(value.PromptPart{}.WithId(id).WithTokens(modelTokens)))
		m.decide(m.random.IntN(len(m.states)), assign.Submitted{Work: w}, now)
	}
	return 1000 * float64(m.late) / float64(m.total)
}

// Guards against instances without an owner that choose the same servers, because they know the same reports or nothing,
// while other servers are idle. The load is 160 prompts a second at 20 engines of three speeds, with reports 50, 200 and 1,000
// ms old. At most 50 of 1,000 requests may be late, and no server may ever have more prompts than an engine of the usual speed
// reads within the target. The choice that an owner makes fails this with 60 and 200 instances; 6 know enough from their
// own requests, unless a server reports falsely.
var _ = DescribeTable("instances without an owner", func(choosers int, delay float64, f fault) {
	const bound, mostPrompts = 50, 22
	m := newLocalModel(choosers, delay, true, f)
	late := m.run()
	base := newLocalModel(choosers, delay, false, f)
	lateBefore := base.run()
	fmt.Fprintf(GinkgoWriter, "choosers=%d age=%.0f fault=%d: %.1f permille late, at most %d requests at a server; by the owner's choice %.1f, %d\n",
		choosers, delay, f, late, m.most, lateBefore, base.most)
	Expect(late).To(BeNumerically("<=", bound))
	Expect(m.most).To(BeNumerically("<=", mostPrompts))
	Expect(lateBefore > bound || base.most > mostPrompts).To(Equal(choosers > 6 || f == falseReport))
}, func() []TableEntry {
	var entries []TableEntry
	for _, n := range []int{6, 60, 200} {
		for _, age := range []float64{50, 200, 1000} {
			entries = append(entries, Entry(fmt.Sprintf("%d instances, reports %.0f ms old", n, age), n, age, noFault))
		}
		for i, name := range []string{"a false report", "lost reports", "servers that come back"} {
			entries = append(entries, Entry(fmt.Sprintf("%d instances, %s", n, name), n, 200.0, falseReport+fault(i)))
		}
	}
	return entries
}())
