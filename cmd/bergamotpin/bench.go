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
	cmd := app.Command("bench", "Play the benchmark's workloads through the decision core and the baselines, in virtual time. Exit code 1: a target is not met.")
	names := cmd.Flag("workload", "Workload to play. Repeat for several; none plays all.").Strings()
	seed := cmd.Flag("seed", "Seed of all draws.").Default("1").Uint64()
	asJSON := cmd.Flag("json", "Print the results as JSON.").Bool()
	return command{cmd.FullCommand(), func(context.Context) error {
		workloads, err := chooseWorkloads(*names)
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

// chooseWorkloads returns the named workloads, or all.
func chooseWorkloads(names []string) ([]bench.Workload, error) {
	all := bench.Workloads()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []bench.Workload
	for _, name := range names {
		i := slices.IndexFunc(all, func(w bench.Workload) bool { return w.Name == name })
		if i < 0 {
			return nil, errors.Errorf("no such workload: %s", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}
