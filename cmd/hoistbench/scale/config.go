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

// quotaRequests is the number of admitted and released requests over which the cost of one is averaged.
const quotaRequests = 20_000

// snapshotWithWorkspaces returns a configuration snapshot with n workspaces, each with a limit and a credential.
func snapshotWithWorkspaces(n int) value.Snapshot {
	snapshot := tieredView().Snapshot
	workspaces := make([]value.Workspace, n)
	credentials := make([]value.Credential, n)
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		workspaces[i] = value.Workspace{}.WithName(name).WithLimit(value.Limit{}.WithRequestsPerSecond(int64(50 + i%50)))
		credentials[i] = value.Credential{}.WithName("key-" + name).WithWorkspace(name).
			WithClass(fmt.Sprintf("tier-%d", i%6+1)).WithSha256(fmt.Sprintf("%064x", i+1))
	}
	return snapshot.WithWorkspaces(value.ListOf(workspaces...)).WithCredentials(value.ListOf(credentials...))
}

// withChangedWorkspace returns the next generation of the snapshot, in which the limit of one workspace differs.
func withChangedWorkspace(s value.Snapshot) value.Snapshot {
	w := s.Workspaces().At(s.Workspaces().Len() / 2)
	w = w.WithLimit(w.Limit().WithRequestsPerSecond(7))
	return s.WithGeneration(s.Generation() + 1).WithWorkspaces(s.Workspaces().With(s.Workspaces().Len()/2, w))
}

// measureConfig measures loading a configuration and applying a delta against the number of workspaces.
func measureConfig(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		snapshot := snapshotWithWorkspaces(n)
		content := config.Format(snapshot)
		var base, next *config.View
		loadCost := measure(func() any {
			base, _ = config.LoadView("published", content)
			return base
		})
		next, _ = config.LoadView("published", config.Format(withChangedWorkspace(snapshot)))
		delta := config.NewDelta(base, next)
		encoded, _ := config.EncodeDelta(delta)
		applyCost := measure(func() any {
			view, _ := config.ApplyDelta(base, delta)
			return view
		})
		name := fmt.Sprintf("config.%d", n)
		report(w, name+".size", float64(len(content))/1000, "kB")
		report(w, name+".load", loadCost.nanos/1e6, "ms")
		report(w, name+".memory", loadCost.heapBytes/(1<<20), "MiB")
		report(w, name+".delta", float64(len(encoded)), "bytes")
		report(w, name+".apply", applyCost.nanos/1e6, "ms")
	}
}

// measureQuota measures the limiter of a router against the number of workspaces.
func measureQuota(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		view := config.NewView(snapshotWithWorkspaces(n), 1)
		var limiter *quota.Limiter
		setupCost := measure(func() any {
			limiter = quota.NewLimiter()
			limiter.Configure(view, 520, 0)
			return []any{limiter, view}
		})
		useCost := measure(func() any {
			for i := range quotaRequests {
				workspace := fmt.Sprintf("workspace-%05d", i%n)
				limiter.Admit("tier-1", workspace, 300, hoist.Millis(i))
				limiter.Release("tier-1", workspace, 220, hoist.Millis(i))
			}
			return limiter
		})
		name := fmt.Sprintf("quota.%d", n)
		report(w, name+".memory", setupCost.heapBytes/(1<<20), "MiB")
		report(w, name+".request", useCost.nanos/quotaRequests/1000, "us/request")
	}
}

// measureIdempotency measures the records of completed idempotency tokens against their number.
func measureIdempotency(w io.Writer) {
	for _, n := range []int{1000, 4000, 16000} {
		var state idem.State
		callCost := measure(func() any {
			state = idem.New(1, 0)
			for i := range n {
				token := idem.NewToken(1, 1, fmt.Sprintf("order-%d", i))
				state, _ = state.Decide(idem.Arrived{Token: token, Fingerprint: 1}, 1)
				response := value.ForwardAnswer{}.WithStatus(200).WithBody("{}").WithOutcome(value.OutcomeRan)
				state, _ = state.Decide(idem.Completed{Token: token, Answer: response}, 2)
			}
			return state
		})
		name := fmt.Sprintf("idem.%d", n)
		report(w, name+".call", callCost.nanos/float64(n)/1000, "us/call")
		report(w, name+".memory", callCost.heapBytes/float64(n), "bytes/record")
	}
}
