package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chicoryhoist.example/hoist"
)

// maxLatencyMs is the highest value that the histogram of first-token latencies records.
const maxLatencyMs = 120_000

// Outcome is the outcome of one request as its caller saw it.
type Outcome int

// Outcome values.
const (
	// Complete responses match the expected response byte for byte.
	Complete Outcome = iota
	// NotRun requests were refused, and the error response says that they were not run.
	NotRun
	// Unknown requests got an error response that leaves open whether they were run.
	Unknown
	// Truncated responses ended before the expected response was complete.
	Truncated
	// Wrong responses differ from the expected response.
	Wrong
	// Unreached requests got no response from a router.
	Unreached
)

// outcomeCount is the number of Outcome values.
const outcomeCount = 6

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"whole", "not-run", "unknown", "cut", "wrong", "unreached"}[o]
}

// classStats holds the outcomes and the first-token latencies of one class.
type classStats struct {
	counts     [outcomeCount]int
	onTarget   int
	firstToken *hdrhistogram.Histogram
}

// Tally counts outcomes by class; it is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	classes  map[string]*classStats
	examples []string
}

// maxExamples bounds the examples of incomplete requests that a tally keeps.
const maxExamples = 8

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{classes: map[string]*classStats{}} }

// Add counts one request; firstTokenDelay is ignored unless the response is complete.
func (t *Tally) Add(class string, o Outcome, firstTokenDelay, target hoist.Millis, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.classes[class]
	if !ok {
		f = &classStats{firstToken: hdrhistogram.New(1, maxLatencyMs, 3)}
		t.classes[class] = f
	}
	f.counts[o]++
	if o == Complete {
		_ = f.firstToken.RecordValue(int64(firstTokenDelay))
		if firstTokenDelay <= target {
			f.onTarget++
		}
	}
	if o != Complete && len(t.examples) < maxExamples {
		t.examples = append(t.examples, class+" "+o.String()+": "+detail)
	}
}

// Count returns the number of requests with the outcome over all classes.
func (t *Tally) Count(o Outcome) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, f := range t.classes {
		n += f.counts[o]
	}
	return n
}

// Served reports whether each of the classes got at least one complete response.
func (t *Tally) Served(classes ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range classes {
		if f, ok := t.classes[c]; !ok || f.counts[Complete] == 0 {
			return false
		}
	}
	return true
}

// Print writes the attainment of the target, the first-token latencies and the outcome counts by class.
func (t *Tally) Print(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Sorted(maps.Keys(t.classes)) {
		f := t.classes[c]
		total := 0
		for _, n := range f.counts {
			total += n
		}
		_, _ = fmt.Fprintf(w, "%s attainment %.4f ratio\n", c, float64(f.onTarget)/float64(max(1, total)))
		_, _ = fmt.Fprintf(w, "%s first_token_p50 %d ms\n", c, f.firstToken.ValueAtQuantile(50))
		_, _ = fmt.Fprintf(w, "%s first_token_p99 %d ms\n", c, f.firstToken.ValueAtQuantile(99))
		for o, n := range f.counts {
			_, _ = fmt.Fprintf(w, "%s %s %d requests\n", c, Outcome(o), n)
		}
	}
	for _, n := range t.examples {
		_, _ = fmt.Fprintf(w, "# %s\n", n)
	}
}
