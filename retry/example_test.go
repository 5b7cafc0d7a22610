package retry_test

import (
	"fmt"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/retry"
	"chicoryhoist.example/hoist/value"
)

// Content that was running on a crashed server runs alone next; the second crash quarantines it.
func ExampleState_Decide() {
	s := retry.New(retry.Limits{})
	now := hoist.Minute
	for _, server := range []string{"engine-1", "engine-2"} {
		now += 10 * hoist.Second
		s, _ = s.Decide(retry.Crashed{Server: server, Fingerprints: value.ListOf[uint64](42)}, now)
		next, v := s.Decide(retry.RequestArrived{Fingerprint: 42}, now)
		fmt.Printf("%T %+v\n", v, v)
		s = next
	}
	// Output:
	// retry.Allow {Alone:true}
	// retry.Deny {Reason:quarantined After:600000}
}
