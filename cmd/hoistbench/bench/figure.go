package bench

import (
	"fmt"
	"io"
	"math"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/hoistbench/sim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figure is one measured value, with its bound if the design page states one.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	bound bound
}

// bound is the stated limit of a figure.
//
//sumtype:decl
type bound interface{ isBound() }

// unbounded marks a figure without a stated limit.
type unbounded struct{}

// atLeast and atMost are inclusive limits.
type (
	atLeast struct{ limit float64 }
	atMost  struct{ limit float64 }
)

func (unbounded) isBound() {}
func (atLeast) isBound()   {}
func (atMost) isBound()    {}

// Met reports whether the figure meets its bound; a figure without a bound always does.
func (f Figure) Met() bool {
	switch b := f.bound.(type) {
	case unbounded:
		return true
	case atLeast:
		return f.Value >= b.limit
	case atMost:
		return f.Value <= b.limit
	}
	return false
}

// write prints the figure as a name, a value and a unit.
func (f Figure) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s %.4g %s\n", f.Name, f.Value, f.Unit)
}

// writeBound prints whether the figure meets its bound; it prints nothing for a figure without one.
func (f Figure) writeBound(w io.Writer) {
	verdict := "missed"
	if f.Met() {
		verdict = "met"
	}
	switch b := f.bound.(type) {
	case unbounded:
	case atLeast:
		_, _ = fmt.Fprintf(w, "bound %s %.4g >= %.4g %s\n", f.Name, f.Value, b.limit, verdict)
	case atMost:
		_, _ = fmt.Fprintf(w, "bound %s %.4g <= %.4g %s\n", f.Name, f.Value, b.limit, verdict)
	}
}

// attainment returns the proportion of the class's requests sent in the window that met
// the first-token target and have not failed.
func (w *world) attainment(c Class) float64 {
	met, all := 0, 0
	for _, r := range w.requests {
		if r.class.Name != c.Name || !w.tally.inWindow(r.sentAt) {
			continue
		}
		all++
		if latency, ok := r.firstTokenLatency(w.scenario.Site); ok && latency <= c.FirstTokenTarget && !w.failed(r) {
			met++
		}
	}
	return float64(met) / float64(max(1, all))
}

// failed reports whether the request ended without a complete response.
func (w *world) failed(r *request) bool { return r.done && !r.ran }

// goodput returns the slot time spent in the window on requests that have not failed, relative to all slot time of the window.
func (w *world) goodput() float64 {
	var useful float64
	for _, r := range w.requests {
		if w.failed(r) {
			continue
		}
		useful += float64(r.windowTokens) * float64(serverSpeed.TokenMs)
		if r.firstTokenAt != 0 && w.tally.inWindow(r.firstTokenAt) {
			useful += float64(r.class.PromptTokens / serverSpeed.PromptTokensPerMs)
		}
	}
	window := float64((w.scenario.To - w.scenario.From).Millis())
	return useful / (window * float64(slotsPerServer*w.scenario.Site.Servers))
}

// waste returns the wasted tokens of preempted, hedged and lost attempts, relative to all produced tokens.
func (w *world) waste() float64 {
	return float64(w.tally.wastedTokens) / float64(max(1, w.tally.producedTokens))
}

// firstTokenLatencies returns the first-token latencies of the class's ordinary requests sent in the window;
// a request without a first token counts with maxLatencyMs, so that refusals can't improve the figure.
func (w *world) firstTokenLatencies(c Class) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatencyMs, 3)
	for _, r := range w.requests {
		if r.class.Name != c.Name || r.long || !w.tally.inWindow(r.sentAt) {
			continue
		}
		latency, ok := r.firstTokenLatency(w.scenario.Site)
		if !ok {
			latency = maxLatencyMs
		}
		_ = h.RecordValue(int64(latency))
	}
	return h
}

// longestWait returns, for the class's requests sent in the window, the longest time from sending until the router has
// the first token or the request ends without one, and the number of requests without a first token.
func (w *world) longestWait(c Class) (longest hoist.Millis, unserved int) {
	for _, r := range w.requests {
		if r.class.Name != c.Name || !w.tally.inWindow(r.sentAt) {
			continue
		}
		end := r.firstTokenAt
		if end == 0 {
			unserved++
			end = w.scenario.Duration
			if r.done {
				end = r.endedAt
			}
		}
		longest = max(longest, (end - r.sentAt).Millis())
	}
	return longest, unserved
}

// ratio returns a/b, or infinity if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return math.Inf(1)
	}
	return a / b
}

// p99 returns the 99th percentile in milliseconds.
func p99(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) }

// seconds returns n seconds of simulated time.
func seconds(n int) sim.Micros { return sim.Micros(n) * sim.Second }
