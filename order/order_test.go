package order_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/value"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

// Guards against unintended changes of the times of reads and orders, such as an order without a read before it.
var _ = DescribeTable("scripts", func(c golden.Case) {
	var out strings.Builder
	var s order.State
	now := hoist.Millis(0)
	for line := range strings.Lines(c.Input) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			out.WriteString(line)
			continue
		}
		if f[0] == "wait" {
			now += hoist.Millis(number(f[1]))
			f = []string{"tick"}
		}
		var effects []order.Effect
		s, effects = s.Decide(event(f), now)
		fmt.Fprintf(&out, "%6d %s\n", now, strings.Join(f, " "))
		for _, e := range effects {
			fmt.Fprintf(&out, "         %s\n", describe(e))
		}
	}
	fmt.Fprintf(&out, "converged=%v\n", s.Converged())
	Expect(out.String()).To(golden.Match(c.Path))
}, entries())

func entries() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}

func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// fleet is the configuration of a test; listed is the number of engines in the instance list.
type fleet struct {
	generation int64
	version    string
	role       string
	fence      uint64
	fenced     bool
	rate       int64
	eject      int32
	servers    []string
	listed     int
}

const delay = 10 * hoist.Second

func (f fleet) event() order.Configured {
	pool := value.Pool{}.WithName("engines").WithModels(value.ListOf("base")).WithAdapters(value.ListOf("tuned")).
		WithRole(f.role).WithFenced(f.fenced).WithFence(f.fence)
	view := config.NewView(value.Snapshot{}.WithGeneration(uint64(f.generation)).WithPools(value.ListOf(pool)).
		WithModels(value.ListOf(value.Model{}.WithName("base").WithVersion(f.version).WithWeightMib(1000))).
		WithAdapters(value.ListOf(value.Adapter{}.WithName("tuned").WithModel("base").WithWeightMib(100))).
		WithPolicy(value.Policy{}.WithOrderDelayMs(int64(delay)).WithWeightStoreMibPerSecond(f.rate).WithEjectPermille(f.eject)), 0)
	list := func(names []string) value.List[value.Instance] {
		var l []value.Instance
		for _, n := range names {
			l = append(l, value.Instance{}.WithName(n).WithKind("engine"))
		}
		return value.ListOf(l...)
	}
	all := f.servers
	for i := len(all); i < f.listed; i++ {
		all = append(all, fmt.Sprint("z", i))
	}
	shard := list(f.servers)
	return order.Configured{View: view, Pool: pool, Instances: shard, Share: order.ShareOf(list(all), shard)}
}

func event(f []string) order.Event {
	switch f[0] {
	case "configured":
		return fleet{
			generation: number(f[1]), version: f[2], role: "mixed", fence: uint64(number(f[1])),
			fenced: f[3] == "fenced", rate: number(f[4]), eject: 200, servers: f[5:], listed: 2 * len(f[5:]),
		}.event()
	case "owner":
		return order.BecameOwner{}
	case "ownership-lost":
		return order.OwnershipLost{}
	case "tick":
		return order.Ticked{}
	case "unreachable":
		return order.Unreachable{Server: f[1]}
	case "sent":
		return order.Sent{Server: f[1], ID: f[2]}
	case "answered":
		a := map[string]order.Answer{"accepted": order.AnswerAccepted, "fenced": order.AnswerFenced, "unknown": order.AnswerUnknown}
		return order.Answered{Server: f[1], ID: f[2], Answer: a[f[3]]}
	case "observed":
		e := value.EngineState{}.WithRole("mixed")
		for _, x := range f[2:] {
			k, v, _ := strings.Cut(x, "=")
			switch k {
			case "pending":
				e = e.WithPending(v)
			case "role":
				e = e.WithRole(v)
			case "fence":
				e = e.WithFence(uint64(number(v)))
			case "tuned":
				e = e.WithLoaded(e.Loaded().Append(value.Loaded{}.WithKind("adapter").WithName(k)))
			default:
				e = e.WithLoaded(e.Loaded().Append(value.Loaded{}.WithKind("model").WithName(k).WithVersion(v)))
			}
		}
		return order.Observed{Server: f[1], State: e}
	}
	panic("unknown event " + f[0])
}

func describe(e order.Effect) string {
	switch x := e.(type) {
	case order.Send:
		return fmt.Sprintf("send %s %s fence=%d before=%d", x.Server, x.Order.Id(), x.Order.Fence(), x.Deadline)
	case order.Read:
		return "read " + x.Server
	case order.Wait:
		return fmt.Sprintf("wait until %d", x.Until)
	}
	return "?"
}

var _ = Describe("share", func() {
	// Guards against shares that add up to more than one, which would overload the weight store for all pools.
	It("adds up to one over all shards", func() {
		var all []value.Instance
		for i := range 40 {
			all = append(all, value.Instance{}.WithName(fmt.Sprint(i)).WithKind("engine"))
		}
		sum := 0.0
		for i := 0; i < 40; i += 8 {
			sum += order.ShareOf(value.ListOf(all...), value.ListOf(all[i:i+8]...)).Fraction()
		}
		Expect(sum).To(BeNumerically("~", 1, 1e-9))
	})
})
