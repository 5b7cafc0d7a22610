package place_test

import (
	"fmt"

	"chicoryhoist.example/hoist/place"
	"chicoryhoist.example/hoist/value"
)

// A refusal by a leaving server takes it out of service before the instance list shows it as leaving.
func ExampleTable_Choose() {
	t := place.Table{}.Sync(value.ListOf(value.Instance{}.WithName("a"), value.Instance{}.WithName("b")), 4)
	a := value.Ask{}.WithAttempt(value.Attempt{}.WithIncarnation(1).WithRequest(1).WithNumber(1))
	t = t.Start("a", place.NewRunningAttempt(a, 1, 1000))
	t = t.End(value.End{}.WithAttempt(a.Attempt()).WithKind(value.EndKindLeaving), 1010)

	for range 2 {
		c := t.Choose(place.Requirements{Ask: a, Rank: 1}, 1020)
		switch c := c.(type) {
		case place.Chosen:
			fmt.Println("chosen", c.Server.Name())
		case place.Busy:
			fmt.Println("busy")
		case place.Unavailable:
			fmt.Println("unavailable")
		}
		a = a.WithAvoid(value.ListOf("b"))
	}
	// Output:
	// chosen b
	// unavailable
}
