package proof

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/load"
	"chicoryhoist.example/hoist/cmd/standin/message"
	"chicoryhoist.example/hoist/cmd/standin/pbjson"
)

// maxNotes bounds the violations that one scenario describes.
const maxNotes = 12

// trial is the run of one scenario.
type trial struct {
	*fleet
	name       string
	mutex      sync.Mutex
	checks     int
	violations int
	notes      []string
	figures    []string
}

// check counts a check and describes its violation.
func (t *trial) check(ok bool, format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.checks++
	if ok {
		return
	}
	t.violations++
	if len(t.notes) < maxNotes {
		t.notes = append(t.notes, fmt.Sprintf(format, args...))
	}
}

// must counts a check of a step of the scenario itself.
func (t *trial) must(err error, what string) bool {
	t.check(err == nil, "%s: %v", what, err)
	return err == nil
}

// figure keeps a measured value for the printed line.
func (t *trial) figure(name string, value any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.figures = append(t.figures, fmt.Sprintf("%s %v", name, value))
}

// write prints the result.
func (t *trial) write(w io.Writer) {
	line := append([]string{"scenario", t.name}, t.figures...)
	_, _ = fmt.Fprintf(w, "%s checks %d violations %d\n", strings.Join(line, " "), t.checks, t.violations)
	for _, n := range t.notes {
		_, _ = fmt.Fprintf(w, "# violation: %s\n", n)
	}
}

// pause waits within the scenario.
func (t *trial) pause(length hoist.Millis) { <-t.clock.After(length) }

// whole checks that every request ended with its whole answer, except those that excused names.
//
// A request that is excused must still never get a wrong answer.
func (t *trial) whole(records []record, excused func(record) bool) {
	affected := 0
	for _, r := range records {
		t.check(r.outcome != load.Wrong, "%v", r)
		if excused(r) {
			if r.outcome != load.Complete {
				affected++
			}
			continue
		}
		t.check(r.outcome == load.Complete, "%v", r)
	}
	t.figure("requests", len(records))
	t.figure("affected", affected)
}

// nobody excuses no request.
func nobody(record) bool { return false }

// runs returns how often the plain service has run each call.
func (t *trial) runs(ctx context.Context) map[string]int32 {
	b, err := t.fetch(ctx, http.MethodGet, t.service.address, "/executions", nil)
	m := &message.Executions{}
	if err == nil {
		err = pbjson.Unmarshal(b, m)
	}
	t.must(err, "read executions")
	counts := map[string]int32{}
	for _, x := range m.GetExecutions() {
		counts[x.GetCall()] = x.GetRuns()
	}
	return counts
}

// once checks that no plain call ran twice and that none ran whose every send was answered as not run.
func (t *trial) once(ctx context.Context, x *traffic, records []record) {
	counts := t.runs(ctx)
	calls := 0
	for _, r := range records {
		if !r.plain {
			continue
		}
		calls++
		n := counts[x.id(r.number)]
		t.check(n <= 1, "%v: ran %d times", r, n)
		t.check(!r.refused || n == 0, "%v: ran although its caller was told that it did not", r)
	}
	t.figure("calls", calls)
}

// generation is what a router process has in force.
type generation struct {
	number uint64
	digest string
}

// watch checks until ctx ends that no router process goes back to an older generation.
func (t *trial) watch(ctx context.Context) {
	held := map[string]uint64{}
	for {
		for _, r := range t.routers {
			s, err := t.status(ctx, r)
			if err != nil {
				continue
			}
			before := held[s.GetIncarnation()]
			t.check(s.GetGeneration() >= before, "%s went back from generation %d to %d", r.name, before, s.GetGeneration())
			held[s.GetIncarnation()] = s.GetGeneration()
		}
		select {
		case <-t.clock.After(4 * pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// inForce returns what the router has in force.
func (t *trial) inForce(ctx context.Context, r *router) (generation, error) {
	s, err := t.status(ctx, r)
	return generation{s.GetGeneration(), s.GetDigest()}, err
}

// audit checks what the routers themselves and the stand-ins have reported.
func (t *trial) audit(offsets map[string]int64) {
	for _, s := range t.reported() {
		t.check(false, "%s", s)
	}
	for _, r := range t.routers {
		lines, next := violationLines(filepath.Join(t.folder, r.name+".log"), offsets[r.name])
		offsets[r.name] = next
		t.check(len(lines) == 0, "%s reports: %s", r.name, strings.Join(lines, " "))
	}
}

// violationLines returns the lines of a log behind the offset that report a violated invariant or a crash of
// the process, and the next offset.
func violationLines(file string, offset int64) ([]string, int64) {
	content, err := os.ReadFile(file)
	if err != nil || int64(len(content)) < offset {
		return nil, offset
	}
	var found []string
	lines := bufio.NewScanner(bytes.NewReader(content[offset:]))
	lines.Buffer(nil, maxAnswer)
	for lines.Scan() {
		l := lines.Text()
		if strings.Contains(l, "invariant violated") || strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			found = append(found, l)
		}
	}
	return found, int64(len(content))
}

// counter returns the sum of a counter over all routers.
func (t *trial) counter(ctx context.Context, name string) float64 {
	sum := 0.0
	for _, r := range t.routers {
		b, err := t.fetch(ctx, http.MethodGet, r.admin, "/metrics", nil)
		if !t.must(err, "read metrics") {
			continue
		}
		for _, line := range strings.Split(string(b), "\n") {
			key, number, _ := strings.Cut(line, " ")
			if !strings.HasPrefix(line, "#") && strings.HasSuffix(key, name) {
				n, _ := strconv.ParseFloat(number, 64)
				sum += n
			}
		}
	}
	return sum
}
