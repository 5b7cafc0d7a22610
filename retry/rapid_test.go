package retry_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/golden"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

func init() { golden.FixSeed() }

// TestMerge guards against routers whose tables never agree, which occurs when the result of merging items
// depends on their order or repetition.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		charge := rapid.Custom(func(t *rapid.T) value.Charge {
			return value.Charge{}.WithServer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")).
				WithAtMs(int64(rapid.IntRange(0, 20000).Draw(t, "at"))).WithBorn(rapid.Int64Range(0, 2).Draw(t, "born"))
		})
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) value.Quarantine {
			return value.Quarantine{}.WithFingerprint(rapid.Uint64Range(1, 3).Draw(t, "fingerprint")).
				WithCharges(value.ListOf(rapid.SliceOfN(charge, 1, 10).Draw(t, "charges")...)).
				WithClearedMs(int64(rapid.IntRange(0, 15000).Draw(t, "cleared"))).WithDepth(rapid.Int32Range(0, 2).Draw(t, "depth"))
		}), 1, 8).Draw(t, "items")
		again := rapid.Permutation(slices.Concat(items, items)).Draw(t, "order")

		now, shared := hoist.Millis(20000), rapid.Bool().Draw(t, "shared")
		merge := func(items []value.Quarantine) retry.Suspects {
			x := retry.NewSuspects(hoist.Minute)
			if shared {
				x = x.WithSharedContent(10 * hoist.Second)
			}
			for _, q := range items {
				x = x.Merged(q, now)
			}
			return x
		}
		one, two := merge(items), merge(again)
		if a, b := fmt.Sprint(one.Items(now)), fmt.Sprint(two.Items(now)); a != b {
			t.Fatalf("tables differ:\n%s\n%s", a, b)
		}
		for f := range uint64(4) {
			if a, b := one.Status(f, now), two.Status(f, now); a != b {
				t.Fatalf("standing of %d differs: %v, %v", f, a, b)
			}
		}
	})
}

// TestCrashCost guards against content that crashes one server after another. It is sent repeatedly through all
// routers while other content runs on the same servers; it may crash two servers, and no other content may be quarantined.
func TestCrashCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]retry.State, rapid.IntRange(1, 6).Draw(t, "routers"))
		for i := range routers {
			routers[i] = retry.New(retry.Limits{}.WithQuarantine(10 * hoist.Minute))
		}
		const poison = 666
		now, crashes := hoist.Millis(1_000_000), 0
		broadcast := func(from int, v retry.Verdict) {
			x, ok := v.(retry.Broadcast)
			for i := range routers {
				if !ok || i == from {
					continue
				}
				for q := range x.Items.All() {
					routers[i], _ = routers[i].Decide(retry.QuarantineReceived{Item: q}, now)
				}
			}
		}
		decide := func(i int, e retry.Event) retry.Verdict {
			s, v := routers[i].Decide(e, now)
			routers[i] = s
			broadcast(i, v)
			return v
		}
		rerun := func(i int, f uint64) {
			v := decide(i, retry.Requested{Fingerprint: f, Kind: value.EndKindCrashed})
			if a, ok := v.(retry.Allow); ok && a.Alone {
				now += 50
				decide(i, retry.TrialEnded{Fingerprint: f, Kind: value.EndKindFinished})
			}
		}
		for range 20 {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			now += hoist.Millis(rapid.IntRange(0, 20000).Draw(t, "pause"))
			others := rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 5).Draw(t, "others")
			v := decide(i, retry.RequestArrived{Fingerprint: poison})
			for {
				a, ok := v.(retry.Allow)
				if !ok {
					break
				}
				if a.Alone {
					others = nil
				}
				crashes++
				now += 100
				server := fmt.Sprint("server-", crashes)
				decide(i, retry.Crashed{Server: server, Fingerprints: value.ListOf(append(others, poison)...)})
				if a.Alone {
					decide(i, retry.TrialEnded{Fingerprint: poison, Kind: value.EndKindCrashed})
				}
				v = decide(i, retry.Requested{Fingerprint: poison, Kind: value.EndKindCrashed})
				for _, f := range others {
					rerun(i, f)
				}
			}
		}
		if crashes > 2 {
			t.Fatalf("%d servers crashed", crashes)
		}
		for f := range uint64(5) {
			for i := range routers {
				if _, ok := routers[i].Suspects().Status(f+1, now).(retry.Quarantined); ok {
					t.Fatalf("content %d is quarantined on router %d", f+1, i)
				}
			}
		}
	})
}

// TestBudgets guards against retry storms, which occur when extra attempts or wasted tokens exceed their budgets.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permille := int32(rapid.IntRange(1, 500).Draw(t, "permille"))
		s := retry.New(retry.Limits{}.WithBudgetPermille(permille))
		requests, extra, delivered, wasted, open := 0, 0, 0, 0, 0
		allowed := func(e retry.Event) bool {
			next, v := s.Decide(e, 0)
			s = next
			_, ok := v.(retry.Allow)
			return ok
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrival": func(*rapid.T) {
				allowed(retry.RequestArrived{})
				requests++
			},
			"retry": func(*rapid.T) {
				if allowed(retry.Requested{Kind: value.EndKindFailed}) {
					extra++
				}
			},
			"hedge": func(*rapid.T) {
				if allowed(retry.HedgeRequested{}) {
					extra++
					open++
				}
			},
			"hedge ended": func(t *rapid.T) {
				if open == 0 {
					t.Skip("no hedge runs")
				}
				open--
				n := rapid.IntRange(0, 16).Draw(t, "tokens")
				wasted += n
				allowed(retry.HedgeEnded{Wasted: int32(n)})
			},
			"delivered": func(t *rapid.T) {
				n := rapid.IntRange(1, 2000).Draw(t, "tokens")
				delivered += n
				allowed(retry.Delivered{Tokens: int32(n)})
			},
			"": func(t *rapid.T) {
				if extra*1000 > 10*1000+requests*int(permille) {
					t.Fatalf("%d extra attempts for %d requests", extra, requests)
				}
				if wasted*50 > delivered {
					t.Fatalf("%d of %d tokens wasted", wasted, delivered)
				}
			},
		})
	})
}
