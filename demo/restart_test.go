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

// TestKilledInstanceStartsAgain kills an instance during a load and starts the
// instance again. The load must have requests with an unknown outcome and no
// violated guarantee. The instance must become ready at its former addresses.
func TestKilledInstanceStartsAgain(t *testing.T) {
	networks := map[string]*memnet.Network{"quic": nil, "memory": memnet.New(1)}
	for name, network := range networks {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			d, err := Start(t.Context(), Options{
				Workload:  loadgen.CovorulDreptWorkload(-1).Shorten(10),
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
	report, err := d.RunLoad(t.Context(), time.Second, nil)
	if err != nil || report.Unknown == 0 || report.Violations != 0 {
		t.Fatalf("an instance was killed during the load: want unknown outcomes, no violations and no error; got report %+v, error %v", report, err)
	}
	<-killed
	callerAddress := instance.Current().CallerAddress().String()
	if conn, err := net.Dial("tcp", callerAddress); err == nil {
		_ = conn.Close()
		t.Fatal("the killed instance still accepts connections from callers")
	}
	if err := instance.Restart(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := instance.Current().CallerAddress().String(); got != callerAddress {
		t.Fatalf("got address for callers %s after the restart, want %s as before", got, callerAddress)
	}
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	if err := awaitReady(ctx, instance.Current().OperatorAddress().String()); err != nil {
		t.Fatal(err)
	}
}
