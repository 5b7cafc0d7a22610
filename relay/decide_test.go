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

// outcomes names the outcomes of attempts in scripts.
var outcomes = map[string]relay.Outcome{
	"unsent": relay.Unsent{}, "not-run": relay.NotRun{}, "lost": relay.ResponseLost{}, "failed": relay.ServerError{},
	"cut": relay.Interrupted{}, "whole": relay.Completed{}, "left": relay.CallerDisconnected{}, "expired": relay.Expired{},
}

// A changed step runs a request twice, says falsely that it has not run, or gives up where another server may serve it.
var _ = DescribeTable("steps", func(c golden.Case) {
	var p relay.Progress
	Expect(golden.RunScript(c.Input, func(l golden.Line) string {
		if l.Verb == "request" {
			p = relay.Progress{Repeatable: l.Has("repeatable"), MaxRuns: int(l.Int("attempts")), Deadline: hoist.Millis(l.Int("end"))}
			return ""
		}
		o, ok := outcomes[l.Verb]
		Expect(ok).To(BeTrue(), l.Verb)
		p.Started = p.Started || l.Has("started")
		var step relay.Step
		p, step = p.Next(o, !l.Has("spent"), hoist.Millis(l.Int("at")))
		return strings.TrimPrefix(fmt.Sprintf("%T%+v", step, step), "relay.")
	})).To(golden.Match(c.Path))
}, func() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata/decide") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}())
