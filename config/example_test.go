package config_test

import (
	"fmt"

	"chicoryhoist.example/hoist/config"
)

const before = `
generation = 1
tiers = [{name = "live", rank = 1}]
models = [{name = "stove"}]
`

const after = `
generation = 2
tiers = [{name = "live", rank = 1}]
models = [{name = "stove", version = "2"}, {name = "oven"}]
`

// All findings are returned together, with their positions.
func ExampleParseSnapshot() {
	_, findings := config.ParseSnapshot("new.toml", []byte("generation = 0\n[[tiers]]\nname = \"live\"\nrnak = 1\n"))
	fmt.Println(findings)
	// Output:
	// new.toml:1:1: "generation" must be above 0
	// new.toml:2:3: tier "live": "rank" must be from 1 to 6, not 0
	// new.toml:4:1: unknown key "rnak"; did you mean "rank"?
}

// In the canonical content of a snapshot, the objects are sorted by name.
func ExampleFormat() {
	s, _ := config.ParseSnapshot("after.toml", []byte(after))
	fmt.Printf("%s", config.Format(s))
	// Output:
	// generation = 2
	//
	// [[tiers]]
	// name = "live"
	// rank = 1
	//
	// [[models]]
	// name = "oven"
	//
	// [[models]]
	// name = "stove"
	// version = "2"
}

func ExampleDiff() {
	a, _ := config.ParseSnapshot("before.toml", []byte(before))
	b, _ := config.ParseSnapshot("after.toml", []byte(after))
	for c := range config.Diff(a, b).All() {
		fmt.Println(config.Describe(c))
	}
	// Output:
	// + model "oven"
	// ~ model "stove": version unset -> "2"
}

// A delta applies only to the version that it was computed from.
func ExampleApplyDelta() {
	a, _ := config.LoadView("before.toml", []byte(before))
	b, _ := config.LoadView("after.toml", []byte(after))
	delta := config.NewDelta(a, b)
	result, err := config.ApplyDelta(a, delta)
	fmt.Println(result.Version() == b.Version(), err)
	_, err = config.ApplyDelta(b, delta)
	fmt.Println(err)
	// Output:
	// true <nil>
	// delta is for another base
}

// A lower generation never replaces a higher one.
func ExampleResolve() {
	inForce := config.Version{Generation: 7, Digest: 0xa}
	for _, offered := range []config.Version{{Generation: 8, Digest: 0x1}, {Generation: 6, Digest: 0xf}, {Generation: 7, Digest: 0xb}} {
		switch v := config.Resolve(inForce, offered).(type) {
		case config.Accept:
			fmt.Println("accept, event", v.Event.Number)
		case config.Ignore:
			fmt.Println("ignore, event", v.Event.Number)
		case config.Conflict:
			fmt.Println("conflict, event", v.Event.Number, "accepted", v.Accepted)
		}
	}
	// Output:
	// accept, event 200
	// ignore, event 204
	// conflict, event 202 accepted true
}

// A snapshot that exceeds the limit is split, and the manifest is published last.
func ExampleBundle() {
	s, _ := config.ParseSnapshot("after.toml", []byte(after))
	for v := range config.Bundle("hoist", s, 60).All() {
		fmt.Println(v.Key(), len(v.Content()), config.IsManifest([]byte(v.Content())))
	}
	// Output:
	// hoist.d6a6cadf509e5c87 50 false
	// hoist.b42cc193eae091a5 52 false
	// hoist.6bbce610ed5f26c0 14 false
	// hoist 311 true
}
