// Command chicoryhoist runs one router process. On SIGTERM or SIGINT the process drains and exits.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/config"
	"chicoryhoist.example/hoist/daemon"
	"chicoryhoist.example/hoist/platform"
	"chicoryhoist.example/hoist/router"
	"chicoryhoist.example/hoist/value"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// options are the command-line options.
type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file in TOML"`
	Level    string `long:"level" default:"info" description:"lowest level that is logged"`
	Forward  struct {
		Check bool `long:"check" description:"check the settings and exit"`
	} `command:"forward" subcommands-optional:"true" description:"forward requests by the routes of the platform's store"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses the command line, runs the router and returns the exit code.
func run(args []string) int {
	// Without a handler, a SIGHUP during the start would terminate the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	var o options
	parser := flags.NewParser(&o, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.ParseArgs(args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	content, err := os.ReadFile(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	output := daemon.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(level)
	logger.SetFormatter(daemon.LogFormatter())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if parser.Active != nil && parser.Active.Name == "forward" {
		settings, findings := config.ParseForwardSettings(o.Settings, content)
		if len(findings) > 0 || o.Forward.Check {
			return reportFindings(findings)
		}
		return reportError(runForwarder(ctx, o.Settings, settings, logger, reload))
	}
	settings, findings := config.ParseSettings(o.Settings, content)
	if len(findings) > 0 {
		return reportFindings(findings)
	}
	r, err := router.New(settings, logger)
	if err == nil {
		err = r.Run(ctx)
	}
	return reportError(err)
}

// reportFindings prints the findings about a settings file and returns the exit code.
func reportFindings(f hoist.Findings) int {
	if len(f) == 0 {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, f.Error())
	return exitSettings
}

// reportError prints the error, if any, and returns the exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

// runForwarder runs a forwarding router with the platform's store and headers.
func runForwarder(ctx context.Context, file string, s value.ForwardSettings, logger *logrus.Logger, reload <-chan os.Signal) error {
	daemon.Tune(s.Resources())
	p, err := daemon.New(daemon.Options{
		Settings: s, Logger: logger, Source: platform.NewStore(s.Store().Address()), Dialect: platform.Dialect(),
	})
	if err != nil {
		return err
	}
	go p.Reload(ctx, reload, file)
	return p.Run(ctx)
}
