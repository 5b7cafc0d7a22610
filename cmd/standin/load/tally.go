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

// maxLatencyMs bounds the first-token histogram, in milliseconds.
const maxLatencyMs = 120_000

// Outcome of one request as its caller saw it.
type Outcome int

// Outcome values.
const (
	// Complete answers match the expected answer byte for byte.
	Complete Outcome = iota
	// NotRun requests were refused and reported as not run.
	NotRun
	// Unknown requests were reported as possibly run.
	Unknown
	// Truncated answers ended early.
	Truncated
	// Wrong answers differ from the expected answer.
	Wrong
	// Unreached requests found no router.
	Unreached
)

// outcomeCount is the number of Outcome values.
const outcomeCount = 6

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"whole", "not-run", "unknown", "cut", "wrong", "unreached"}[o]
}

// classStats are the counts of one class.
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

// maxExamples bounds the examples of bad outcomes that a tally keeps.
const maxExamples = 8

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{classes: map[string]*classStats{}} }

// Add counts one request; first is zero when no token arrived.
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

// Served reports whether each of the classes got at least one whole answer.
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

// Print writes attainment, first-token times and outcome counts by class.
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
