package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
)

// console holds the streams of the process.
type console struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// globalOptions holds the options that all commands have.
type globalOptions struct {
	JSON    bool          `long:"json" description:"Print JSON instead of text"`
	Router  string        `long:"router" env:"HOISTCTL_ROUTER" value-name:"URL" default:"http://127.0.0.1:8081" description:"Administration interface of the router"`
	Secret  string        `long:"secret-file" env:"HOISTCTL_SECRET_FILE" value-name:"FILE" description:"File that holds the operator's secret"`
	Timeout time.Duration `long:"timeout" value-name:"TIME" default:"10s" description:"Longest time to wait for the router"`
}

// command is one command of hoistctl.
//
//sumtype:decl
type command interface{ isCommand() }

// parsedCommand implements the interface of go-flags for commands; run executes the command after parsing.
type parsedCommand struct{}

// Execute implements flags.Commander and does nothing.
func (parsedCommand) Execute([]string) error { return nil }

// fileArgument is the input file of a command.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"File to read, - for standard input"`
}

type checkCommand struct {
	parsedCommand
	Settings bool         `long:"settings" description:"The file holds settings of a router instead of a snapshot"`
	Args     fileArgument `positional-args:"yes" required:"yes"`
}

type diffCommand struct {
	parsedCommand
	Args struct {
		Old string `positional-arg-name:"OLD" description:"Earlier snapshot"`
		New string `positional-arg-name:"NEW" description:"Later snapshot"`
	} `positional-args:"yes" required:"yes"`
}

type bundleCommand struct {
	parsedCommand
	Key    string       `long:"key" value-name:"KEY" default:"hoist" description:"Key of the platform that routers watch"`
	Output string       `long:"output" value-name:"FOLDER" default:"bundle" description:"Folder to write the values to"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

type secretCommand struct {
	parsedCommand
	New bool `long:"new" description:"Make a new secret instead of reading one from standard input"`
}

type whyCommand struct {
	parsedCommand
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"Request identifier, as in X-Request-Id"`
	} `positional-args:"yes" required:"yes"`
}

type dryRunCommand struct {
	parsedCommand
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type statusCommand struct{ parsedCommand }

type instancesCommand struct{ parsedCommand }

type serversCommand struct{ parsedCommand }

type queuesCommand struct{ parsedCommand }

type quarantineCommand struct{ parsedCommand }

type drainCommand struct{ parsedCommand }

func (*checkCommand) isCommand()      {}
func (*diffCommand) isCommand()       {}
func (*bundleCommand) isCommand()     {}
func (*secretCommand) isCommand()     {}
func (*whyCommand) isCommand()        {}
func (*dryRunCommand) isCommand()     {}
func (*statusCommand) isCommand()     {}
func (*instancesCommand) isCommand()  {}
func (*serversCommand) isCommand()    {}
func (*queuesCommand) isCommand()     {}
func (*quarantineCommand) isCommand() {}
func (*drainCommand) isCommand()      {}

// options holds the global options and the commands.
type options struct {
	globalOptions
	Check      checkCommand      `command:"check" description:"Check a snapshot or settings and print every finding"`
	Diff       diffCommand       `command:"diff" description:"Compare two snapshots"`
	Bundle     bundleCommand     `command:"bundle" description:"Write the values to publish for a snapshot"`
	Secret     secretCommand     `command:"secret" description:"Print the SHA-256 of a secret, for a credential"`
	Status     statusCommand     `command:"status" description:"Show the state of the router"`
	Instances  instancesCommand  `command:"instances" description:"List instances and the generation in force on each router"`
	Servers    serversCommand    `command:"servers" description:"List the backend servers of the router's shards"`
	Queues     queuesCommand     `command:"queues" description:"List the queues of the router's shards"`
	Why        whyCommand        `command:"why" description:"Say why a recent request was placed or refused"`
	Quarantine quarantineCommand `command:"quarantine" description:"List the quarantined content fingerprints"`
	Drain      drainCommand      `command:"drain" description:"Drain the router"`
	DryRun     dryRunCommand     `command:"dry-run" description:"Check a snapshot on the router and compare it with the one in force"`
}

// run parses the command line, executes the command and returns the exit code.
func run(args []string, c console) exitCode {
	var o options
	var selected command
	p := flags.NewNamedParser("hoistctl", flags.HelpFlag|flags.PassDoubleDash)
	p.CommandHandler = func(x flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return fail(exitUsage, "unexpected argument %q", rest[0])
		}
		selected, _ = x.(command)
		return nil
	}
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		return c.report(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return c.report(err)
	}
	return c.report(session{c, o.globalOptions}.execute(selected))
}

// report prints an error and returns its exit code.
func (c console) report(err error) exitCode {
	var usage *flags.Error
	var f failure
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(c.out, usage.Message)
		return exitOK
	case errors.As(err, &f):
		if f.message != "" {
			_, _ = fmt.Fprintln(c.err, "hoistctl:", f.message)
		}
		return f.code
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(c.err, "hoistctl:", err)
		return exitUsage
	default:
		// Only the output is left that may have failed.
		_, _ = fmt.Fprintln(c.err, "hoistctl:", err)
		return exitFile
	}
}
