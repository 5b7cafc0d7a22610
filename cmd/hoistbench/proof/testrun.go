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

// maxPrintedViolations bounds the violations that are printed for one scenario.
const maxPrintedViolations = 12

// testRun is the run of one scenario.
type testRun struct {
	*fleet
	name       string
	mutex      sync.Mutex
	checks     int
	violations int
	details    []string
	figures    []string
}

// check counts a check and records the violation if it fails.
func (t *testRun) check(ok bool, format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.checks++
	if ok {
		return
	}
	t.violations++
	if len(t.details) < maxPrintedViolations {
		t.details = append(t.details, fmt.Sprintf(format, args...))
	}
}

// checkStep counts a step of the scenario itself as a check.
func (t *testRun) checkStep(err error, step string) bool {
	t.check(err == nil, "%s: %v", step, err)
	return err == nil
}

// figure records a measured value for the result line.
func (t *testRun) figure(name string, value any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.figures = append(t.figures, fmt.Sprintf("%s %v", name, value))
}

// print prints the result line and the recorded violations.
func (t *testRun) print(w io.Writer) {
	line := append([]string{"scenario", t.name}, t.figures...)
	_, _ = fmt.Fprintf(w, "%s checks %d violations %d\n", strings.Join(line, " "), t.checks, t.violations)
	for _, n := range t.details {
		_, _ = fmt.Fprintf(w, "# violation: %s\n", n)
	}
}

// wait pauses the scenario.
func (t *testRun) wait(duration hoist.Millis) { <-t.clock.After(duration) }

// checkComplete checks that every request received its complete response, except those that excused selects.
//
// An excused request must still never receive a wrong response.
func (t *testRun) checkComplete(records []record, excused func(record) bool) {
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

// noneExcused excuses no request.
func noneExcused(record) bool { return false }

// executionCounts returns the number of executions of each call at the plain service.
func (t *testRun) executionCounts(ctx context.Context) map[string]int32 {
	b, err := t.controlCall(ctx, http.MethodGet, t.service.address, "/executions", nil)
	m := &message.Executions{}
	if err == nil {
		err = pbjson.Unmarshal(b, m)
	}
	t.checkStep(err, "read executions")
	counts := map[string]int32{}
	for _, x := range m.GetExecutions() {
		counts[x.GetCall()] = x.GetRuns()
	}
	return counts
}

// checkAtMostOnce checks that no plain call ran twice, and that none ran if every send was reported as not run.
func (t *testRun) checkAtMostOnce(ctx context.Context, x *traffic, records []record) {
	counts := t.executionCounts(ctx)
	calls := 0
	for _, r := range records {
		if !r.plainCall {
			continue
		}
		calls++
		n := counts[x.callID(r.number)]
		t.check(n <= 1, "%v: ran %d times", r, n)
		t.check(!r.allNotRun || n == 0, "%v: ran although every send was reported as not run", r)
	}
	t.figure("calls", calls)
}

// generation is the configuration version that a router has in force.
type generation struct {
	number uint64
	digest string
}

// watchGenerations checks until ctx ends that no router process replaces a generation with an older one.
func (t *testRun) watchGenerations(ctx context.Context) {
	inForce := map[string]uint64{}
	for {
		for _, r := range t.routers {
			s, err := t.routerStatus(ctx, r)
			if err != nil {
				continue
			}
			previous := inForce[s.GetIncarnation()]
			t.check(s.GetGeneration() >= previous, "%s replaced generation %d with generation %d", r.name, previous, s.GetGeneration())
			inForce[s.GetIncarnation()] = s.GetGeneration()
		}
		select {
		case <-t.clock.After(4 * pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// inForce returns the configuration version in force on a router.
func (t *testRun) inForce(ctx context.Context, r *router) (generation, error) {
	s, err := t.routerStatus(ctx, r)
	return generation{s.GetGeneration(), s.GetDigest()}, err
}

// checkReports checks that no stand-in failed and that no router logged a violated invariant or a crash.
func (t *testRun) checkReports(offsets map[string]int64) {
	for _, s := range t.takeReportedFaults() {
		t.check(false, "%s", s)
	}
	for _, r := range t.routers {
		lines, next := violationLines(filepath.Join(t.folder, r.name+".log"), offsets[r.name])
		offsets[r.name] = next
		t.check(len(lines) == 0, "%s logged: %s", r.name, strings.Join(lines, " "))
	}
}

// violationLines returns the log lines after the offset that report a violated invariant or a crash of the process, and the
// offset for the next call.
func violationLines(file string, offset int64) ([]string, int64) {
	content, err := os.ReadFile(file)
	if err != nil || int64(len(content)) < offset {
		return nil, offset
	}
	var found []string
	lines := bufio.NewScanner(bytes.NewReader(content[offset:]))
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		l := lines.Text()
		if strings.Contains(l, "invariant violated") || strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			found = append(found, l)
		}
	}
	return found, int64(len(content))
}

// sumCounter returns the sum of a counter over all routers.
func (t *testRun) sumCounter(ctx context.Context, name string) float64 {
	sum := 0.0
	for _, r := range t.routers {
		b, err := t.controlCall(ctx, http.MethodGet, r.adminAddress, "/metrics", nil)
		if !t.checkStep(err, "read metrics") {
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
