package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/settings"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	addresses []string
	duration  time.Duration
	seed      uint64
	workload  string
	tracePath string
	plotPath  string
	json      bool
}

func loadCommand(app *kingpin.Application) command {
	cmd := app.Command("load", "Send a workload to instances on loopback and report the results for each class. Requests are sent without waiting for earlier answers.")
	f := &loadFlags{}
	cmd.Flag("address", "Callers' address of an instance. Repeat for several.").Default("127.0.0.1:8080").StringsVar(&f.addresses)
	cmd.Flag("for", "How long to send requests.").Default("30s").DurationVar(&f.duration)
	cmd.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("workload", "User whose workload to send: covor or andina.").Default("covor").EnumVar(&f.workload, "covor", "andina")
	cmd.Flag("record", "File to write a trace to, as JSON lines.").StringVar(&f.tracePath)
	cmd.Flag("plot", "File to write a plot of the times to the first token to, as SVG.").StringVar(&f.plotPath)
	cmd.Flag("json", "Print the report as one line of JSON.").BoolVar(&f.json)
	return command{cmd.FullCommand(), f.run}
}

// workloadByName returns the workload of a user. In the workload of covor, the
// burst of requests of an auction begins auctionStart after the start of the
// run.
func workloadByName(name string, auctionStart time.Duration) loadgen.Workload {
	if name == "andina" {
		return loadgen.AgendaAndina()
	}
	return loadgen.CovorulDrept(auctionStart)
}

func (f *loadFlags) run(ctx context.Context) error {
	if err := f.checkLoopback(); err != nil {
		return &exitError{exitUsage, err}
	}
	trace, closeTrace, err := f.openTrace()
	if err != nil {
		return err
	}
	report, err := loadgen.Run(ctx, loadgen.Options{
		Addresses:   f.addresses,
		Duration:    f.duration,
		Workload:    workloadByName(f.workload, f.duration/3),
		Seed:        f.seed,
		TraceOutput: trace,
		OnProgress:  progressLine(),
	})
	if err != nil {
		return err
	}
	if err := closeTrace(); err != nil {
		return errors.Wrap(err, "trace")
	}
	if err := f.writePlot(report); err != nil {
		return errors.Wrap(err, "plot")
	}
	return printReport(report, f.json)
}

func (f *loadFlags) writePlot(report loadgen.Report) error {
	if f.plotPath == "" {
		return nil
	}
	file, err := os.Create(f.plotPath)
	if err != nil {
		return err
	}
	if err := report.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// checkLoopback returns an error if an address is not a loopback address.
func (f *loadFlags) checkLoopback() error {
	for _, a := range f.addresses {
		addr, err := settings.ParseAddress(a)
		if err != nil {
			return errors.Wrap(err, "--address")
		}
		if !addr.Addr().IsLoopback() {
			return errors.Errorf("--address: %s is not a loopback address", a)
		}
	}
	return nil
}

// openTrace creates the trace file. It returns a nil writer if no trace is
// wanted.
func (f *loadFlags) openTrace() (io.Writer, func() error, error) {
	if f.tracePath == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(f.tracePath)
	if err != nil {
		return nil, nil, errors.Wrap(err, "trace")
	}
	return file, file.Close, nil
}

// printReport prints a report. It returns an error if the report has violations
// of guarantees.
func printReport(report loadgen.Report, asJSON bool) error {
	var err error
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteText(os.Stdout)
	}
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if report.Violations > 0 {
		return errors.Errorf("%d violations of guarantees", report.Violations)
	}
	return nil
}
