package member_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist/member"
	"chicoryhoist.example/hoist/value"
)

var _ = Describe("Capable", func() {
	sized := func(name string, capacity int64) value.Member {
		return value.Member{}.WithName(name).WithRegion("north").WithDatacentre("x").WithCapacity(capacity)
	}
	names := func(members []value.Member) []string {
		var list []string
		for _, m := range members {
			list = append(list, m.Name())
		}
		return list
	}

	// Guards against delayed responses to the whole fleet, which occur when a shard owner or store reader has a thin link.
	It("excludes instances with less than half of the greatest capacity", func() {
		members := []value.Member{sized("big", 800), sized("half", 400), sized("thin", 100), sized("unknown", 0)}
		Expect(names(member.Capable(members))).To(Equal([]string{"big", "half"}))
		w, ok := member.NewView(members[2], members, value.List[value.Instance]{}).Watcher()
		Expect(ok).To(BeTrue())
		Expect(w.Name()).To(BeElementOf("big", "half"))
	})

	// Guards against a fleet without shard owners, which occurs when only instances with little capacity remain.
	It("selects smaller instances when the large ones are leaving", func() {
		members := []value.Member{sized("big", 800).WithLeaving(true), sized("thin", 100), sized("thinner", 90)}
		Expect(names(member.Capable(members))).To(Equal([]string{"thin", "thinner"}))
		Expect(names(member.Capable([]value.Member{sized("a", 0), sized("b", 0)}))).To(Equal([]string{"a", "b"}))
	})
})
