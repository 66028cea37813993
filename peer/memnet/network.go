package memnet

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// direction identifies the messages that go from one address to another.
type direction struct{ from, to netip.AddrPort }

// Network connects endpoints. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[netip.AddrPort]*Endpoint
	cuts      map[direction]bool
	thawed    map[netip.AddrPort]chan struct{} // one channel for each frozen address, closed at its thaw
	delay     time.Duration                    // of each message
	loss      float64                          // fraction of messages that are lost
}

// New returns a network without delay or loss. The seed determines which
// messages are lost.
func New(seed uint64) *Network {
	return &Network{
		random:    rand.New(rand.NewPCG(seed, seed)),
		endpoints: make(map[netip.AddrPort]*Endpoint),
		cuts:      make(map[direction]bool),
		thawed:    make(map[netip.AddrPort]chan struct{}),
	}
}

// CutOneWay drops all messages from one address to the other until Heal.
func (n *Network) CutOneWay(from, to netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = true
}

// Cut drops all messages between two addresses until Heal.
func (n *Network) Cut(a, b netip.AddrPort) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Isolate cuts an address off from all current endpoints until Heal.
func (n *Network) Isolate(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for b := range n.endpoints {
		n.cuts[direction{a, b}] = true
		n.cuts[direction{b, a}] = true
	}
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// SetDelay sets the delay of each request and of each response.
func (n *Network) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// SetLoss sets the fraction of messages that are lost, from 0 to 1.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// Freeze pauses the endpoint at an address: it neither sends nor responds until
// Thaw.
func (n *Network) Freeze(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, frozen := n.thawed[a]; !frozen {
		n.thawed[a] = make(chan struct{})
	}
}

// Thaw resumes a frozen endpoint.
func (n *Network) Thaw(a netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch, frozen := n.thawed[a]; frozen {
		close(ch)
		delete(n.thawed, a)
	}
}

// thawSignal returns a channel that is closed when the endpoint at the address
// a thaws. It returns nil if that endpoint is not frozen.
func (n *Network) thawSignal(a netip.AddrPort) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch, ok := n.thawed[a]; ok {
		return ch
	}
	return nil
}

// decideDelivery returns the delay of one message and whether it arrives.
func (n *Network) decideDelivery(dir direction) (delay time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.loss > 0 && n.random.Float64() < n.loss
	return n.delay, !lost && !n.cuts[dir]
}

func (n *Network) endpoint(a netip.AddrPort) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[a]
}
