package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/settings"
	"bergamotpin.example/bergamotpin/standin/engine"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// standinGroup returns the parent command of the stand-in commands. If app has
// no such command yet, standinGroup adds it.
func standinGroup(app *kingpin.Application) *kingpin.CmdClause {
	if cmd := app.GetCommand("standin"); cmd != nil {
		return cmd
	}
	return app.Command("standin", "Run a stand-in for an external system on loopback, for trials and tests.")
}

func standinPlatformCommand(app *kingpin.Application) command {
	cmd := standinGroup(app).Command("platform", "Stand-in for the platform's object API.")
	listen := listenFlag(cmd, "127.0.0.1:9000")
	seed := cmd.Flag("seed", "Seed of the random numbers that decide when faults occur.").Default("1").Uint64()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		server := platform.New(platform.Options{Seed: *seed})
		defer server.Close()
		return serveHandler(ctx, *listen, server)
	}}
}

func standinEngineCommand(app *kingpin.Application) command {
	cmd := standinGroup(app).Command("engine", "Stand-in for a model engine.")
	listen := listenFlag(cmd, "127.0.0.1:9100")
	models := cmd.Flag("model", "Model version to serve. Repeat for several. Without this flag, the engine serves any model.").Strings()
	tokenTime := cmd.Flag("token-time", "Time to generate one token while the engine runs a single request.").Default("10ms").Duration()
	fencing := cmd.Flag("checks-fencing", "Refuse an order if its fencing token is lower than that of the last order.").Bool()
	seed := cmd.Flag("seed", "Seed of the random numbers that decide when faults occur.").Default("1").Uint64()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		server := engine.New(engine.Options{
			Models: *models, TokenTime: *tokenTime, ChecksFencing: *fencing, Seed: *seed,
		})
		defer server.Close()
		return serveHandler(ctx, *listen, server)
	}}
}

func standinServiceCommand(app *kingpin.Application) command {
	cmd := standinGroup(app).Command("service", "Stand-in for a service that is not a model engine and whose calls must not run twice.")
	listen := listenFlag(cmd, "127.0.0.1:9200")
	name := cmd.Flag("name", "Name of the service. Responses contain it.").Default("service").String()
	seed := cmd.Flag("seed", "Seed of the random numbers that decide when faults occur.").Default("1").Uint64()
	return command{cmd.FullCommand(), func(ctx context.Context) error {
		server := service.New(service.Options{Name: *name, Seed: *seed})
		defer server.Close()
		return serveHandler(ctx, *listen, server)
	}}
}

func listenFlag(cmd *kingpin.CmdClause, address string) *string {
	return cmd.Flag("listen", "Loopback IP address and port to listen on.").Default(address).String()
}

// shutdownTimeout is how long a stand-in that stops waits for open requests to
// finish.
const shutdownTimeout = 2 * time.Second

// serveHandler serves HTTP on a loopback address until ctx ends.
func serveHandler(ctx context.Context, address string, h http.Handler) error {
	parsed, err := settings.ParseAddress(address)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "--listen")}
	}
	if !parsed.Addr().IsLoopback() {
		return &exitError{exitUsage, errors.New("--listen: stand-ins only serve on loopback addresses")}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println("serving on", listener.Addr())
	server := &http.Server{Handler: h}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
