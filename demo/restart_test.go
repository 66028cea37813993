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

// TestKilledInstanceStartsAgain checks that an instance killed under load can
// be started again at the same addresses and becomes ready. Some requests must
// end with an unknown outcome, and no guarantee may be violated.
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
	instance := d.Instances()[0]
	killed := make(chan struct{})
	time.AfterFunc(500*time.Millisecond, func() {
		defer close(killed)
		instance.Kill()
	})
	report, err := d.Load(t.Context(), time.Second, nil)
	if err != nil || report.Unknown == 0 || report.Violations != 0 {
		t.Fatalf("want unknown outcomes, no violations and no error under a load with a kill; got report %+v, error %v", report, err)
	}
	<-killed
	callerAddress := instance.Current().CallerAddress().String()
	if conn, err := net.Dial("tcp", callerAddress); err == nil {
		_ = conn.Close()
		t.Fatal("a killed instance still accepts connections")
	}
	if err := instance.Restart(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := instance.Current().CallerAddress().String(); got != callerAddress {
		t.Fatalf("address for callers after the restart is %s, before it was %s", got, callerAddress)
	}
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	if err := awaitReady(ctx, instance.Current().OperatorAddress().String()); err != nil {
		t.Fatal(err)
	}
}
