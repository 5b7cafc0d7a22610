package assign_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/value"
)

func TestAssign(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assign")
}

// number parses a decimal number.
func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// servers parses servers of the form ID:DATACENTRE:SLOTS, with the suffixes :leaving, :evacuated, and :born=TIME for one that
// started at the time; a data centre may be followed by its region, as in x@north.
func servers(fields []string) value.List[value.BackendServer] {
	var list []value.BackendServer
	for _, f := range fields {
		p := strings.Split(f, ":")
		datacentre, region, _ := strings.Cut(p[1], "@")
		list = append(list, value.BackendServer{}.WithId(p[0]).WithDatacentre(datacentre).WithRegion(region).WithSlots(int32(number(p[2]))).
			WithLeaving(slices.Contains(p[3:], "leaving")).WithEvacuated(slices.Contains(p[3:], "evacuated")))
		if len(p) > 3 && strings.HasPrefix(p[3], "born=") {
			list[len(list)-1] = list[len(list)-1].WithBorn(number(strings.TrimPrefix(p[3], "born=")))
		}
	}
	return value.ListOf(list...)
}

// work parses the request of a line; prompt parts have the form ID:TOKENS.
func work(l golden.Line) value.Work {
	w := value.Work{}.WithId(uint64(l.Int("id"))).WithRank(int32(l.Int("rank"))).WithArrivedMs(l.Int("at")).WithTargetMs(250).
		WithEndMs(l.Int("at") + 5000).WithAvoid(value.ListOf(l.List("avoid")...)).WithOrigin(l.Text("from")).WithDatacentre("x").
		WithRetry(l.Has("retry")).WithRegions(value.ListOf(l.List("regions")...)).
		WithWorkspace(l.Text("workspace")).WithFingerprint(uint64(l.Int("fingerprint")))
	if l.Has("end") {
		w = w.WithEndMs(l.Int("end"))
	}
	for _, f := range l.List("parts") {
		id, tokens, _ := strings.Cut(f, ":")
		w = w.WithParts(w.Parts().Append(value.PromptPart{}.WithId(uint64(number(id))).WithTokens(int32(number(tokens)))))
	}
	return w
}

// runs parses running requests of the form ID:SERVER:UNCACHED.
func runs(l golden.Line) value.List[value.PlaceRun] {
	var list []value.PlaceRun
	for _, f := range l.List("runs") {
		p := strings.Split(f, ":")
		w := value.Work{}.WithId(uint64(number(p[0]))).WithOrigin(l.Text("from"))
		list = append(list, value.PlaceRun{}.WithWork(w).WithServer(p[1]).WithFresh(int32(number(p[2]))))
	}
	return value.ListOf(list...)
}

// granted parses the IDs of granted requests.
func granted(l golden.Line) value.List[uint64] {
	var ids []uint64
	for _, f := range l.List("granted") {
		ids = append(ids, uint64(number(f)))
	}
	return value.ListOf(ids...)
}

// results maps the results of requests in scripts.
var results = map[string]assign.Result{
	"done": assign.ResultOK, "cancelled": assign.ResultCancelled, "queue-full": assign.ResultQueueFull, "wrong-server": assign.ResultWrongServer, "error": assign.ResultError, "unreachable": assign.ResultUnreachable,
}

