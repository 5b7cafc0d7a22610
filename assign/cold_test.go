package assign_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

// The service of the tests tolerates 17 requests a second when cold; the limit is 17 x 1.5 + 5 = 30.5.
const (
	coldOverage = 1.5
	coldSlack   = 5
	coldStart   = 4000
	// maxAtCold is the limit, ownerColdShare and ownerAnyShare are what one owner may grant of it in a second.
	maxAtCold      = 30
	ownerColdShare = 12
	ownerAnyShare  = 30
)

// coldService returns the service of the tests.
func coldService() value.ServiceSpec {
	return value.ServiceSpec{}.WithName("llm").WithColdRate(17).WithColdStartMs(coldStart)
}

// entries parses servers of the form ID:BORN:COLD, with the suffix :evacuated for one in an evacuated data centre.
func entries(fields []string) value.List[value.BackendServer] {
	var list []value.BackendServer
	for _, f := range fields {
		p := strings.Split(f, ":")
		list = append(list, value.BackendServer{}.WithId(p[0]).WithDatacentre("x").WithSlots(6).WithBorn(number(p[1])).WithColdMs(number(p[2])).WithEvacuated(len(p) > 3))
	}
	return value.ListOf(list...)
}

// decodeCold returns the event of a line about cold servers.
func decodeCold(l golden.Line) assign.Event {
	switch l.Verb {
	case "entries":
		kept := map[string]bool{}
		for _, id := range l.List("kept") {
			kept[id] = true
		}
		return assign.ServersUpdated{Servers: entries(l.List("list")), Kept: kept}
	case "owner-cold":
		return assign.ColdLimitsChanged{Limits: assign.OwnerColdLimits(coldService(), coldOverage, coldSlack)}
	case "local-cold":
		return assign.ColdLimitsChanged{Limits: assign.LocalColdLimits(coldService(), coldOverage, coldSlack, int(l.Int("index")), int(l.Int("instances")))}
	case "cold":
		return assign.ColdReported{Server: l.Text("server"), Left: hoist.Millis(l.Int("left"))}
	case "down":
		return assign.DownReported{Server: l.Text("server")}
	default:
		Fail("unknown verb " + l.Verb)
		return nil
	}
}

// end is the response or the end of a request at its server.
type end struct {
	at    hoist.Millis
	state int
	event assign.Event
}

// fleet is a set of states that know nothing of each other's grants, over the same servers.
type fleet struct {
	states []assign.State
	// arrivals are the times of the grants at each server.
	arrivals map[string][]hoist.Millis
	ends     []end
	lastID   uint64
	// perStep is the number of requests that are submitted every 25 ms.
	perStep int
	refused int
}

// newFleet returns a fleet with the limits of each state, which have learned the servers.
func newFleet(list value.List[value.BackendServer], limits ...assign.ColdLimits) *fleet {
	f := &fleet{arrivals: map[string][]hoist.Millis{}, perStep: 2}
	for i, l := range limits {
		f.states = append(f.states, assign.New())
		f.decide(i, assign.ColdLimitsChanged{Limits: l}, 0)
		f.decide(i, assign.ServersUpdated{Servers: list}, 0)
	}
	return f
}

// decide applies an event to a state and plays the server for its grants: it responds after 200 ms and takes a second.
func (f *fleet) decide(i int, e assign.Event, now hoist.Millis) {
	s, effects := f.states[i].Decide(e, now)
	f.states[i] = s
	for _, x := range effects {
		switch x := x.(type) {
		case assign.Grant:
			f.arrivals[x.Server.Id()] = append(f.arrivals[x.Server.Id()], now)
			f.ends = append(f.ends, end{now + 200, i, assign.Responded{ID: x.ID}}, end{now + 1000, i, assign.Finished{ID: x.ID}})
		case assign.Refuse:
			f.refused++
		case assign.Queued, assign.TakenCold:
		}
	}
}

// all applies an event to every state.
func (f *fleet) all(e assign.Event, now hoist.Millis) {
	for i := range f.states {
		f.decide(i, e, now)
	}
}

// submit submits a request with a prompt to a state.
func (f *fleet) submit(i int, now hoist.Millis) {
	f.lastID++
	parts := value.ListOf(value.PromptPart{}.WithId(f.lastID).WithTokens(1800))
	f.decide(i, assign.Submitted{Work: value.Work{}.WithId(f.lastID).WithParts(parts).WithArrivedMs(int64(now)).WithEndMs(int64(now) + 3000).WithDatacentre("x")}, now)
}

// run submits requests to the states in turn, from one time to another.
func (f *fleet) run(from, to hoist.Millis) {
	for now := from; now < to; now += 5 {
		var due []end
		kept := f.ends[:0:0]
		for _, e := range f.ends {
			if e.at <= now {
				due = append(due, e)
			} else {
				kept = append(kept, e)
			}
		}
		f.ends = kept
		for _, e := range due {
			f.decide(e.state, e.event, now)
		}
		if now%20 == 0 {
			f.all(assign.Ticked{}, now)
		}
		if now%25 == 0 {
			for range f.perStep {
				f.submit(int(f.lastID)%len(f.states), now)
			}
		}
	}
}

