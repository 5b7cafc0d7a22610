package scale

import (
	"fmt"
	"io"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/idem"
	"chicoryhoist.example/hoist/quota"
	"chicoryhoist.example/hoist/value"
)

// repeats is the number of operations of which the mean is taken.
const repeats = 20_000

// populated returns a snapshot with n workspaces, each with a limit and a credential.
func populated(n int) value.Snapshot {
	s := tiered().Snapshot
	workspaces := make([]value.Workspace, n)
	credentials := make([]value.Credential, n)
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		workspaces[i] = value.Workspace{}.WithName(name).WithLimit(value.Limit{}.WithRequestsPerSecond(int64(50 + i%50)))
		credentials[i] = value.Credential{}.WithName("key-" + name).WithWorkspace(name).
			WithClass(fmt.Sprintf("tier-%d", i%6+1)).WithSha256(fmt.Sprintf("%064x", i+1))
	}
	return s.WithWorkspaces(value.ListOf(workspaces...)).WithCredentials(value.ListOf(credentials...))
}

// changed returns the next generation with one workspace changed.
func changed(s value.Snapshot) value.Snapshot {
	w := s.Workspaces().At(s.Workspaces().Len() / 2)
	w = w.WithLimit(w.Limit().WithRequestsPerSecond(7))
	return s.WithGeneration(s.Generation() + 1).WithWorkspaces(s.Workspaces().With(s.Workspaces().Len()/2, w))
}

// configurations measures the cost of a change against the number of workspaces.
func configurations(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		snapshot := populated(n)
		content := config.Format(snapshot)
		var base, next *config.View
		loaded := measure(func() any {
			base, _ = config.LoadView("published", content)
			return base
		})
		next, _ = config.LoadView("published", config.Format(changed(snapshot)))
		delta := config.NewDelta(base, next)
		encoded, _ := config.EncodeDelta(delta)
		applied := measure(func() any {
			v, _ := config.ApplyDelta(base, delta)
			return v
		})
		name := fmt.Sprintf("config.%d", n)
		report(w, name+".size", float64(len(content))/1000, "kB")
		report(w, name+".load", loaded.nanos/1e6, "ms")
		report(w, name+".memory", loaded.bytes/(1<<20), "MiB")
		report(w, name+".delta", float64(len(encoded)), "bytes")
		report(w, name+".apply", applied.nanos/1e6, "ms")
	}
}

// limits measures the meters of a router against the number of workspaces.
func limits(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		view := config.NewView(populated(n), 1)
		var m *quota.Limiter
		c := measure(func() any {
			m = quota.NewLimiter()
			m.Configure(view, 520, 0)
			return []any{m, view}
		})
		used := measure(func() any {
			for i := range repeats {
				workspace := fmt.Sprintf("workspace-%05d", i%n)
				m.Admit("tier-1", workspace, 300, hoist.Millis(i))
				m.Release("tier-1", workspace, 220, hoist.Millis(i))
			}
			return m
		})
		name := fmt.Sprintf("quota.%d", n)
		report(w, name+".memory", c.bytes/(1<<20), "MiB")
		report(w, name+".request", used.nanos/repeats/1000, "us/request")
	}
}

// tokens measures the records of idempotency tokens against their number.
func tokens(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		var s idem.State
		c := measure(func() any {
			s = idem.New(1, 0)
			for i := range n {
				t := idem.NewToken(1, 1, fmt.Sprintf("order-%d", i))
				s, _ = s.Decide(idem.Arrived{Token: t, Fingerprint: 1}, 1)
				answer := value.ForwardAnswer{}.WithStatus(200).WithBody("{}").WithOutcome(value.OutcomeRan)
				s, _ = s.Decide(idem.Completed{Token: t, Answer: answer}, 2)
			}
			return s
		})
		name := fmt.Sprintf("idem.%d", n)
		report(w, name+".call", c.nanos/float64(n)/1000, "us/call")
		report(w, name+".memory", c.bytes/float64(n), "bytes/record")
	}
}
