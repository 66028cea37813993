package demo

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/instance"
	"bergamotpin.example/bergamotpin/load"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/settings"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// loopback is the address on which everything listens, at free ports.
const loopback = "127.0.0.1:0"

// drainTimeout bounds how long an instance finishes its streams at the end.
const drainTimeout = api.Duration(10 * time.Second)

// readyTimeout bounds the time until every instance knows the configuration.
const readyTimeout = 20 * time.Second

// Options sets up a demo.
type Options struct {
	Workload load.Workload
	Fleet    load.Fleet
	// Instances is the number of entry instances.
	Instances int
	Seed      uint64
	Log       *slog.Logger
}

// Demo is a running system. Close ends it.
type Demo struct {
	opts      Options
	platform  *platform.Server
	backends  *backends
	instances []*instance.Instance
	servers   []*http.Server

	stop    context.CancelFunc
	running sync.WaitGroup // instances
	serving sync.WaitGroup // outside systems
}

// Start brings everything up and returns once every instance is ready.
func Start(ctx context.Context, opts Options) (*Demo, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	d := &Demo{opts: opts, platform: platform.New(platform.Options{Seed: opts.Seed})}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	platformAddress, err := d.serve(d.platform)
	if err != nil {
		return err
	}
	if d.backends, err = d.startBackends(); err != nil {
		return err
	}
	if err := d.configure(ctx, platformAddress); err != nil {
		return err
	}
	if err := d.startInstances(platformAddress); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// serve listens on a free port and serves h until Close.
func (d *Demo) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	d.serving.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (d *Demo) startInstances(platformAddress string) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	identity, err := authority.Issue(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for n := range d.opts.Instances {
		s := d.settings(n, platformAddress)
		i, err := instance.Start(instance.Options{Settings: s, Identity: &identity, Log: d.opts.Log.With("instance", s.Instance.Name)})
		if err != nil {
			return err
		}
		d.instances = append(d.instances, i)
		d.running.Go(func() { d.run(ctx, i) })
	}
	return nil
}

func (d *Demo) run(ctx context.Context, i *instance.Instance) {
	if err := i.Run(ctx); err != nil {
		d.opts.Log.Error("instance failed", "error", err)
	}
}

func (d *Demo) settings(n int, platformAddress string) settings.Settings {
	s := settings.Default()
	s.Instance.DataCentre = dataCentre(n % d.opts.Fleet.DataCentres)
	s.Instance.Name = fmt.Sprintf("%s-%d", s.Instance.DataCentre, n/d.opts.Fleet.DataCentres+1)
	s.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback}
	s.Platform.Address = platformAddress
	s.Limits.DrainTimeout = drainTimeout
	for _, i := range d.instances {
		s.Peers.Seeds = append(s.Peers.Seeds, i.Peers().String())
	}
	return s
}

func dataCentre(n int) string { return fmt.Sprintf("dc%d", n+1) }

// Callers returns the addresses on which callers are served.
func (d *Demo) Callers() []string {
	var out []string
	for _, i := range d.instances {
		out = append(out, i.Callers().String())
	}
	return out
}

// Operators returns the address of one instance's operators' API.
func (d *Demo) Operators() string { return d.instances[0].Operators().String() }

// Platform returns the stand-in platform, for its faults.
func (d *Demo) Platform() *platform.Server { return d.platform }

// Load sends the workload for a time and returns what came of it.
func (d *Demo) Load(ctx context.Context, duration time.Duration, onProgress func(load.Progress)) (load.Report, error) {
	return load.Run(ctx, load.Options{
		Addresses:  d.Callers(),
		Duration:   duration,
		Workload:   d.opts.Workload,
		Seed:       d.opts.Seed,
		Checks:     load.Checks{KeyRuns: d.backends.keyRuns, PromptRuns: d.backends.promptRuns},
		OnProgress: onProgress,
	})
}

// awaitReady returns once every instance is ready.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range d.instances {
		if err := awaitReady(ctx, i.Operators().String()); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything and returns after it ended.
func (d *Demo) Close() {
	if d.stop != nil {
		d.stop()
	}
	d.running.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.serving.Wait()
	d.platform.Close()
	if d.backends != nil {
		d.backends.close()
	}
}
