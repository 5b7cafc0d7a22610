package member_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

// readerFleet returns instances in data centres, of which the first ones of each have a greater capacity.
func readerFleet(datacentres, large, small int) []value.Member {
	var members []value.Member
	for d := range datacentres {
		for i := range large + small {
			capacity := int64(200)
			if i < large {
				capacity = 800
			}
			members = append(members, value.Member{}.WithName(fmt.Sprintf("n%d-%d", d, i)).WithRegion("r").WithDatacentre(fmt.Sprintf("x%d", d)).WithCapacity(capacity))
		}
	}
	return members
}

var _ = DescribeTable("plans of reading the store", func(datacentres, large, small int) {
	members := readerFleet(datacentres, large, small)
	plans := map[string]member.ReaderPlan{}
	var roots []string
	for _, m := range members {
		p := member.PlanReaders(member.NewView(m, members, value.List[value.Instance]{}))
		plans[m.Name()] = p
		if len(p.Sources) == 0 {
			roots = append(roots, m.Name())
		}
	}
	// Guards against calls to the store that grow with the instances or the data centres.
	Expect(roots).To(HaveLen(1))
	readers := 0
	for name, p := range plans {
		if p.Reader {
			readers++
		}
		Expect(p.Instances).To(Equal(len(members)))
		Expect(p.Sources).NotTo(ContainElement(name))
		Expect(p.Followers).NotTo(ContainElement(name))
		Expect(p.Relays).NotTo(ContainElement(name))
		// Guards against content that no reader confirms because instances ask each other in a circle.
		at, steps := name, 0
		for ; len(plans[at].Sources) > 0; steps++ {
			next := plans[at].Sources[0]
			Expect(append(plans[next].Followers, plans[next].Relays...)).To(ContainElement(at))
			at = next
		}
		Expect(steps).To(BeNumerically("<=", 2))
		Expect(at).To(Equal(roots[0]))
	}
	Expect(readers).To(Equal(min(datacentres*max(large, 1), 16)))
	// Guards against a reader that only the instances of its own data centre know.
	for _, p := range plans {
		if !p.Reader {
			Expect(slices.Contains(p.Sources, roots[0])).To(BeTrue())
		}
	}
},
	Entry("195 instances of two sizes in 6 data centres", 6, 3, 30),
	Entry("7 instances in 3 data centres", 3, 1, 1),
	Entry("one instance", 1, 1, 0),
)
