//go:build review

// Command lab3 plays the cases of the third review: it starts routers and servers as processes, stands in for the store and the
// clients, and judges by what these see. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() {
	if len(os.Args) < 2 {
		fatal(fmt.Errorf("usage: lab3 CASE ROUTER RECORD | server ADDRESS ID"))
	}
	if os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fatal(err)
		}
		return
	}
	cases := map[string]func(*fleet, bool) (bool, error){"drill": playDrill, "slow": playSlow, "writer": playWriter, "bulk": playBulk, "leave": playLeave, "old": playOld, "rapid": playRapid}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 4 {
		fatal(fmt.Errorf("unknown case %q", os.Args[1]))
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fatal(err)
	}
	limit := time.AfterFunc(110*time.Second, func() {
		f.close()
		os.Exit(exitUnable)
	})
	defer limit.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		f.note("unable: %v", err)
	case broken:
		f.note("verdict: the rule was broken")
	default:
		f.note("verdict: the rule held")
	}
	f.close()
	if err != nil {
		fatal(err)
	}
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
}
