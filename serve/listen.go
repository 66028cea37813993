package serve

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/settings"
)

// listen opens every listener of the settings.
func (i *Instance) listen() error {
	s := i.opts.Settings
	var err error
	if i.callers, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if i.operators, err = net.Listen("tcp", s.Listen.Operators); err != nil {
		return errors.Wrap(err, "listen.operators")
	}
	if i.opts.Transport != nil {
		i.transport = i.opts.Transport
		return nil
	}
	if i.transport, err = listenPeers(s, i.opts.Identity); err != nil {
		return errors.Wrap(err, "listen.peers")
	}
	return nil
}

func listenPeers(s settings.Settings, identity *peer.Identity) (Transport, error) {
	if s.Listen.Peers == "" {
		return noPeers{}, nil
	}
	address, err := settings.ParseAddress(s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		read, err := peer.LoadIdentity(s.Peers.Certificate, s.Peers.Key, s.Peers.CA)
		if err != nil {
			return nil, err
		}
		identity = &read
	}
	return peer.Listen(peer.Options{Listen: address, Identity: *identity})
}

func (i *Instance) closeListeners() {
	if i.callers != nil {
		_ = i.callers.Close()
	}
	if i.operators != nil {
		_ = i.operators.Close()
	}
}

// noPeers is the transport of an instance that runs alone.
type noPeers struct{}

// errNoPeers reports a call by an instance that runs alone.
var errNoPeers = errors.New("this instance has no peers")

func (noPeers) Call(context.Context, netip.AddrPort, peer.Kind, []byte) ([]byte, error) {
	return nil, errNoPeers
}

func (noPeers) Handle(peer.Kind, peer.Handler) {}

func (noPeers) Local() netip.AddrPort { return netip.AddrPort{} }

func (noPeers) Close() error { return nil }
