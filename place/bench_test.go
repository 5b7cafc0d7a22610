package place_test

import (
	"fmt"
	"testing"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// busyTable returns 32 servers with 14 of 16 slots in use and the prefixes of the running requests.
func busyTable() place.Table {
	var instances []value.Instance
	for i := range 32 {
		instances = append(instances, value.Instance{}.WithName(fmt.Sprintf("engine-%02d", i)).WithDatacentre("dc1"))
	}
	t := place.Table{}.Sync(value.ListOf(instances...), 16)
	for i := range uint64(32 * 14) {
		t = t.Start(fmt.Sprintf("engine-%02d", i%32), place.NewRunningAttempt(ask(i), 2, hoist.Millis(i)))
		t = t.RecordProgress(value.Progress{}.WithAttempt(ask(i).Attempt()).WithTokens(1).WithFirstTokenMs(200).WithInterTokenMs(30), hoist.Millis(i))
	}
	return t
}

func ask(i uint64) value.Ask {
	a := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(i % 520).WithRequest(i).WithNumber(1)).
		WithPromptTokens(1000).WithRepeatable(true).WithModel("base").WithDatacentre("dc1")
	p := make([]uint64, 16)
	for j := range p {
		p[j] = i/4*0x9e3779b97f4a7c15 + uint64(j)
	}
	return a.WithPrefixes(value.ListOf(p...))
}

func BenchmarkChoose(b *testing.B) {
	t := busyTable()
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		t.Choose(place.Requirements{Ask: ask(i % 448), Rank: 1, ArrivedAt: 1}, 1000)
	}
}

// BenchmarkSecond measures the work for one second of a shard of the target size: 350 requests and 1,500 events.
// One percent of a core is 10 ms per operation.
func BenchmarkSecond(b *testing.B) {
	t := busyTable()
	now := hoist.Millis(1000)
	next := uint64(32 * 14)
	b.ReportAllocs()
	for b.Loop() {
		for i := range uint64(350) {
			now += hoist.Millis(i % 3)
			a := ask(next)
			old := ask(next - 448).Attempt()
			t = t.End(value.End{}.WithAttempt(old).WithKind(value.EndKindFinished), now)
			if c, ok := t.Choose(place.Requirements{Ask: a, Rank: 2}, now).(place.Chosen); ok {
				t = t.Start(c.Server.Name(), place.NewRunningAttempt(a, 2, now))
			}
			for j := range uint64(2) {
				p := value.Progress{}.WithAttempt(ask(next - 200*j).Attempt()).WithTokens(int32(1 + j*9))
				t = t.RecordProgress(p.WithFirstTokenMs(200).WithInterTokenMs(30), now)
			}
			next++
		}
	}
}
