// Command bergamotpin routes language-model traffic with service levels.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// version is the version that `bergamotpin version` prints.
const version = "0.1.0"

// Exit codes.
const (
	exitFailed  = 1 // the command failed
	exitUsage   = 2 // the command line, the settings or a resource file is invalid
	exitRefused = 3 // a write was refused because of a conflict
)

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// command is a subcommand: its full name and the function that runs it.
type command struct {
	name string
	run  func(ctx context.Context) error
}

func main() {
	app := kingpin.New("bergamotpin", "Routes language-model traffic with service levels and priorities. "+
		"SIGTERM or SIGINT stops a command that serves callers after its grace period, a second SIGINT at once.")
	app.UsageWriter(os.Stdout)
	app.HelpFlag.Short('h')
	commands := []command{
		serveCommand(app),
		edgeCommand(app),
		checkCommand(app),
		standinPlatformCommand(app),
		standinEngineCommand(app),
		standinServiceCommand(app),
		demoCommand(app),
		benchCommand(app),
		loadCommand(app),
		applyCommand(app),
		getCommand(app),
		watchCommand(app),
		drainCommand(app),
		explainCommand(app),
		versionCommand(app),
	}
	addExamples(app)
	selected, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(&exitError{exitUsage, err})
	}
	ctx := stopSignals(context.Background(), func() { os.Exit(exitInterrupted) })
	for _, c := range commands {
		if c.name != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			fail(err)
		}
	}
}

// fail prints the error and ends the process with the error's exit code.
func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	var exit *exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	os.Exit(exitFailed)
}

func versionCommand(app *kingpin.Application) command {
	cmd := app.Command("version", "Print the version.")
	return command{cmd.FullCommand(), func(context.Context) error {
		fmt.Println("bergamotpin", version)
		return nil
	}}
}
