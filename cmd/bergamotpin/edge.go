package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"bergamotpin.example/bergamotpin/edge"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/settings"
)

func edgeCommand(app *kingpin.Application) command {
	cmd := app.Command("edge", "Run an entry instance for the users' platform until it receives SIGINT or SIGTERM. On SIGHUP the instance reads its settings again.")
	metricsPort := cmd.Flag("metrics-port", "Port on which to serve metrics as text. 0: serve no metrics.").Default("0").Uint16()
	path := cmd.Flag("settings", "Settings file, in the format of the users' platform.").Envar(platform.EnvSettingsFile).Required().String()
	optionsPath := cmd.Flag("options", "File with the product's own options, in TOML. Without it, the defaults hold.").String()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		options, err := loadEdgeOptions(*optionsPath)
		if err != nil {
			return err
		}
		i, err := edge.Start(edge.Options{SettingsPath: *path, Product: options, LogOutput: os.Stdout, MetricsPort: *metricsPort})
		if err != nil {
			return &exitError{exitUsage, err}
		}
		return i.Run(ctx, reloadSignals(ctx))
	}}
}

// loadEdgeOptions reads the product's own options of the edge command, or returns the defaults
// if path is "". Its errors have the exit code exitUsage.
func loadEdgeOptions(path string) (settings.Edge, error) {
	if path == "" {
		return settings.DefaultEdge(), nil
	}
	options, err := settings.LoadEdge(path)
	if err != nil {
		return options, &exitError{exitUsage, err}
	}
	return options, nil
}

// reloadSignals returns a channel that receives a value for each SIGHUP, until ctx ends. Later
// ones are ignored: by default they would end a process that still answers open requests.
func reloadSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case <-ctx.Done():
				return
			case out <- struct{}{}:
			}
		}
	}()
	return out
}
