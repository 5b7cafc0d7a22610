// Command standin runs the stand-ins for the outside systems, the load tool, the soak and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/cmd/standin/appsrv"
	"chicoryhoist.example/hoist/cmd/standin/cfgsrv"
	"chicoryhoist.example/hoist/cmd/standin/chaos"
	"chicoryhoist.example/hoist/cmd/standin/demo"
	"chicoryhoist.example/hoist/cmd/standin/host"
	"chicoryhoist.example/hoist/cmd/standin/llmsrv"
	"chicoryhoist.example/hoist/cmd/standin/load"
)

// options are the commands of the program.
type options struct {
	Engine   engineCommand   `command:"engine" description:"run a model engine"`
	Service  serviceCommand  `command:"service" description:"run a plain service"`
	Platform platformCommand `command:"platform" description:"run the platform"`
	Load     loadCommand     `command:"load" description:"drive routers and check every answer"`
	Soak     soakCommand     `command:"soak" description:"run forwarding routers under random faults and check their promises"`
	Demo     demoCommand     `command:"demo" description:"start a fleet on loopback and drive it"`
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

// signalContext returns a context that is cancelled by SIGTERM or an interrupt.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// listenOption is the option that every server command has.
type listenOption struct {
	Listen string `long:"listen" required:"true" description:"address, as IP:port"`
}

type engineCommand struct {
	listenOption
	Model     []string `long:"model" description:"model in memory at the start"`
	Slots     int      `long:"slots" default:"16" description:"requests that run at once"`
	Queue     int      `long:"queue" default:"64" description:"requests that may wait"`
	TokenMs   int64    `long:"token-ms" default:"10" description:"time of a decoding step"`
	Prefill   int      `long:"prefill" default:"8" description:"prompt tokens per millisecond"`
	ReportLag int64    `long:"report-lag" default:"2000" description:"age of load reports, in milliseconds"`
	LoadMs    int64    `long:"load-ms" default:"5000" description:"time to load weights, in milliseconds"`
	Fenced    bool     `long:"fenced" description:"refuse orders with an old fencing number"`
}

// Execute runs the engine until a signal ends it.
func (c *engineCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	clock := hoist.NewSystemClock()
	h := host.New(c.Listen, clock)
	e := llmsrv.New(llmsrv.Settings{
		Slots:     c.Slots,
		Queue:     c.Queue,
		Speed:     llmsrv.Speed{TokenMs: hoist.Millis(c.TokenMs), PromptTokensPerMs: c.Prefill},
		ReportLag: hoist.Millis(c.ReportLag),
		Fenced:    c.Fenced,
		LoadMs:    hoist.Millis(c.LoadMs),
		Models:    c.Model,
	}, clock, h)
	go e.Run(ctx)
	return h.Run(ctx, e.Handler())
}

type serviceCommand struct {
	listenOption
	Delay int64 `long:"delay" default:"20" description:"time of a call, in milliseconds"`
}

// Execute runs the plain service until a signal ends it.
func (c *serviceCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	clock := hoist.NewSystemClock()
	h := host.New(c.Listen, clock)
	return h.Run(ctx, appsrv.New(hoist.Millis(c.Delay), clock, h).Handler())
}

type platformCommand struct {
	listenOption
	Lag int64 `long:"lag" default:"1000" description:"lag of the instance list, in milliseconds"`
}

// Execute runs the platform until a signal ends it.
func (c *platformCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	clock := hoist.NewSystemClock()
	return host.New(c.Listen, clock).Run(ctx, cfgsrv.New(hoist.Millis(c.Lag), clock).Handler())
}

type loadCommand struct {
	Target       []string          `long:"target" required:"true" description:"base URL of a router"`
	Secret       map[string]string `long:"secret" required:"true" description:"class:secret of a caller"`
	Model        string            `long:"model" required:"true" description:"model to ask for"`
	Service      string            `long:"service" description:"plain service that the callers also call"`
	Rate         int               `long:"rate" default:"50" description:"requests per second"`
	Seconds      int64             `long:"seconds" default:"20" description:"length of the load"`
	Seed         uint64            `long:"seed" default:"1" description:"seed of the random choices"`
	FirstTokenMs int64             `long:"first-token-ms" default:"690" description:"latency target of the first token"`
}

// Execute sends the load to the routers and prints the figures; it fails if a response was wrong or truncated.
func (c *loadCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	var callers []load.Caller
	for _, class := range slices.Sorted(maps.Keys(c.Secret)) {
		caller := load.Caller{Class: class, Secret: c.Secret[class], FirstTokenTarget: hoist.Millis(c.FirstTokenMs), Weight: 4}
		callers = append(callers, caller)
		if c.Service != "" {
			caller.Service, caller.Weight, caller.Class = c.Service, 1, class+"-service"
			callers = append(callers, caller)
		}
	}
	l := load.New(load.Settings{
		Model: c.Model, Rate: c.Rate, Duration: hoist.Millis(c.Seconds) * hoist.Second, Seed: c.Seed, Callers: callers,
	}, hoist.NewSystemClock(), c.Target)
	l.Run(ctx)
	l.Tally().Print(os.Stdout)
	if badResponses := l.Tally().Count(load.Wrong) + l.Tally().Count(load.Truncated); badResponses > 0 {
		return errBadResponses
	}
	return nil
}

// errBadResponses reports responses that differ from the expected ones.
var errBadResponses = errors.New("responses were wrong or truncated")

type demoCommand struct {
	Router string `long:"router" required:"true" description:"path of the router program"`
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return demo.Run(ctx, os.Stdout, program, c.Router, hoist.NewSystemClock())
}

type soakCommand struct {
	Router    string        `long:"router" required:"true" description:"router program"`
	Instances int           `long:"instances" default:"4" description:"router processes"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"seeds to play"`
	Duration  time.Duration `long:"duration" default:"15s" description:"time with faults for each seed"`
}

// Execute runs the seeds in turn and prints the violations; it fails if there is one.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		r, err := chaos.Run(ctx, chaos.Options{Router: c.Router, Instances: c.Instances, Seed: seed, Duration: c.Duration})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d refused, %d faults, %d crashes, %d violations\n",
			seed, r.Requests.Load(), r.Served.Load(), r.Refused.Load(), r.Faults.Load(), r.Crashes.Load(), len(r.Violations()))
		for _, v := range r.Violations() {
			fmt.Println("  " + v)
		}
		violations += len(r.Violations())
	}
	if violations > 0 {
		return eris.New("guarantees were violated")
	}
	return nil
}
