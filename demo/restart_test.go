package demo

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bergamotpin.example/bergamotpin/loadgen"
	"bergamotpin.example/bergamotpin/peer/memnet"
)

// TestKilledInstanceStartsAgain kills an instance under load and starts it
// again at its addresses.
func TestKilledInstanceStartsAgain(t *testing.T) {
	networks := map[string]*memnet.Network{"quic": nil, "memory": memnet.New(1)}
	for name, network := range networks {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			d, err := Start(t.Context(), Options{
				Workload:  loadgen.CovorulDrept(-1).Shorten(10),
				Fleet:     loadgen.Fleet{DataCentres: 1, Engines: 2, Services: 1},
				Instances: 2,
				Seed:      1,
				Network:   network,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			killAndRestart(t, d)
		})
	}
}

func killAndRestart(t *testing.T, d *Demo) {
	n := d.Instances()[0]
	killed := make(chan struct{})
	time.AfterFunc(500*time.Millisecond, func() {
		defer close(killed)
		n.Kill()
	})
	before, err := d.Load(t.Context(), time.Second, nil)
	if err != nil || before.Unknown == 0 || before.Violations != 0 {
		t.Fatalf("load over a kill: %+v, %v", before, err)
	}
	<-killed
	callers := n.Current().CallerAddress().String()
	if conn, err := net.Dial("tcp", callers); err == nil {
		_ = conn.Close()
		t.Fatal("a killed instance takes connections")
	}
	if err := n.Restart(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := n.Current().CallerAddress().String(); got != callers {
		t.Fatalf("callers' address %s, was %s", got, callers)
	}
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	if err := awaitReady(ctx, n.Current().OperatorAddress().String()); err != nil {
		t.Fatal(err)
	}
}
