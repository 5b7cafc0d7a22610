// Command hoistbench measures the decision code: bench compares figures with their bounds,
// soak checks invariants under faults, and capacity prints slopes of cost. Its command proof
// checks real router processes while parts of the system fail.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist/cmd/hoistbench/bench"
	"chicoryhoist.example/hoist/cmd/hoistbench/proof"
	"chicoryhoist.example/hoist/cmd/hoistbench/scale"
	"chicoryhoist.example/hoist/cmd/hoistbench/soak"
)

// options are the commands of the program.
type options struct {
	Bench    benchCommand    `command:"bench" description:"print every figure and whether it keeps its bound"`
	Soak     soakCommand     `command:"soak" description:"check the invariants under randomised faults"`
	Capacity capacityCommand `command:"capacity" description:"print how the cost of each role grows with the fleet"`
	Proof    proofCommand    `command:"proof" description:"check real router processes while parts of the system fail"`
	Cost     costCommand     `command:"cost" description:"measure what a router adds to a request on loopback"`
}

func main() {
	if _, err := flags.NewParser(&options{}, flags.Default).Parse(); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

type benchCommand struct {
	Strict bool `long:"strict" description:"exit with code 1 when a bound is missed"`
}

// Execute runs the experiments.
func (c *benchCommand) Execute([]string) error {
	if missed := bench.Run(os.Stdout); missed > 0 && c.Strict {
		return eris.Errorf("%d bounds are missed", missed)
	}
	return nil
}

type soakCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the run; the same seed gives the same run"`
	Duration int    `long:"duration" default:"60" description:"length of the run, in simulated seconds"`
}

// Execute plays a run.
func (c *soakCommand) Execute([]string) error {
	if n := soak.Run(os.Stdout, c.Seed, c.Duration); n > 0 {
		return eris.Errorf("%d violations", n)
	}
	return nil
}

type capacityCommand struct{}

// Execute measures the slopes.
func (*capacityCommand) Execute([]string) error {
	scale.Run(os.Stdout)
	return nil
}

type proofCommand struct {
	Router string   `long:"router" required:"true" description:"path of the router program"`
	Rounds int      `long:"rounds" default:"1" description:"number of times that the scenarios are played"`
	Only   []string `long:"only" description:"play this scenario only; may be given more than once"`
}

// Execute plays the scenarios.
func (c *proofCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	n, err := proof.Run(ctx, os.Stdout, proof.Options{Program: c.Router, Rounds: c.Rounds, Only: c.Only})
	if err == nil && n > 0 {
		err = eris.Errorf("%d violations", n)
	}
	return err
}

type costCommand struct {
	Router string `long:"router" required:"true" description:"path of the router program"`
	Strict bool   `long:"strict" description:"exit with code 1 when a bound is missed"`
}

// Execute measures the cost.
func (c *costCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	missed, err := proof.Cost(ctx, os.Stdout, c.Router)
	if err == nil && missed > 0 && c.Strict {
		err = eris.Errorf("%d bounds are missed", missed)
	}
	return err
}
