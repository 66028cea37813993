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

// loadFlags are the flags of the load command.
type loadFlags struct {
	addresses []string
	duration  time.Duration
	seed      uint64
	workload  string
	record    string
	plot      string
	json      bool
}

func loadCommand(app *kingpin.Application) command {
	cmd := app.Command("load", "Send a workload to instances on loopback and report per class. Arrivals don't wait for answers.")
	f := &loadFlags{}
	cmd.Flag("address", "Callers' address of an instance. Repeat for several.").Default("127.0.0.1:8080").StringsVar(&f.addresses)
	cmd.Flag("for", "How long requests arrive.").Default("30s").DurationVar(&f.duration)
	cmd.Flag("seed", "Seed of all draws.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("workload", "Whose workload: covor or andina.").Default("covor").EnumVar(&f.workload, "covor", "andina")
	cmd.Flag("record", "File for the trace, as JSON lines.").StringVar(&f.record)
	cmd.Flag("plot", "File for a plot of the times to the first token, as SVG.").StringVar(&f.plot)
	cmd.Flag("json", "Print the report as one line of JSON.").BoolVar(&f.json)
	return command{cmd.FullCommand(), f.run}
}

// workloadNamed returns a user's workload. The burst of an auction opens at
// the given time.
func workloadNamed(name string, auction time.Duration) loadgen.Workload {
	if name == "andina" {
		return loadgen.AgendaAndina()
	}
	return loadgen.CovorulDrept(auction)
}

func (f *loadFlags) run(ctx context.Context) error {
	if err := f.checkLoopback(); err != nil {
		return &exitError{exitUsage, err}
	}
	record, closeRecord, err := f.openRecord()
	if err != nil {
		return err
	}
	report, err := loadgen.Run(ctx, loadgen.Options{
		Addresses:   f.addresses,
		Duration:    f.duration,
		Workload:    workloadNamed(f.workload, f.duration/3),
		Seed:        f.seed,
		TraceOutput: record,
		OnProgress:  progressLine(),
	})
	if err != nil {
		return err
	}
	if err := closeRecord(); err != nil {
		return errors.Wrap(err, "trace")
	}
	if err := f.writePlot(report); err != nil {
		return errors.Wrap(err, "plot")
	}
	return printReport(report, f.json)
}

func (f *loadFlags) writePlot(report loadgen.Report) error {
	if f.plot == "" {
		return nil
	}
	file, err := os.Create(f.plot)
	if err != nil {
		return err
	}
	if err := report.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// checkLoopback refuses addresses outside this machine.
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

func (f *loadFlags) openRecord() (io.Writer, func() error, error) {
	if f.record == "" {
		return nil, func() error { return nil }, nil
	}
	file, err := os.Create(f.record)
	if err != nil {
		return nil, nil, errors.Wrap(err, "trace")
	}
	return file, file.Close, nil
}

// printReport prints a report and fails if a promise was broken.
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
		return errors.Errorf("%d violations", report.Violations)
	}
	return nil
}
