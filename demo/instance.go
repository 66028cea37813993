package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/peer/memnet"
	"bergamotpin.example/bergamotpin/schedcore"
	"bergamotpin.example/bergamotpin/serve"
	"bergamotpin.example/bergamotpin/settings"
)

const (
	// restartTimeout limits how long Restart tries to listen on the instance's
	// former addresses.
	restartTimeout = 10 * time.Second
	// restartRetryInterval is the time between two attempts of Restart.
	restartRetryInterval = 20 * time.Millisecond
	// memnetPort is the port of all instances on the in-memory network.
	memnetPort = 7000
)

// Instance is one entry instance of the demo. Each start runs a new
// serve.Instance with the same name and addresses. Only one goroutine at a time
// may call the methods of an Instance.
type Instance struct {
	demo     *Demo
	settings settings.Settings
	current  *serve.Instance // of the latest start
	dialer   *dialer
	stop     context.CancelFunc
	ended    chan struct{} // closed when serve.Instance.Run has returned
	alive    bool
}

// Name returns the instance's name from its settings.
func (n *Instance) Name() string { return n.settings.Instance.Name }

// DataCentre returns the name of the instance's data centre.
func (n *Instance) DataCentre() string { return n.settings.Instance.DataCentre }

// Current returns the serve.Instance of the latest start. The returned instance
// may have ended.
func (n *Instance) Current() *serve.Instance { return n.current }

// Alive returns true from the start of the instance until a call of Kill or
// Leave.
func (n *Instance) Alive() bool { return n.alive }

// Kill stops the instance as a crash would and returns once it has ended. It
// does nothing if the instance isn't running.
func (n *Instance) Kill() {
	if !n.alive {
		return
	}
	n.alive = false
	n.dialer.close()
	n.current.Kill()
	<-n.ended
}

// Leave stops the instance gracefully and returns once it has ended. It does
// nothing if the instance isn't running.
func (n *Instance) Leave() {
	if !n.alive {
		return
	}
	n.alive = false
	n.stop()
	<-n.ended
}

// Restart starts the instance again with the same name and addresses. It does
// nothing if the instance is running.
func (n *Instance) Restart(ctx context.Context) error {
	if n.alive {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	for {
		err := n.start()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "restart %s", n.Name())
		case <-time.After(restartRetryInterval):
		}
	}
}

// start starts the instance and stores the addresses on which the instance
// listens. The next start then uses the same addresses.
func (n *Instance) start() error {
	d := n.demo
	dialer := newDialer()
	opts := serve.Options{
		Settings: n.settings,
		Identity: d.identity,
		Log:      d.opts.Log.With("instance", n.Name()),
		Dial:     dialer.dial,
	}
	if d.opts.OnViolation != nil {
		opts.OnViolation = func(model string, v schedcore.Violation) { d.opts.OnViolation(n.Name(), model, v) }
	}
	if d.opts.Network != nil {
		opts.Transport = d.newTransport(n)
	}
	started, err := serve.Start(opts)
	if err != nil {
		if opts.Transport != nil {
			_ = opts.Transport.Close()
		}
		return err
	}
	n.current, n.dialer, n.alive = started, dialer, true
	n.settings.Listen.Callers = started.CallerAddress().String()
	n.settings.Listen.Operators = started.OperatorAddress().String()
	n.settings.Listen.Peers = started.PeerAddress().String()
	ctx, stop := context.WithCancel(d.ctx)
	ended := make(chan struct{})
	n.stop, n.ended = stop, ended
	d.instanceTasks.Go(func() {
		defer close(ended)
		defer stop()
		defer dialer.close()
		d.runInstance(ctx, started)
	})
	return nil
}

// memnetTransport wraps an endpoint of the in-memory network, so that Close has
// the signature that serve.Transport requires.
type memnetTransport struct{ *memnet.Endpoint }

// Close removes the endpoint from the network.
func (e memnetTransport) Close() error {
	e.Endpoint.Close()
	return nil
}

// newTransport adds an endpoint for the instance to the in-memory network.
func (d *Demo) newTransport(n *Instance) serve.Transport {
	return memnetTransport{d.opts.Network.Listen(netip.MustParseAddrPort(n.settings.Listen.Peers))}
}

// startInstances starts the entry instances and distributes them over the data
// centres.
func (d *Demo) startInstances(platformAddress string) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	identity, err := authority.Issue(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		return err
	}
	d.identity = &identity
	for number := range d.opts.Instances {
		n := &Instance{demo: d, settings: d.newSettings(number, platformAddress)}
		if err := n.start(); err != nil {
			return err
		}
		d.instances = append(d.instances, n)
	}
	d.setSeeds()
	return nil
}

// setSeeds sets the seeds of each instance to the addresses of all other
// instances, so that a restarted instance can join through any of them.
func (d *Demo) setSeeds() {
	for _, n := range d.instances {
		n.settings.Peers.Seeds = nil
		for _, other := range d.instances {
			if other != n {
				n.settings.Peers.Seeds = append(n.settings.Peers.Seeds, other.settings.Listen.Peers)
			}
		}
	}
}

func (d *Demo) newSettings(number int, platformAddress string) settings.Settings {
	s := settings.Default()
	s.Instance.DataCentre = dataCentreName(number % d.opts.Fleet.DataCentres)
	s.Instance.Name = fmt.Sprintf("%s-%d", s.Instance.DataCentre, number/d.opts.Fleet.DataCentres+1)
	s.Listen = settings.Listen{Callers: loopbackAddress, Operators: loopbackAddress, Peers: loopbackAddress}
	if d.opts.Network != nil {
		s.Listen.Peers = fmt.Sprintf("10.0.0.%d:%d", number+1, memnetPort)
	}
	s.Limits.ExplainRecords = explainRecords
	s.Platform.Address = platformAddress
	s.Limits.DrainTimeout = drainTimeout
	if d.opts.StallTimeout > 0 {
		s.Limits.StallTimeout = d.opts.StallTimeout
	}
	for _, n := range d.instances {
		s.Peers.Seeds = append(s.Peers.Seeds, n.settings.Listen.Peers)
	}
	return s
}

func dataCentreName(index int) string { return fmt.Sprintf("dc%d", index+1) }
