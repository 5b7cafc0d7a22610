package retry_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// crashOf returns the charge for the crash of a server.
func crashOf(server string) value.Charge { return value.Charge{}.WithServer(server) }

// contents returns contents of one depth.
func contents(depth int32, fingerprints ...uint64) []value.Content {
	var list []value.Content
	for _, f := range fingerprints {
		list = append(list, value.Content{}.WithFingerprint(f).WithDepth(depth))
	}
	return list
}

// promptOf returns the contents of a request: its prompt parts from the first one on, and the whole request.
func promptOf(l golden.Line) []value.Content {
	var list []value.Content
	for i, text := range l.List("prompt") {
		f, err := strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		list = append(list, contents(int32(i), f)...)
	}
	if len(list) > 1 {
		list[len(list)-1] = list[len(list)-1].WithWhole(true)
	}
	return list
}

// describeStatus formats the status of a content.
func describeStatus(s retry.Status) string {
	switch s := s.(type) {
	case retry.Clean:
		return "clean"
	case retry.Quarantined:
		return fmt.Sprintf("quarantined until %d", s.Until)
	case retry.Suspected:
		if s.Released {
			return fmt.Sprintf("suspected, released, trial until %d", s.TrialUntil)
		}
		return "suspected"
	default:
		return "unknown"
	}
}

// Guards against requests that crash one server after the other because they share only a prompt part, and against the
// quarantine of sound content that was running beside them.
var _ = DescribeTable("contents", func(c golden.Case) {
	x := retry.NewSuspects(10 * hoist.Minute).WithSharedContent(30 * hoist.Second)
	Expect(golden.RunScript(c.Input, func(l golden.Line) string {
		now := hoist.Millis(l.Int("at"))
		switch l.Verb {
		case "crash":
			x = x.WithCrash(crashOf(l.Text("server")).WithBorn(l.Int("born")), promptOf(l), now)
			return ""
		case "answered":
			x = x.Completed(promptOf(l), now)
			return ""
		case "received":
			charge := crashOf(l.Text("server")).WithBorn(l.Int("born")).WithAtMs(l.Int("crashed"))
			for _, p := range promptOf(l) {
				x = x.Merged(value.Quarantine{}.WithFingerprint(p.Fingerprint()).WithDepth(p.Depth()).WithCharges(value.ListOf(charge)), now)
			}
			return ""
		case "admit":
			var v retry.Verdict
			x, v = x.Admit(promptOf(l), now+hoist.Minute, now)
			return strings.TrimPrefix(fmt.Sprintf("%T%+v", v, v), "retry.")
		case "status":
			var states []string
			for _, p := range promptOf(l) {
				states = append(states, fmt.Sprintf("%d %s", p.Fingerprint(), describeStatus(x.Status(p.Fingerprint(), now))))
			}
			return strings.Join(states, "; ")
		}
		panic("unknown verb " + l.Verb)
	})).To(golden.Match(c.Path))
}, func() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata/causes") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}())

// allocatedBy returns the number of bytes that two crashes of a request with n prompt parts and its next attempt allocate.
func allocatedBy(n int) uint64 {
	var fingerprints []uint64
	for i := range n {
		fingerprints = append(fingerprints, uint64(i+1))
	}
	parts := contents(0, fingerprints...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	x := retry.NewSuspects(10 * hoist.Minute).WithSharedContent(30 * hoist.Second)
	x = x.WithCrash(crashOf("a").WithBorn(1), parts, hoist.Second)
	x = x.WithCrash(crashOf("b").WithBorn(2), parts, 2*hoist.Second)
	_, v := x.Admit(parts, hoist.Minute, 3*hoist.Second)
	runtime.ReadMemStats(&after)
	Expect(v).To(BeAssignableToTypeOf(retry.Deny{}))
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a search for causes whose cost grows with the square of the length of a prompt. Bytes stand for the cost,
// because they do not depend on the machine.
var _ = It("finds the causes of crashes at a cost that grows with the prompt", func() {
	const factor = 8
	Expect(allocatedBy(256 * factor)).To(BeNumerically("<", 2*factor*allocatedBy(256)))
})
