// Command hoistbench measures the router. Its commands bench, soak and capacity simulate the decision code:
// bench compares figures with their bounds, soak checks invariants under faults, and capacity prints how
// costs grow with the fleet. Its commands proof and cost run router processes: proof checks them while
// parts of the system fail, and cost measures what a router adds to a request.
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

// options defines the commands of the program.
type options struct {
	Bench    benchCommand    `command:"bench" description:"print every figure and whether it keeps its bound"`
	Soak     soakCommand     `command:"soak" description:"check the invariants under randomised faults"`
	Capacity capacityCommand `command:"capacity" description:"print how the cost of each role grows with the fleet"`
	Proof    proofCommand    `command:"proof" description:"check real router processes while parts of the system fail"`
	Cost     costCommand     `command:"cost" description:"measure what a router adds to a request on loopback"`
}

func main() {
	if _, err := flags.NewParser(&options{}, flags.Default).Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

type benchCommand struct {
	Strict bool `long:"strict" description:"exit with code 1 when a bound is missed"`
}

// Execute runs the experiments and prints their figures.
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

// Execute simulates one run; a violated invariant is an error.
func (c *soakCommand) Execute([]string) error {
	if violations := soak.Run(os.Stdout, c.Seed, c.Duration); violations > 0 {
		return eris.Errorf("%d violations", violations)
	}
	return nil
}

type capacityCommand struct{}

// Execute measures and prints the cost of each role.
func (*capacityCommand) Execute([]string) error {
	scale.Run(os.Stdout)
	return nil
}

type proofCommand struct {
	Router string   `long:"router" required:"true" description:"path of the router program"`
	Rounds int      `long:"rounds" default:"1" description:"number of times that the scenarios are played"`
	Only   []string `long:"only" description:"play this scenario only; may be given more than once"`
}

// Execute runs the scenarios; a violation is an error, and an interrupt ends the run.
func (c *proofCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	violations, err := proof.Run(ctx, os.Stdout, proof.Options{Program: c.Router, Rounds: c.Rounds, Only: c.Only})
	if err == nil && violations > 0 {
		err = eris.Errorf("%d violations", violations)
	}
	return err
}

type costCommand struct {
	Router string `long:"router" required:"true" description:"path of the router program"`
	Strict bool   `long:"strict" description:"exit with code 1 when a bound is missed"`
}

// Execute measures what a router adds to a request; an interrupt ends the measurement.
func (c *costCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	missed, err := proof.Cost(ctx, os.Stdout, c.Router)
	if err == nil && missed > 0 && c.Strict {
		err = eris.Errorf("%d bounds are missed", missed)
	}
	return err
}
