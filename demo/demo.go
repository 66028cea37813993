package demo

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/serve"
	"bergamotpin.example/bergamotpin/standin/engine"
	"bergamotpin.example/bergamotpin/standin/platform"
	"bergamotpin.example/bergamotpin/standin/service"
)

// loopback is the address on which everything listens, at free ports.
const loopback = "127.0.0.1:0"

// explainRecords is how many decisions each pool can explain.
const explainRecords = 1000

// drainTimeout bounds how long an instance finishes its streams at the end.
const drainTimeout = api.Duration(10 * time.Second)

// readyTimeout bounds the time until every instance knows the configuration.
const readyTimeout = 20 * time.Second

// Options sets up a demo.
type Options struct {
	Workload loadgen.Workload
	Fleet    loadgen.Fleet
	// Instances is the number of entry instances.
	Instances int
	Seed      uint64
	Log       *slog.Logger
	// Network carries the messages between instances in place of QUIC. Nil
	// means QUIC.
	Network *memnet.Network
	// Slots is how many requests an engine runs at a time. Zero means
	// engineSlots.
	Slots int
	// Audit is called for each decision that breaks a rule of package schedcore.
	// Nil audits nothing.
	Audit func(instance, model string, v schedcore.Violation)
	// StallTimeout replaces the instances' default if it is set.
	StallTimeout api.Duration
}

// Demo is a running system. Close ends it.
type Demo struct {
	opts      Options
	platform  *platform.Server
	backends  *backends
	instances []*Instance
	identity  *peer.Identity
	servers   []*http.Server

	ctx     context.Context // ends the instances
	stop    context.CancelFunc
	running sync.WaitGroup // instances
	serving sync.WaitGroup // outside systems
}

// Start brings everything up and returns once every instance is ready.
func Start(ctx context.Context, opts Options) (*Demo, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Slots == 0 {
		opts.Slots = engineSlots
	}
	d := &Demo{opts: opts, platform: platform.New(platform.Options{Seed: opts.Seed})}
	d.ctx, d.stop = context.WithCancel(context.Background())
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

func (d *Demo) run(ctx context.Context, i *serve.Instance) {
	if err := i.Run(ctx); err != nil {
		d.opts.Log.Error("instance failed", "error", err)
	}
}

// CallerAddresses returns the addresses on which callers are served.
func (d *Demo) CallerAddresses() []string {
	var out []string
	for _, n := range d.instances {
		out = append(out, n.instance.CallerAddress().String())
	}
	return out
}

// OperatorAddresses returns the addresses of the instances' operators' API.
func (d *Demo) OperatorAddresses() []string {
	var out []string
	for _, n := range d.instances {
		out = append(out, n.instance.OperatorAddress().String())
	}
	return out
}

// Platform returns the stand-in platform, for its faults.
func (d *Demo) Platform() *platform.Server { return d.platform }

// Instances returns the entry instances. The caller must not change the list.
func (d *Demo) Instances() []*Instance { return d.instances }

// Engines returns the stand-in engines, for their faults.
func (d *Demo) Engines() []*engine.Server { return d.backends.engines }

// Services returns the stand-in services, for their faults.
func (d *Demo) Services() []*service.Server { return d.backends.services }

// RunCounts asks the stand-ins what they ran.
func (d *Demo) RunCounts() loadgen.RunCounts {
	return loadgen.RunCounts{KeyRuns: d.backends.keyRuns, PromptRuns: d.backends.promptRuns}
}

// Load sends the workload for a time and returns what came of it.
func (d *Demo) Load(ctx context.Context, duration time.Duration, onProgress func(loadgen.Progress)) (loadgen.Report, error) {
	return loadgen.Run(ctx, loadgen.Options{
		Addresses:  d.CallerAddresses(),
		Duration:   duration,
		Workload:   d.opts.Workload,
		Seed:       d.opts.Seed,
		RunCounts:  d.RunCounts(),
		OnProgress: onProgress,
	})
}

// awaitReady returns once every instance is ready.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.instances {
		if err := awaitReady(ctx, n.instance.OperatorAddress().String()); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything and returns after it ended.
func (d *Demo) Close() {
	d.stop()
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
