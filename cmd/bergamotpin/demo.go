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

// demoInstances is the number of entry instances, as each user has them.
const demoInstances = 7

// demoFlags are the flags of the demo command.
type demoFlags struct {
	duration time.Duration
	seed     uint64
	json     bool
	workload string
	verbose  bool
	pressure float64
	faults   bool
}

func demoCommand(app *kingpin.Application) command {
	cmd := app.Command("demo", "Run the whole system in this process on loopback. Without --for it stays up until interrupted.")
	f := &demoFlags{}
	cmd.Flag("for", "How long requests arrive.").DurationVar(&f.duration)
	cmd.Flag("seed", "Seed of all draws.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("json", "Print the report as one line of JSON.").BoolVar(&f.json)
	cmd.Flag("workload", "Whose workload and fleet: covor or andina.").Default("covor").EnumVar(&f.workload, "covor", "andina")
	cmd.Flag("pressure", "Scale the load to this share of what the engines yield at best. 0 leaves it as it is.").Float64Var(&f.pressure)
	cmd.Flag("faults", "Take a small system through random faults and check what its users were promised.").BoolVar(&f.faults)
	cmd.Flag("verbose", "Show the instances' logs.").BoolVar(&f.verbose)
	return command{cmd.FullCommand(), f.run}
}

// demoShorten is by how much the demo's answers are shorter than the users'.
const demoShorten = 3

func (f *demoFlags) options() demo.Options {
	opts := demo.Options{
		Workload:  workloadNamed(f.workload, f.duration/3).Shorten(demoShorten),
		Fleet:     loadgen.FleetCovorulDrept,
		Instances: demoInstances,
		Seed:      f.seed,
	}
	if f.workload == "andina" {
		opts.Fleet = loadgen.FleetAgendaAndina
	}
	if f.pressure > 0 {
		best := float64(opts.Fleet.Engines) * engine.Options{}.TokensPerSecond()
		opts.Workload = opts.Workload.ScaleTo(f.pressure * best)
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
		return f.stay(ctx, d)
	}
	report, err := d.Load(ctx, f.duration, progressLine())
	if err != nil {
		return err
	}
	return printReport(report, f.json)
}

// stay prints how to use the running system and waits.
func (f *demoFlags) stay(ctx context.Context, d *demo.Demo) error {
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

// progressLine returns a function that rewrites one line on a terminal, or nil
// where standard error is none.
func progressLine() func(loadgen.Progress) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(p loadgen.Progress) { writeProgress(os.Stderr, p) }
}

func writeProgress(w io.Writer, p loadgen.Progress) {
	// A progress line that can't be shown is no failure.
	_, _ = fmt.Fprintf(w, "\r%5.0fs  requests %d  open %d  completed %d  refused %d  unknown %d  violations %d ",
		p.Elapsed.Seconds(), p.Requests, p.Open, p.Completed, p.Refused, p.Unknown, p.Violations)
}
