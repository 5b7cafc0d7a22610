package order_test

import (
	"fmt"

	"chicoryhoist.example/hoist/order"
	"chicoryhoist.example/hoist/value"
)

// A new owner reads the engine's state, waits for the order delay, reads again and then sends a load order.
func ExampleState_Decide() {
	var s order.State
	state := value.EngineState{}.WithRole("mixed")
	f := fleet{generation: 7, version: "v2", role: "mixed", fence: 3, servers: []string{"engine-1"}}
	s, _ = s.Decide(f.event(), 0)
	s, _ = s.Decide(order.BecameOwner{}, 0)
	s, _ = s.Decide(order.Observed{Server: "engine-1", State: state}, 20)
	s, effects := s.Decide(order.Ticked{}, 10_000)
	fmt.Printf("%+v\n", effects[0])
	_, effects = s.Decide(order.Observed{Server: "engine-1", State: state}, 10_020)
	send := effects[0].(order.Send)
	fmt.Println(send.Order.Id(), send.Order.Fence(), send.Deadline)
	// Output:
	// {Server:engine-1}
	// 7.load.model.base.v2 3 20020
}
