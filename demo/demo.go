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

// loopbackAddress is the address that all servers of the demo listen on, each
// at a free port.
const loopbackAddress = "127.0.0.1:0"

// explainRecords is how many recent scheduling decisions each pool stores for
// later explanation.
const explainRecords = 1000

// drainTimeout limits how long a leaving instance waits for its open streams.
const drainTimeout = api.Duration(10 * time.Second)

// readyTimeout limits how long Start waits for all instances to become ready.
const readyTimeout = 20 * time.Second

// Options configures a demo.
type Options struct {
	// Workload is the load that RunLoad sends. Start creates its resources.
	Workload loadgen.Workload
	// Fleet is the number of data centres and backend servers.
	Fleet loadgen.Fleet
	// Instances is the number of entry instances.
	Instances int
	// Seed is the seed of all random choices.
	Seed uint64
	// Log receives the instances' logs. Nil discards them.
	Log *slog.Logger
	// Network is the in-memory network for the messages between instances. Nil
	// means that they use QUIC.
	Network *memnet.Network
	// EngineSlots is how many requests an engine runs at the same time. Zero
	// means 16.
	EngineSlots int
	// OnViolation is called for each broken rule that package schedcore's
	// auditor finds in a scheduling decision. Nil turns the auditor off.
	OnViolation func(instance, model string, v schedcore.Violation)
	// StallTimeout is how long an instance waits for the next frame of an
	// engine's response. Zero means the default of package settings.
	StallTimeout api.Duration
}

// Demo is a running system. Close stops it.
type Demo struct {
	opts      Options
	platform  *platform.Server
	backends  *backends
	instances []*Instance
	identity  *peer.Identity
	servers   []*http.Server

	ctx           context.Context // ends when the instances must stop
	stop          context.CancelFunc
	instanceTasks sync.WaitGroup // goroutines that run instances
	serverTasks   sync.WaitGroup // goroutines that serve the platform and the backend servers
}

// Start starts the whole system and returns once every instance is ready.
func Start(ctx context.Context, opts Options) (*Demo, error) {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.EngineSlots == 0 {
		opts.EngineSlots = defaultEngineSlots
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
	platformAddress, err := d.startServer(d.platform)
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

// startServer listens on a free port, serves the handler there until Close, and
// returns the address.
func (d *Demo) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	d.serverTasks.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (d *Demo) runInstance(ctx context.Context, instance *serve.Instance) {
	if err := instance.Run(ctx); err != nil {
		d.opts.Log.Error("instance ended with an error", "error", err)
	}
}

// CallerAddresses returns each instance's address for callers, as host:port.
func (d *Demo) CallerAddresses() []string {
	var out []string
	for _, n := range d.instances {
		out = append(out, n.current.CallerAddress().String())
	}
	return out
}

// OperatorAddresses returns each instance's address for operators, as
// host:port.
func (d *Demo) OperatorAddresses() []string {
	var out []string
	for _, n := range d.instances {
		out = append(out, n.current.OperatorAddress().String())
	}
	return out
}

// Platform returns the stand-in platform, so that tests can inject faults.
func (d *Demo) Platform() *platform.Server { return d.platform }

// Instances returns the entry instances. The caller must not modify the slice.
func (d *Demo) Instances() []*Instance { return d.instances }

// Engines returns the stand-in engines, so that tests can inject faults.
func (d *Demo) Engines() []*engine.Server { return d.backends.engines }

// Services returns the stand-in plain services, so that tests can inject
// faults.
func (d *Demo) Services() []*service.Server { return d.backends.services }

// RunCounts returns functions that count what the stand-in backend servers ran.
func (d *Demo) RunCounts() loadgen.RunCounts {
	return loadgen.RunCounts{KeyRuns: d.backends.keyRuns, PromptRuns: d.backends.promptRuns}
}

// RunLoad sends the workload for the given duration and returns the load
// generator's report.
func (d *Demo) RunLoad(ctx context.Context, duration time.Duration, onProgress func(loadgen.Progress)) (loadgen.Report, error) {
	return loadgen.Run(ctx, loadgen.Options{
		Addresses:  d.CallerAddresses(),
		Duration:   duration,
		Workload:   d.opts.Workload,
		Seed:       d.opts.Seed,
		RunCounts:  d.RunCounts(),
		OnProgress: onProgress,
	})
}

// awaitReady returns nil once every instance is ready, or an error after
// readyTimeout.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.instances {
		if err := awaitReady(ctx, n.current.OperatorAddress().String()); err != nil {
			return err
		}
	}
	return nil
}

// Close stops the whole system and waits until all of it has ended.
func (d *Demo) Close() {
	d.stop()
	d.instanceTasks.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.serverTasks.Wait()
	d.platform.Close()
	if d.backends != nil {
		d.backends.close()
	}
}
