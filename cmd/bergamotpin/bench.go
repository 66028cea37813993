package main

import (
	"context"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/bench"
)

func benchCommand(app *kingpin.Application) command {
	cmd := app.Command("bench", "Run the benchmark's workloads in virtual time, with the scheduler core and with the baseline schedulers. Exit code 1: a target is not met.")
	names := cmd.Flag("workload", "Name of a workload to run. Repeat for several. Without this flag, all workloads are run.").Strings()
	seed := cmd.Flag("seed", "Seed of the random numbers.").Default("1").Uint64()
	asJSON := cmd.Flag("json", "Print the results as JSON.").Bool()
	return command{cmd.FullCommand(), func(context.Context) error {
		workloads, err := selectWorkloads(*names)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		suite := bench.RunSuite(workloads, *seed)
		write := suite.WriteText
		if *asJSON {
			write = suite.WriteJSON
		}
		if err := write(os.Stdout); err != nil {
			return errors.Wrap(err, "report")
		}
		if missed := len(suite.MissedTargets()); missed > 0 {
			return errors.Errorf("%d targets are not met", missed)
		}
		return nil
	}}
}

// selectWorkloads returns the workloads with the given names, or all workloads
// if there are no names.
func selectWorkloads(names []string) ([]bench.Workload, error) {
	all := bench.Workloads()
	if len(names) == 0 {
		return all, nil
	}
	var selected []bench.Workload
	for _, name := range names {
		i := slices.IndexFunc(all, func(w bench.Workload) bool { return w.Name == name })
		if i < 0 {
			return nil, errors.Errorf("unknown workload: %s", name)
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
