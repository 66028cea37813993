package config

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// run gives a ready fleet of 7 instances in 4 data centres, with one backend
// server "s" of 1 slot.
func run(t *testing.T, opts platform.Options, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4, opts)
		f.put("s", 1)
		f.startAll()
		f.awaitReady(10 * time.Second)
		f.expect("s", 1, 0)
		test(t, f)
	})
}

func TestChangeComesIntoForceEverywhere(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.put("s", 2)
		f.expect("s", 2, 100*time.Millisecond)
		f.remove("s")
		f.expect("s", 0, 100*time.Millisecond)
	})
}

func TestRestartInAnOutageTakesThePeersConfiguration(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.outage()
		f.members[0].kill()
		f.members[0].start()
		f.awaitReady(5 * time.Second)
		f.expect("s", 1, 0)
	})
}

func TestNewInstanceIsNotReadyWithoutAnySource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, platform.Options{})
		f.put("s", 1)
		f.outage()
		f.startAll()
		time.Sleep(time.Minute)
		for _, m := range f.members {
			if m.store.Ready() {
				t.Errorf("instance %d is ready", m.index)
			}
		}
		f.noFaults()
		f.awaitReady(5 * time.Second)
		f.expect("s", 1, 0)
	})
}

func TestStaleReadAtStartIsOutvotedByPeers(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.put("s", 2)
		f.put("gone", 1)
		f.expect("gone", 1, time.Second)
		f.remove("gone")
		f.expect("gone", 0, time.Second)
		f.platform.SetFaults(platform.Faults{StaleReads: api.Duration(time.Hour)})
		f.members[3].noWatch.Store(true)
		f.members[3].kill()
		f.members[3].start()
		f.awaitReady(5 * time.Second)
		f.expect("s", 2, 0)
		f.expect("gone", 0, 0)
	})
}

func TestHealedPartitionBringsNothingBack(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.put("gone", 1)
		f.expect("gone", 1, time.Second)
		lone := f.members[2]
		lone.cut.Store(true)
		f.network.Isolate(lone.address)
		f.cutWatches()
		f.remove("gone")
		f.put("s", 5)
		time.Sleep(time.Minute)
		f.network.Heal()
		f.expect("s", 5, 5*time.Second)
		f.expect("gone", 0, 5*time.Second)
		time.Sleep(10 * time.Second)
		f.expect("gone", 0, 0)
	})
}

func TestOutageOfAnHourRightAfterAWrite(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		for _, m := range f.members[1:] {
			m.cut.Store(true)
		}
		// Only the first instance can open its watch again.
		f.cutWatches()
		time.Sleep(30 * time.Second)
		f.put("s", 3)
		time.Sleep(5 * time.Millisecond)
		f.outage()
		t.Logf("in force everywhere after %v", f.expect("s", 3, 100*time.Millisecond))
		time.Sleep(time.Hour)
		f.expect("s", 3, 0)
		f.noFaults()
		for _, m := range f.members {
			m.cut.Store(false)
		}
		f.put("s", 4)
		f.expect("s", 4, 15*time.Second)
	})
}

func TestSlowPlatform(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platform.Faults{Latency: api.Duration(1500 * time.Millisecond)})
		f.members[1].kill()
		f.members[1].start()
		f.awaitReady(5 * time.Second)
		f.put("s", 2)
		f.expect("s", 2, 5*time.Second)
	})
}

func TestCompactedWatchListsAgain(t *testing.T) {
	run(t, platform.Options{History: 4}, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.cut.Store(true)
		}
		f.cutWatches()
		for i := range 10 {
			f.put("t", 10+i)
		}
		f.remove("s")
		for _, m := range f.members {
			m.cut.Store(false)
		}
		f.expect("t", 19, 15*time.Second)
		f.expect("s", 0, 15*time.Second)
	})
}

func TestAllOthersReplacedAtOnce(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.put("s", 2)
		f.expect("s", 2, time.Second)
		f.outage()
		for _, m := range f.members[1:] {
			m.kill()
			m.start()
		}
		f.awaitReady(10 * time.Second)
		f.expect("s", 2, 0)
	})
}

func TestInvalidSpecLeavesTheLastAcceptedOneInForce(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		bad := f.putRaw("s", `{"address":"nowhere","slots":-1}`)
		time.Sleep(5 * time.Second)
		f.expect("s", 1, 0)
		// A new instance sees only the invalid spec at the platform.
		f.members[5].kill()
		f.members[5].start()
		f.awaitReady(5 * time.Second)
		f.expect("s", 1, 0)
		for _, m := range f.members {
			if r := m.store.Rejections(); len(r) != 1 || r[0].Rejected != bad || r[0].Problem == "" {
				t.Errorf("instance %d lists %+v as rejected", m.index, r)
			}
		}
		f.put("s", 2)
		f.expect("s", 2, time.Second)
	})
}

func TestWatchersPerDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, platform.Options{})
		f.startAll()
		f.awaitReady(10 * time.Second)
		time.Sleep(5 * time.Second)
		if got := f.platform.Counters().OpenWatches; got != 3*watchersPerDC {
			t.Errorf("%d open watches, want %d", got, 3*watchersPerDC)
		}
		f.members[0].kill()
		time.Sleep(5 * time.Second)
		if got := f.platform.Counters().OpenWatches; got != 3*watchersPerDC {
			t.Errorf("%d open watches after a watcher died, want %d", got, 3*watchersPerDC)
		}
	})
}

func TestOneWatcherReachesAllDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 3, platform.Options{})
		f.put("s", 1)
		f.startAll()
		f.awaitReady(10 * time.Second)
		for _, m := range f.members[1:] {
			m.cut.Store(true)
		}
		f.cutWatches()
		time.Sleep(30 * time.Second)
		f.put("s", 2)
		t.Logf("in force everywhere after %v", f.expect("s", 2, 100*time.Millisecond))
	})
}

func TestLostPushIsRepaired(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		for _, m := range f.members[1:] {
			m.cut.Store(true)
		}
		f.cutWatches()
		time.Sleep(30 * time.Second)
		f.network.SetLoss(1)
		f.put("s", 2)
		time.Sleep(100 * time.Millisecond)
		f.network.SetLoss(0.2)
		t.Logf("in force everywhere after %v", f.expect("s", 2, 10*time.Second))
	})
}

func TestAcceptedSpecOutlivesAllInstances(t *testing.T) {
	run(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.putRaw("s", `{"address":"nowhere"}`)
		time.Sleep(10 * time.Second)
		replaceAll := func() {
			for _, m := range f.members {
				m.kill()
			}
			f.startAll()
			f.awaitReady(10 * time.Second)
		}
		replaceAll()
		f.expect("s", 1, 0)
		f.put("s", 2)
		f.expect("s", 2, time.Second)
		time.Sleep(10 * time.Second)
		reports, err := f.admin.List(t.Context(), api.KindReport)
		if err != nil || len(reports.Items) != 0 {
			t.Errorf("reports left: %+v, %v", reports.Items, err)
		}
		f.remove("s")
		replaceAll()
		f.expect("s", 0, 0)
	})
}
