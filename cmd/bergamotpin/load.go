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
	cmd := app.Command("load", "Send a workload to instances on loopback and report the results for each class. Each request is sent at its planned time, even if earlier requests have no response yet.")
	f := &loadFlags{}
	cmd.Flag("address", "Address (IP and port) at which an instance serves callers. Repeat for several.").Default("127.0.0.1:8080").StringsVar(&f.addresses)
	cmd.Flag("for", "How long to send requests.").Default("30s").DurationVar(&f.duration)
	cmd.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("workload", "Example workload to send, named after a company: covor or andina.").Default("covor").EnumVar(&f.workload, "covor", "andina")
	cmd.Flag("record", "Write a trace of the requests into this file, as JSON lines.").StringVar(&f.tracePath)
	cmd.Flag("plot", "Write an SVG plot of the time to first token into this file.").StringVar(&f.plotPath)
	cmd.Flag("json", "Print the report as one line of JSON.").BoolVar(&f.json)
	return command{cmd.FullCommand(), f.run}
}

// workloadByName returns the example workload of a company: "andina" for Agenda
// Andina, any other name for Covorul Drept. An auction at Covorul Drept causes a
// burst of requests. auctionStart is the time from the start of the run to the
// start of the burst.
func workloadByName(name string, auctionStart time.Duration) loadgen.Workload {
	if name == "andina" {
		return loadgen.AgendaAndinaWorkload()
	}
	return loadgen.CovorulDreptWorkload(auctionStart)
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

// openTrace creates the trace file. It returns the file and the function that
// closes it. If the user did not ask for a trace, the writer is nil.
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
