package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/resourcefile"
	"bergamotpin.example/bergamotpin/serve"
	"bergamotpin.example/bergamotpin/settings"
)

func serveCommand(app *kingpin.Application) command {
	cmd := app.Command("serve", "Run an entry instance until it receives SIGINT or SIGTERM.")
	path := cmd.Flag("config", "Settings file of the instance, TOML.").Short('c').Required().String()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		s, err := loadSettings(*path)
		if err != nil {
			return err
		}
		i, err := serve.Start(serve.Options{Settings: s, Log: newLog(s.Log)})
		if err != nil {
			return err
		}
		return i.Run(ctx)
	}}
}

func checkCommand(app *kingpin.Application) command {
	cmd := app.Command("check", "Check settings and resource files without starting or writing anything. Exit code 2: a file is invalid.")
	serveSettingsFiles := cmd.Flag("config", "Settings file of the serve command. Repeat for several.").Short('c').Strings()
	resourceFiles := cmd.Flag("file", "Resource file. Repeat for several.").Short('f').Strings()
	edgeSettingsFiles := cmd.Flag("settings", "Settings file of the edge command. Repeat for several.").Short('s').Strings()
	return command{cmd.FullCommand(), func(context.Context) error {
		if len(*serveSettingsFiles)+len(*resourceFiles)+len(*edgeSettingsFiles) == 0 {
			return &exitError{exitUsage, errors.New("give at least one file with -c, -f or -s")}
		}
		return checkFiles(*serveSettingsFiles, *resourceFiles, *edgeSettingsFiles)
	}}
}

// checkFiles checks each file and prints its name if it is valid.
func checkFiles(serveSettingsFiles, resourceFiles, edgeSettingsFiles []string) error {
	for _, path := range edgeSettingsFiles {
		if _, err := platform.LoadSettings(path); err != nil {
			return &exitError{exitUsage, err}
		}
		fmt.Println(path, "ok")
		printReloadables()
	}
	for _, path := range serveSettingsFiles {
		if _, err := loadSettings(path); err != nil {
			return err
		}
		fmt.Println(path, "ok")
	}
	for _, path := range resourceFiles {
		resources, err := resourcefile.Read(path)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		fmt.Println(path, "ok,", len(resources), "resources")
	}
	return nil
}

// printReloadables says which settings of the edge command take effect in a process that runs.
func printReloadables() {
	for _, r := range platform.Reloadables() {
		effect := "at the next start"
		if r.AtOnce {
			effect = "at once"
		}
		fmt.Printf("  %s: a changed value takes effect %s\n", r.Key, effect)
	}
}

// loadSettings reads a settings file of the serve command. Its errors have the
// exit code exitUsage.
func loadSettings(path string) (settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return s, &exitError{exitUsage, err}
	}
	return s, nil
}

// newLog returns a logger with the given settings, which must be valid. It logs
// to standard error.
func newLog(s settings.Log) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		panic("validated log level does not parse: " + err.Error())
	}
	opts := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
