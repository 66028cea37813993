package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// faultyFleet is a fleet whose configuration and faults change at random.
type faultyFleet struct {
	*fleet
	rng *rand.Rand
}

// changeConfig deletes a backend server, or writes an invalid or a valid spec. The
// call may fail, because the platform has faults.
func (f *faultyFleet) changeConfig() {
	ctx := f.t.Context()
	name := fmt.Sprintf("s%d", f.rng.IntN(3))
	obj, err := f.admin.Get(ctx, api.KindBackendServer, name)
	switch {
	case err == nil && f.rng.IntN(4) == 0:
		_ = f.admin.Delete(ctx, obj.Kind, name, obj.Version)
	case err == nil && f.rng.IntN(4) == 0:
		obj.Spec = []byte(`{"address":"nowhere"}`)
		_, _ = f.admin.Update(ctx, obj)
	default:
		_, _ = Edit(ctx, f.admin, api.KindBackendServer, name, setSlots(1+f.rng.IntN(1000)))
	}
}

// setRandomPlatformFaults sets latency and lost confirmations, and at random also
// stale reads and an outage.
func (f *faultyFleet) setRandomPlatformFaults() {
	faults := platform.Faults{
		Latency:           api.Duration(f.rng.IntN(800)) * api.Duration(time.Millisecond),
		LoseConfirmations: f.rng.Float64() / 2,
	}
	if f.rng.IntN(2) == 0 {
		faults.StaleReads = api.Duration(f.rng.IntN(60)) * api.Duration(time.Second)
	}
	switch f.rng.IntN(4) {
	case 0:
		faults.Outage = platform.OutageRefuse
	case 1:
		faults.Outage = platform.OutageHang
	}
	f.platform.SetFaults(faults)
}

// injectRandomMemberFault injects one of several faults. It changes whether a
// random instance can reach the platform, cuts the instance off from all peers,
// drops its messages to one peer, freezes it for 20 s or restarts it, or it sets
// the message loss of the network.
func (f *faultyFleet) injectRandomMemberFault() {
	m := f.members[f.rng.IntN(len(f.members))]
	switch f.rng.IntN(6) {
	case 0:
		m.platformCut.Store(!m.platformCut.Load())
	case 1:
		f.network.Isolate(m.address)
	case 2:
		f.network.CutOneWay(m.address, f.members[f.rng.IntN(len(f.members))].address)
	case 3:
		f.network.Freeze(m.address)
		time.AfterFunc(20*time.Second, func() { f.network.Thaw(m.address) })
	case 4:
		m.kill()
		m.start()
	default:
		f.network.SetLoss(f.rng.Float64() / 2)
	}
}

// healAll ends all faults of the platform, the network and the members.
func (f *faultyFleet) healAll() {
	f.clearFaults()
	f.network.Heal()
	f.network.SetLoss(0)
	for _, m := range f.members {
		f.network.Thaw(m.address)
		m.platformCut.Store(false)
	}
}

// expectConverged fails the test unless all instances are ready, hold the same
// records and have the platform's valid specs in force.
func (f *faultyFleet) expectConverged(seed uint64) {
	want := f.members[0].store.Digest().Sums
	for _, m := range f.members {
		if !m.store.Ready() || m.store.Digest().Sums != want {
			f.t.Errorf("seed %d: instance %d: ready is %v, want true; digest differs from that of instance 0: %v, want false", seed, m.index, m.store.Ready(), m.store.Digest().Sums != want)
		}
	}
	list, err := f.admin.List(f.t.Context(), api.KindBackendServer)
	if err != nil {
		f.t.Fatal(err)
	}
	snap := f.members[0].store.Snapshot()
	for _, obj := range list.Items {
		if api.Validate(obj) == nil && snap.BackendServers[obj.Name].SpecVersion != obj.SpecVersion {
			f.t.Errorf("seed %d: backend server %s is in force at spec version %d, want %d", seed, obj.Name, snap.BackendServers[obj.Name].SpecVersion, obj.SpecVersion)
		}
	}
	if len(snap.BackendServers) > len(list.Items) {
		f.t.Errorf("seed %d: %d backend servers in force, want at most %d, the number at the platform", seed, len(snap.BackendServers), len(list.Items))
	}
}

// Under random changes and faults, no instance may fall back to an older spec or
// restore a deleted resource. A minute after the faults end, all instances must agree.
func TestVersionsNeverFallUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 9, 3, platform.Options{Seed: seed, History: 20})
			faulty := &faultyFleet{fleet: f, rng: rand.New(rand.NewPCG(seed, 7))}
			f.startAll()
			f.awaitReady(10 * time.Second)
			for range 40 {
				for range 1 + faulty.rng.IntN(4) {
					faulty.changeConfig()
				}
				faulty.injectRandomMemberFault()
				if faulty.rng.IntN(3) == 0 {
					faulty.setRandomPlatformFaults()
				}
				if faulty.rng.IntN(8) == 0 {
					faulty.healAll()
				}
				time.Sleep(time.Duration(faulty.rng.IntN(5000)) * time.Millisecond)
				if t.Failed() {
					t.Fatalf("seed %d failed: see the errors above", seed)
				}
			}
			faulty.healAll()
			time.Sleep(time.Minute)
			faulty.expectConverged(seed)
		})
	}
}
