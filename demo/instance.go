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
	// restartTimeout bounds the time until the addresses of a killed instance
	// can be listened on again.
	restartTimeout = 10 * time.Second
	// restartRetry is the time between two tries.
	restartRetry = 20 * time.Millisecond
	// memoryPort is the port of instances on a network in memory.
	memoryPort = 7000
)

// Instance is one entry instance of the demo over its restarts. Its methods are
// called by one goroutine at a time.
type Instance struct {
	demo     *Demo
	settings settings.Settings
	instance *serve.Instance
	dialer   *dialer
	stop     context.CancelFunc
	ended    chan struct{} // closed when the instance's Run returned
	alive    bool
}

// Name returns the instance's name.
func (n *Instance) Name() string { return n.settings.Instance.Name }

// DataCentre returns the instance's data centre.
func (n *Instance) DataCentre() string { return n.settings.Instance.DataCentre }

// Current returns the running instance, or the one that ran last.
func (n *Instance) Current() *serve.Instance { return n.instance }

// Alive reports whether the instance was not ended.
func (n *Instance) Alive() bool { return n.alive }

// Kill ends the instance as a crash does and returns once it is gone. Killing
// it twice is harmless.
func (n *Instance) Kill() {
	if !n.alive {
		return
	}
	n.alive = false
	n.dialer.close()
	n.instance.Kill()
	<-n.ended
}

// Leave ends the instance gracefully and returns once it is gone. If it was
// ended before, nothing happens.
func (n *Instance) Leave() {
	if !n.alive {
		return
	}
	n.alive = false
	n.stop()
	<-n.ended
}

// Restart starts an ended instance again, with the same name and addresses. A
// running one is left alone.
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
		case <-time.After(restartRetry):
		}
	}
}

// start starts the instance and keeps the addresses that it got.
func (n *Instance) start() error {
	d := n.demo
	dialer := newDialer()
	opts := serve.Options{
		Settings: n.settings,
		Identity: d.identity,
		Log:      d.opts.Log.With("instance", n.Name()),
		Dial:     dialer.dial,
	}
	if d.opts.Audit != nil {
		opts.Audit = func(model string, v schedcore.Violation) { d.opts.Audit(n.Name(), model, v) }
	}
	if d.opts.Network != nil {
		opts.Transport = d.endpoint(n)
	}
	i, err := serve.Start(opts)
	if err != nil {
		if opts.Transport != nil {
			_ = opts.Transport.Close()
		}
		return err
	}
	n.instance, n.dialer, n.alive = i, dialer, true
	n.settings.Listen.Callers = i.CallerAddress().String()
	n.settings.Listen.Operators = i.OperatorAddress().String()
	n.settings.Listen.Peers = i.PeerAddress().String()
	ctx, stop := context.WithCancel(d.ctx)
	ended := make(chan struct{})
	n.stop, n.ended = stop, ended
	d.running.Go(func() {
		defer close(ended)
		defer stop()
		defer dialer.close()
		d.run(ctx, i)
	})
	return nil
}

// endpoint is an endpoint in memory as an instance's transport.
type endpoint struct{ *memnet.Endpoint }

// Close takes the endpoint off the network.
func (e endpoint) Close() error {
	e.Endpoint.Close()
	return nil
}

// endpoint adds an instance's endpoint to the network in memory.
func (d *Demo) endpoint(n *Instance) serve.Transport {
	return endpoint{d.opts.Network.Listen(netip.MustParseAddrPort(n.settings.Listen.Peers))}
}

// startInstances starts the entry instances, spread over the data centres.
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
		n := &Instance{demo: d, settings: d.settings(number, platformAddress)}
		if err := n.start(); err != nil {
			return err
		}
		d.instances = append(d.instances, n)
	}
	d.shareSeeds()
	return nil
}

// shareSeeds lets each instance that starts again ask all others.
func (d *Demo) shareSeeds() {
	for _, n := range d.instances {
		n.settings.Peers.Seeds = nil
		for _, other := range d.instances {
			if other != n {
				n.settings.Peers.Seeds = append(n.settings.Peers.Seeds, other.settings.Listen.Peers)
			}
		}
	}
}

func (d *Demo) settings(number int, platformAddress string) settings.Settings {
	s := settings.Default()
	s.Instance.DataCentre = dataCentre(number % d.opts.Fleet.DataCentres)
	s.Instance.Name = fmt.Sprintf("%s-%d", s.Instance.DataCentre, number/d.opts.Fleet.DataCentres+1)
	s.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: loopback}
	if d.opts.Network != nil {
		s.Listen.Peers = fmt.Sprintf("10.0.0.%d:%d", number+1, memoryPort)
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

func dataCentre(n int) string { return fmt.Sprintf("dc%d", n+1) }
