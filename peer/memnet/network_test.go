package memnet

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

var (
	addrA = netip.MustParseAddrPort("10.0.0.1:1")
	addrB = netip.MustParseAddrPort("10.0.0.2:1")
)

func respondOK(context.Context, netip.AddrPort, []byte) ([]byte, error) { return []byte("ok"), nil }

// timeCall makes a call with a timeout of one second and returns its duration
// and error.
func timeCall(e *Endpoint, to netip.AddrPort) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := time.Now()
	_, err := e.Call(ctx, to, peer.KindTickets, nil)
	return time.Since(start), err
}

// TestNetworkFaults makes a call from addrA to addrB under one fault at a time.
// It checks the duration and the error of the call.
func TestNetworkFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n *Network)
		took  time.Duration
		err   error
	}{
		{"none", func(*Network) {}, 0, nil},
		{"delay", func(n *Network) { n.SetDelay(30 * time.Millisecond) }, 60 * time.Millisecond, nil},
		{"loss", func(n *Network) { n.SetLoss(1) }, time.Second, context.DeadlineExceeded},
		{"cut", func(n *Network) { n.Cut(addrA, addrB) }, time.Second, context.DeadlineExceeded},
		{"request lost", func(n *Network) { n.CutOneWay(addrA, addrB) }, time.Second, context.DeadlineExceeded},
		{"response lost", func(n *Network) { n.CutOneWay(addrB, addrA) }, time.Second, context.DeadlineExceeded},
		{"isolated", func(n *Network) { n.Isolate(addrB) }, time.Second, context.DeadlineExceeded},
		{"healed", func(n *Network) { n.Isolate(addrB); n.Heal() }, 0, nil},
		{"receiver frozen", func(n *Network) { n.Freeze(addrB) }, time.Second, context.DeadlineExceeded},
		{"sender frozen", func(n *Network) { n.Freeze(addrA) }, time.Second, context.DeadlineExceeded},
		{"thawed in time", func(n *Network) {
			n.Freeze(addrB)
			time.AfterFunc(time.Second/2, func() { n.Thaw(addrB) })
		}, time.Second / 2, nil},
		{"gone", func(n *Network) { n.endpoint(addrB).Close() }, time.Second, context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(1)
				a, b := n.Listen(addrA), n.Listen(addrB)
				defer a.Close()
				defer b.Close()
				b.Handle(peer.KindTickets, respondOK)
				test.fault(n)
				took, err := timeCall(a, addrB)
				if took != test.took || !errors.Is(err, test.err) {
					t.Errorf("call took %v and returned error %v, want it to take %v and return error %v", took, err, test.took, test.err)
				}
			})
		})
	}
}

// TestClosedEndpointSendsNothing makes a call from a closed endpoint. The call
// must fail with ErrClosed and must not reach the other endpoint.
func TestClosedEndpointSendsNothing(t *testing.T) {
	n := New(1)
	a, b := n.Listen(addrA), n.Listen(addrB)
	b.Handle(peer.KindTickets, respondOK)
	a.Close()
	if _, err := timeCall(a, addrB); !errors.Is(err, peer.ErrClosed) {
		t.Errorf("call from a closed endpoint: got %v, want ErrClosed", err)
	}
	if got := len(b.Counters().Received); got != 0 {
		t.Errorf("the receiver got messages of %d kinds from a closed endpoint, want none", got)
	}
	b.Close()
}
