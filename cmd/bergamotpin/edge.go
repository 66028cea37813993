package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"bergamotpin.example/bergamotpin/edge"
	"bergamotpin.example/bergamotpin/platform"
)

func edgeCommand(app *kingpin.Application) command {
	cmd := app.Command("edge", "Run an entry instance on the users' platform until it is told to stop.")
	metricsPort := cmd.Flag("metrics-port", "Port that tells metrics as text. 0: none.").Default("0").Uint16()
	path := cmd.Flag("settings", "The platform's settings file.").Envar(platform.EnvSettingsFile).Required().String()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		i, err := edge.Start(edge.Options{SettingsPath: *path, LogOutput: os.Stdout, MetricsPort: *metricsPort})
		if err != nil {
			return &exitError{exitUsage, err}
		}
		return i.Run(ctx, reloads(ctx))
	}}
}

// reloads tells of each signal to read the settings again.
func reloads(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		defer signal.Stop(signals)
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
