package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bergamotpin.example/bergamotpin/demo"
	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/settings"
	"bergamotpin.example/bergamotpin/standin/engine"
)

// demoInstances is the number of entry instances in the demo. It is the number
// that each of the two companies with an example workload runs.
const demoInstances = 7

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	duration   time.Duration
	seed       uint64
	json       bool
	workload   string
	verbose    bool
	loadFactor float64
	faults     bool
}

func demoCommand(app *kingpin.Application) command {
	cmd := app.Command("demo", "Run entry instances and stand-ins for the external systems in this process, on loopback. Without --for, the demo runs until it is interrupted.")
	f := &demoFlags{}
	cmd.Flag("for", "How long to send requests.").DurationVar(&f.duration)
	cmd.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("json", "Print the report as one line of JSON.").BoolVar(&f.json)
	cmd.Flag("workload", "Example workload and fleet to run, named after a company: covor or andina.").Default("covor").EnumVar(&f.workload, "covor", "andina")
	cmd.Flag("pressure", "Load as a multiple of the engines' highest token rate, such as 1.3 for an overload. 0 leaves the workload's load unchanged.").Float64Var(&f.loadFactor)
	cmd.Flag("faults", "Run a small system with random faults instead, and check its guarantees to callers.").BoolVar(&f.faults)
	cmd.Flag("verbose", "Print the logs of the instances.").BoolVar(&f.verbose)
	return command{cmd.FullCommand(), f.run}
}

// demoLengthDivisor divides the lengths of the prompts and answers in the
// example workload.
const demoLengthDivisor = 3

// options converts the flags to the options of the demo.
func (f *demoFlags) options() demo.Options {
	opts := demo.Options{
		Workload:  workloadByName(f.workload, f.duration/3).Shorten(demoLengthDivisor),
		Fleet:     loadgen.FleetCovorulDrept,
		Instances: demoInstances,
		Seed:      f.seed,
	}
	if f.workload == "andina" {
		opts.Fleet = loadgen.FleetAgendaAndina
	}
	if f.loadFactor > 0 {
		maxTokensPerSecond := float64(opts.Fleet.Engines) * engine.Options{}.TokensPerSecond()
		opts.Workload = opts.Workload.ScaleTo(f.loadFactor * maxTokensPerSecond)
	}
	if f.verbose {
		opts.Log = newLog(settings.Default().Log)
	}
	return opts
}

func (f *demoFlags) run(ctx context.Context) error {
	if f.faults {
		return runFaults(ctx, f.seed)
	}
	d, err := demo.Start(ctx, f.options())
	if err != nil {
		return err
	}
	defer d.Close()
	if f.duration == 0 {
		return f.runUntilInterrupted(ctx, d)
	}
	report, err := d.RunLoad(ctx, f.duration, progressLine())
	if err != nil {
		return err
	}
	return printReport(report, f.json)
}

// runUntilInterrupted prints how to use the running system and waits until ctx
// ends.
func (f *demoFlags) runUntilInterrupted(ctx context.Context, d *demo.Demo) error {
	workload := f.options().Workload
	key := workload.Organisations[0].Key
	fmt.Println("callers:  ", d.CallerAddresses())
	fmt.Println("operators:", d.OperatorAddresses())
	fmt.Println("key:      ", key)
	fmt.Println("try:")
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"What is a scoarta?\"}]}'\n",
		d.CallerAddresses()[0], key, workload.Classes[0].Route)
	<-ctx.Done()
	return nil
}

// progressLine returns a function that shows the progress on standard error,
// always on the same line. It returns nil if standard error is not a terminal.
func progressLine() func(loadgen.Progress) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p loadgen.Progress) { writeProgress(os.Stderr, p) }
}

func writeProgress(w io.Writer, p loadgen.Progress) {
	// Failing to show the progress is not an error.
	_, _ = fmt.Fprintf(w, "\r%5.0fs  requests %d  open %d  completed %d  refused %d  unknown %d  violations %d ",
		p.Elapsed.Seconds(), p.Requests, p.Open, p.Completed, p.Refused, p.Unknown, p.Violations)
}
