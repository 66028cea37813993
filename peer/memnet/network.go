package memnet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// way is one direction between two addresses.
type way struct{ from, to netip.AddrPort }

// Network connects endpoints. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[netip.AddrPort]*Endpoint
	cuts      map[way]bool
	thawed    map[netip.AddrPort]chan struct{} // closed when the address thaws
	delay     time.Duration
	loss      float64
}

// New returns a network without delay or loss. The seed feeds the choice of
// the messages that are lost.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, seed)),
		endpoints: make(map[netip.AddrPort]*Endpoint),
		cuts:      make(map[way]bool),
		thawed:    make(map[netip.AddrPort]chan struct{}),
	}
}

// CutOneWay loses everything from one address to the other until Heal.
func (n *Network) CutOneWay(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[way{from, to}] = true
}

// Cut loses everything between two addresses until Heal.
func (n *Network) Cut(a, b netip.AddrPort) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Isolate cuts an address from every other one that has an endpoint.
func (n *Network) Isolate(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for b := range n.endpoints {
		n.cuts[way{a, b}] = true
		n.cuts[way{b, a}] = true
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// SetDelay sets the time that a message takes one way.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetLoss sets the share of messages that are lost, from 0 to 1.
func (n *Network) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// Freeze stops an endpoint's sending and answering until Thaw.
func (n *Network) Freeze(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, frozen := n.thawed[a]; !frozen {
		n.thawed[a] = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (n *Network) Thaw(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch, frozen := n.thawed[a]; frozen {
		close(ch)
		delete(n.thawed, a)
	}
}

// frozen returns a channel that is closed when a thaws, or nil if a runs.
func (n *Network) frozen(a netip.AddrPort) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch, ok := n.thawed[a]; ok {
		return ch
	}
	return nil
}

// carry decides about one message: how long it takes, and whether it arrives.
func (n *Network) carry(w way) (delay time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.loss > 0 && n.random.Float64() < n.loss
	return n.delay, !lost && !n.cuts[w]
}

func (n *Network) endpoint(a netip.AddrPort) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[a]
}
