package serve

import (
	"context"
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/settings"
)

// listen opens the listeners and the transport that the settings name.
func (i *Instance) listen() error {
	s := i.opts.Settings
	var err error
	if i.callerListener, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen.callers")
	}
	if i.operatorListener, err = net.Listen("tcp", s.Listen.Operators); err != nil {
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

// listenPeers opens the QUIC transport, or returns noTransport if the settings
// name no peer address.
func listenPeers(s settings.Settings, identity *peer.Identity) (Transport, error) {
	if s.Listen.Peers == "" {
		return noTransport{}, nil
	}
	address, err := settings.ParseAddress(s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		loaded, err := peer.LoadIdentity(s.Peers.Certificate, s.Peers.Key, s.Peers.CA)
		if err != nil {
			return nil, err
		}
		identity = &loaded
	}
	return peer.Listen(peer.Options{Listen: address, Identity: *identity})
}

func (i *Instance) closeListeners() {
	if i.callerListener != nil {
		_ = i.callerListener.Close()
	}
	if i.operatorListener != nil {
		_ = i.operatorListener.Close()
	}
}

// noTransport is the transport of an instance that is configured without peers.
type noTransport struct{}

// errNoPeers reports a call of an instance that is configured without peers.
var errNoPeers = errors.New("this instance is configured without peers")

func (noTransport) Call(context.Context, netip.AddrPort, peer.Kind, []byte) ([]byte, error) {
	return nil, errNoPeers
}

func (noTransport) Handle(peer.Kind, peer.Handler) {}

func (noTransport) Local() netip.AddrPort { return netip.AddrPort{} }

func (noTransport) Close() error { return nil }