// decode returns the event of a line.
func decode(l golden.Line) assign.Event {
	id := uint64(l.Int("id"))
	switch l.Verb {
	case "servers":
		return assign.ServersUpdated{Servers: servers(l.List("list"))}
	case "submit":
		return assign.Submitted{Work: work(l)}
	case "responded":
		load := value.ServerLoad{}.WithSlowness(int32(l.Int("slowness"))).WithWaiting(int32(l.Int("waiting")))
		return assign.Responded{ID: id, Load: load, Loaded: l.Has("slowness")}
	case "finished":
		return assign.Finished{ID: id, Result: results[l.Text("result")]}
	case "cancelled":
		return assign.Cancelled{ID: id}
	case "placed":
		p := value.PlaceRun{}.WithWork(work(l)).WithServer(l.Text("server")).WithFresh(int32(l.Int("uncached")))
		return assign.Placed{Run: p, By: l.Text("by")}
	case "reconcile":
		return assign.RunsReported{Origin: l.Text("from"), Granted: granted(l), Runs: runs(l)}
	case "leaving":
		return assign.LeavingReported{Server: l.Text("server")}
	case "paused":
		return assign.Paused{Server: l.Text("server"), Origin: l.Text("from"), Until: hoist.Millis(l.Int("until"))}
	case "lost":
		return assign.InstanceLost{Origin: l.Text("from")}
	case "owner-limits":
		return assign.RetryLimitsChanged{Limits: assign.OwnerRetryLimits(float64(l.Int("slack")), l.Int("permille"), int(l.Int("shards")))}
	case "local-limits":
		return assign.RetryLimitsChanged{Limits: assign.LocalRetryLimits(float64(l.Int("slack")), l.Int("permille"), int(l.Int("shards")), int(l.Int("instances")))}
	case "rules":
		return assign.RulesChanged{Rules: assign.Rules{Engines: l.Has("engines"), Speeds: l.Has("speeds"), Plain: l.Has("plain"), Owner: l.Has("owner")}}
	case "local":
		return assign.LocalPlacementChanged{Local: l.Has("on")}
	case "tick":
		return assign.Ticked{}
	default:
		return decodeCold(l)
	}
}

// show formats an effect.
func show(e assign.Effect) string {
	switch e := e.(type) {
	case assign.Grant:
		return fmt.Sprintf("grant %d at %s uncached=%d pending=%d running=%d", e.ID, e.Server.Id(), e.Basis.UncachedTokens, e.Basis.PendingTokens, e.Basis.Running)
	case assign.Refuse:
		if i := e.Inputs; e.Reason.Early() {
			return fmt.Sprintf("reject %d after=%d %s expected=%d left=%d taken=%d/%d waiting=%d excess=%.1f", e.ID, e.After, e.Reason, i.Expected, i.Left, i.Taken, i.Slots, i.Waiting, i.Excess)
		}
		return fmt.Sprintf("reject %d after=%d %s", e.ID, e.After, e.Reason)
	case assign.Queued:
		return fmt.Sprintf("queued %d", e.ID)
	case assign.TakenCold:
		return fmt.Sprintf("cold %s for=%d %s", e.Server.Id(), e.Left, e.Reason)
	default:
		return "unknown"
	}
}

// showModels formats the learned models.
func showModels(s assign.State) string {
	rate, models := s.Models()
	out := fmt.Sprintf("rate=%.1f", rate)
	for _, m := range models {
		out += fmt.Sprintf(" %s=%.2f", m.Server, m.Factor)
	}
	return out
}

// Guards against transitions that grant a leaving, evacuated, failing or overloaded server while a better one is available, or
// one outside the regions of the request, that lose or duplicate a request, or that reject a request which could run.
var _ = DescribeTable("scripts", func(c golden.Case) {
	s := assign.New()
	Expect(golden.RunScript(c.Input, func(l golden.Line) string {
		if l.Verb == "report" {
			ids, others := s.Holding(l.Text("from"), l.Text("owner"), hoist.Millis(l.Int("at")))
			return fmt.Sprintf("granted=%d others=%d", ids.Len(), others.Len())
		}
		if l.Verb == "cold-for" {
			return fmt.Sprintf("cold for=%d", s.ColdFor(l.Text("server"), hoist.Millis(l.Int("at"))))
		}
		if l.Verb == "sustains" {
			has := func(w value.Work) bool { return w.Id() == uint64(l.Int("id")) }
			return fmt.Sprint(s.Sustains(has, hoist.Millis(l.Int("at"))))
		}
		if l.Verb == "model" {
			return showModels(s)
		}
		if l.Verb == "load" {
			x := s.Load(hoist.Millis(l.Int("at")))
			return fmt.Sprintf("servers=%d pending=%.0f waiting=%d", x.Servers(), x.PendingMs(), x.Waiting())
		}
		var effects []assign.Effect
		s, effects = s.Decide(decode(l), hoist.Millis(l.Int("at")))
		var out strings.Builder
		for _, e := range effects {
			out.WriteString(show(e) + "\n")
		}
		fmt.Fprintf(&out, "running=%d waiting=%d", s.Running(), s.Waiting())
		return out.String()
	})).To(golden.Match(c.Path))
}, func() []TableEntry {
	var entries []TableEntry
	for _, c := range golden.Cases("testdata") {
		entries = append(entries, Entry(c.Name, c))
	}
	return entries
}())
