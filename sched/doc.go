// Package sched decides in which order the requests of one shard get a slot on a server.
//
// # Order
//
// A free slot goes to the highest tier with queued requests, and inside a tier to the
// request with the least slack to its class's first-token target. Shedding takes
// the newest request of the lowest tier in the queue. Preemption takes the newest long
// attempt of the lowest tier that runs, and never serves a lower tier than it takes from.
//
// # Waiting bound
//
// Each class has a floor: a guaranteed share of the shard's generated tokens, 1% unless the
// configuration states more. A deficit counter for each class grows by this share of
// every token that the shard generates while the class has requests. A grant
// costs the mean output of the class, limited to 16 to 1024 tokens, and the counter never falls below -1024
// tokens. A class whose counter is not negative is below its floor: its oldest request
// goes ahead of all tiers and may use reserved slots. Several classes below their floor
// are served in the order in which they fell below it.
//
// Hence a class that always has queued requests gets a slot before the shard has generated
// 1024*1000/floor_permille + 1 tokens since its last grant, plus the time until as many
// usable slots have become free as there are classes. [State.WaitBound] gives this
// bound as a time. The bound holds for the class; a single request is rejected
// earlier when it reaches its first-token target (or max_wait_ms in a batch class).
package sched
