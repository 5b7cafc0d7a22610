package relay_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// outcomes maps the verbs of the scripts to outcomes.
var outcomes = map[string]relay.Outcome{
	"unsent": relay.Unsent{}, "not-run": relay.NotRun{}, "response-lost": relay.ResponseLost{}, "server-error": relay.ServerError{},
	"interrupted": relay.Interrupted{}, "completed": relay.Completed{}, "disconnected": relay.CallerDisconnected{}, "expired": relay.Expired{},
}

// Guards against steps that run a request twice, that report a request as not run although it may have run, or that
// give up although another server could serve it.
var _ = DescribeTable("steps", func(c golden.Case) {
	var p relay.Progress
	Expect(golden.RunScript(c.Input, func(l golden.Line) string {
		if l.Verb == "request" {
			p = relay.Progress{Repeatable: l.Has("repeatable"), MaxRuns: int(l.Int("attempts")), Deadline: hoist.Millis(l.Int("end"))}
			return ""
		}
		if l.Verb == "unplaced" {
			step := p.StepUnplaced(l.Has("error"))
			return strings.TrimPrefix(fmt.Sprintf("%T%+v", step, step), "relay.")
		}
		o, ok := outcomes[l.Verb]
		Expect(ok).To(BeTrue(), l.Verb)
		p.Started = p.Started || l.Has("started")
		var step relay.Step
		p, step = p.Next(o, hoist.Millis(l.Int("at")))
		return strings.TrimPrefix(fmt.Sprintf("%T%+v", step, step), "relay.")
	})).To(golden.Match(c.Path))
}, func() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata/progress") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}())
