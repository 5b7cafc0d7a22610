package assign

import (
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/value"
)

const (
	// recentWindow and usualWindow are the time constants of what a workspace has sent lately and usually. The first is
	// shorter than a burst, the second is long enough that a burst hardly changes it.
	recentWindow = 2 * hoist.Second
	usualWindow  = 120 * hoist.Second
	// shareExcess is the multiple of its share from which a workspace is far above it. Ordinary bursts reach 2.8 times the
	// usual load.
	shareExcess = 3
	// usualExcess is the multiple of what it usually sends up to which a workspace changes that: a burst does not become usual,
	// but the double load does within usualWindow.
	usualExcess = 2
	// activeWindow is the time since its last request for which a workspace counts in the division into equal parts. A share that
	// is kept free for workspaces that no longer send serves nobody.
	activeWindow = 2 * recentWindow
	// maxUsages bounds the workspaces of a table; the one that has sent least lately is dropped.
	maxUsages = 64
)

// usage is what one workspace has sent at one rank, in prompt tokens: decaying sums as of the time at.
type usage struct {
	workspace     string
	rank          int32
	recent, usual float64
	at            hoist.Millis
}

// decayed returns the sums as of now.
func (u usage) decayed(now hoist.Millis) usage {
	age := float64(now - u.at)
	u.recent *= math.Exp(-age / float64(recentWindow))
	u.usual *= math.Exp(-age / float64(usualWindow))
	u.at = now
	return u
}

// usages is an immutable table of what workspaces have sent. The zero value is empty.
type usages struct {
	list value.List[usage]
	// since is the time of the first request.
	since hoist.Millis
}

// with returns a table that has counted the request.
func (t usages) with(w value.Work, now hoist.Millis) usages {
	if t.since == 0 {
		t.since = now
	}
	tokens, workspace, rank := float64(promptTokens(w)), w.Workspace(), w.Rank()
	for i := range t.list.Len() {
		if u := t.list.At(i); u.rank == rank && u.workspace == workspace {
			u = u.decayed(now)
			u.recent += tokens
			u.usual += tokens * min(1, usualExcess/t.growth(u, now))
			t.list = t.list.With(i, u)
			return t
		}
	}
	u := usage{workspace, rank, tokens, tokens, now}
	if t.list.Len() < maxUsages {
		t.list = t.list.Append(u)
		return t
	}
	least, lowest := 0, math.Inf(1)
	for i := range t.list.Len() {
		if r := t.list.At(i).decayed(now).recent; r < lowest {
			least, lowest = i, r
		}
	}
	t.list = t.list.With(least, u)
	return t
}

// growth returns the multiple of what it usually sends that the workspace has sent lately.
func (t usages) growth(u usage, now hoist.Millis) float64 {
	recentTime, usualTime := t.times(now)
	if recentTime == 0 || u.usual == 0 {
		return 1
	}
	return (u.recent / recentTime) / (u.usual / usualTime)
}

// times returns the times that the sums are worth. A sum that decays with a time constant is worth its rate times the
// constant, or less at the start of the state.
func (t usages) times(now hoist.Millis) (recent, usual float64) {
	known := float64(now - t.since)
	recent = float64(recentWindow) * (1 - math.Exp(-known/float64(recentWindow)))
	return recent, float64(usualWindow) * (1 - math.Exp(-known/float64(usualWindow)))
}

// excess returns the multiple of its share that the workspace of the request has sent lately at its rank. The share is
// the greater of what the workspace usually sends and of an equal part of what all workspaces of the rank have sent, divided
// among those that sent something within activeWindow.
func (t usages) excess(w value.Work, now hoist.Millis) float64 {
	var own usage
	var total, active float64
	for u := range t.list.All() {
		if u.rank != w.Rank() {
			continue
		}
		if now-u.at <= activeWindow {
			active++
		}
		u = u.decayed(now)
		total += u.recent
		if u.workspace == w.Workspace() {
			own = u
		}
	}
	recentTime, usualTime := t.times(now)
	if own.recent == 0 || recentTime == 0 {
		return 0
	}
	return (own.recent / recentTime) / max(own.usual/usualTime, total/max(active, 1)/recentTime)
}

// promptTokens returns the length of the prompt.
func promptTokens(w value.Work) int64 {
	var n int64
	for p := range w.Parts().All() {
		n += int64(p.Tokens())
	}
	return n
}