// busiest returns the largest number of arrivals at the server in any second that begins at or after the time.
func (f *fleet) busiest(server string, from hoist.Millis) int {
	return busiest(f.arrivals[server], from)
}

// busiest returns the largest number of the times, in ascending order, in any second that begins at or after from.
func busiest(times []hoist.Millis, from hoist.Millis) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, t := range times[i:] {
			if t < first+hoist.Second {
				n++
			}
		}
		if first >= from {
			most = max(most, n)
		}
	}
	return most
}

// ownerLimits are the limits of an owner in the tests.
func ownerLimits() assign.ColdLimits {
	return assign.OwnerColdLimits(coldService(), coldOverage, coldSlack)
}

var _ = Describe("cold servers", func() {
	warm := entries([]string{"a:1:0", "b:1:0", "c:1:0", "d:1:0"})
	without := entries([]string{"a:1:0", "b:1:0", "c:1:0"})
	again := entries([]string{"a:1:0", "b:1:0", "c:1:0", "d:2:0"})

	// Guards against servers that are limited as new ones although they have run all the time and only their entries were away,
	// as after an outage of the store; and against a restart meanwhile that goes unnoticed.
	It("are not those whose entries were away for a while", func() {
		f := newFleet(warm, ownerLimits())
		f.all(assign.ServersUpdated{Servers: without}, 5000)
		f.all(assign.ServersUpdated{Servers: warm}, 9000)
		Expect(f.states[0].ColdFor("d", 9000)).To(BeZero())
		f.all(assign.ServersUpdated{Servers: without}, 10000)
		f.all(assign.ServersUpdated{Servers: again}, 11000)
		Expect(f.states[0].ColdFor("d", 11000)).To(BeNumerically("==", coldStart))
	})

	// Guards against a server whose requests of the last second are forgotten while its entry is away.
	It("keep the count of their requests while their entries are away", func() {
		f := newFleet(entries([]string{"d:1:0"}), ownerLimits())
		f.run(0, 400)
		f.all(assign.ServersUpdated{}, 400)
		f.all(assign.ServersUpdated{Servers: entries([]string{"d:1:0"})}, 450)
		f.run(450, 2000)
		Expect(f.busiest("d", 0)).To(BeNumerically("<=", ownerAnyShare))
	})

	// Guards against an idle server that crashes again because it gets the whole demand when it comes back.
	It("get at most the owner's share when they come back under full demand", func() {
		f := newFleet(warm, ownerLimits())
		f.run(0, 3000)
		f.all(assign.ServersUpdated{Servers: without}, 3000)
		f.run(3000, 6000)
		f.all(assign.ServersUpdated{Servers: again}, 6000)
		f.run(6000, 6000+coldStart)
		Expect(f.busiest("d", 6000)).To(And(BeNumerically("<=", ownerColdShare), BeNumerically(">", ownerColdShare/2)))
		Expect(f.refused).To(BeZero())
	})

	// Guards against a server that restarts under its old ID and counts as the warm one that it was.
	It("are recognised by a newer start time under the old ID", func() {
		f := newFleet(warm, ownerLimits())
		f.run(0, 3000)
		f.all(assign.ServersUpdated{Servers: again}, 3000)
		Expect(f.states[0].ColdFor("d", 3000)).To(Equal(hoist.Millis(coldStart)))
		f.run(3000, 3000+coldStart)
		Expect(f.busiest("d", 3000)).To(BeNumerically("<=", ownerColdShare))
		Expect(f.states[0].ColdFor("d", 3000+coldStart)).To(BeZero())
	})

	// Guards against a cold server that gets more than its limit because two instances own the shard and others reach
	// neither of them.
	It("stay within the limit with two owners and instances without owner", func() {
		for _, instances := range []int{1, 3, 6, 30, 60, 63} {
			limits := []assign.ColdLimits{ownerLimits(), ownerLimits()}
			for i := range instances {
				limits = append(limits, assign.LocalColdLimits(coldService(), coldOverage, coldSlack, i, instances))
			}
			f := newFleet(warm, limits...)
			f.perStep = 4
			f.run(0, 2000)
			f.all(assign.ServersUpdated{Servers: again}, 2000)
			f.run(2000, 2000+coldStart)
			Expect(f.busiest("d", 2000)).To(BeNumerically("<=", maxAtCold), fmt.Sprint(instances, " instances"))
		}
	})

	// Guards against instances without owner that together grant more than their share of the limit, or nothing at all.
	It("stay within the share of the instances without owner", func() {
		for _, instances := range []int{1, 3, 6, 30, 60} {
			var limits []assign.ColdLimits
			for i := range instances {
				limits = append(limits, assign.LocalColdLimits(coldService(), coldOverage, coldSlack, i, instances))
			}
			f := newFleet(entries([]string{"d:1:0"}), limits...)
			f.run(0, 2000)
			f.all(assign.ServersUpdated{Servers: entries([]string{"d:2:0"})}, 2000)
			f.run(2000, 2000+coldStart)
			Expect(f.busiest("d", 2000)).To(And(BeNumerically("<=", 7), BeNumerically(">", 0)), fmt.Sprint(instances, " instances"))
		}
	})

	// Guards against an owner that grants a server more than the limit in the time in which it has not heard that the server
	// has become cold, because the notes about it were lost.
	It("get less than the limit before the owner knows that they are cold", func() {
		f := newFleet(warm, ownerLimits())
		f.run(0, 3000)
		f.all(assign.ServersUpdated{Servers: without}, 3000)
		f.run(3000, 5000)
		// The server is back with an entry that says nothing; only the owner's knowledge differs from the first test.
		f.all(assign.ServersUpdated{Servers: warm, Kept: map[string]bool{"d": true}}, 5000)
		f.run(5000, 7000)
		Expect(f.busiest("d", 5000)).To(And(BeNumerically("<=", ownerAnyShare), BeNumerically(">", ownerColdShare)))
		f.all(assign.DownReported{Server: "d"}, 7000)
		f.run(7000, 9000)
		Expect(f.busiest("d", 7000)).To(BeNumerically("<=", ownerColdShare))
	})

	// Guards against a share that the grants of others do not use up: what the state learns of counts as if it were its own.
	It("count the requests that others have granted", func() {
		f := newFleet(entries([]string{"d:1:4000"}), ownerLimits())
		for i := range ownerColdShare {
			w := value.Work{}.WithId(uint64(1000 + i)).WithOrigin("n").WithEndMs(9000)
			f.all(assign.Placed{Run: value.PlaceRun{}.WithWork(w).WithServer("d"), By: "o"}, 100)
		}
		f.submit(0, 110)
		f.all(assign.Ticked{}, 1099)
		Expect(f.states[0].HeldBack()).To(Equal(1))
		Expect(f.arrivals["d"]).To(BeEmpty())
		f.all(assign.Ticked{}, 1100)
		Expect(f.arrivals["d"]).To(HaveLen(1))
	})

	// Guards against a window of one second in which one state grants a server more than its share, whatever it learns.
	It("never get more than the share in a second", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFleet(warm, ownerLimits())
			cold := map[string][]hoist.Millis{}
			now, born := hoist.Millis(0), int64(2)
			list := []string{"a:1:0", "b:1:0", "c:1:0", "d:1:0"}
			for range rapid.IntRange(50, 400).Draw(t, "steps") {
				now += hoist.Millis(rapid.IntRange(0, 40).Draw(t, "elapsed"))
				id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
				wasCold := map[string]bool{}
				for _, x := range []string{"a", "b", "c", "d"} {
					wasCold[x] = f.states[0].ColdFor(x, now) > 0
				}
				before := map[string]int{}
				for x, times := range f.arrivals {
					before[x] = len(times)
				}
				switch rapid.IntRange(0, 12).Draw(t, "event") {
				case 0:
					f.all(assign.ColdReported{Server: id, Left: hoist.Millis(rapid.IntRange(0, 3000).Draw(t, "left"))}, now)
				case 1:
					f.all(assign.DownReported{Server: id}, now)
				case 2:
					born++
					list[id[0]-'a'] = fmt.Sprintf("%s:%d:%d", id, born, rapid.IntRange(0, 3000).Draw(t, "left"))
					f.all(assign.ServersUpdated{Servers: entries(list)}, now)
				case 3:
					f.lastID++
					w := value.Work{}.WithId(f.lastID).WithOrigin("n").WithArrivedMs(int64(now)).WithEndMs(int64(now) + 5000)
					f.all(assign.Placed{Run: value.PlaceRun{}.WithWork(w).WithServer(id), By: "o"}, now)
				case 4:
					f.all(assign.Ticked{}, now)
				default:
					f.submit(0, now)
					f.submit(0, now)
				}
				for x, times := range f.arrivals {
					for _, at := range times[before[x]:] {
						if wasCold[x] && f.states[0].ColdFor(x, now) > 0 {
							cold[x] = append(cold[x], at)
						} else {
							cold[x] = nil
						}
					}
					if busiest(cold[x], 0) > ownerColdShare {
						t.Fatalf("cold server %s got %v", x, cold[x])
					}
				}
			}
			for x, times := range f.arrivals {
				if n := busiest(times, 0); n > ownerAnyShare {
					t.Fatalf("server %s got %d requests in a second", x, n)
				}
			}
		})
	})

	// Guards against limits where the deployment or the service sets none.
	It("are not limited without a rate or a bound", func() {
		Expect(assign.OwnerColdLimits(coldService(), 0, 0)).To(BeZero())
		Expect(assign.LocalColdLimits(coldService(), 0, 0, 1, 3)).To(BeZero())
		Expect(assign.OwnerColdLimits(coldService().WithColdRate(0), coldOverage, coldSlack)).To(BeZero())
		Expect(ownerLimits().Cold).To(Equal(assign.GrantRate{Count: ownerColdShare, Window: hoist.Second}))
		Expect(ownerLimits().Any).To(Equal(assign.GrantRate{Count: ownerAnyShare, Window: hoist.Second}))
		Expect(assign.LocalColdLimits(coldService(), coldOverage, coldSlack, 1, 63).Cold.Count).To(BeZero())
	})
})
