package config

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// withReadyFleet runs a test in virtual time on a fleet of 7 ready instances in 4
// data centres. The configuration holds one backend server "s" with 1 slot.
func withReadyFleet(t *testing.T, opts platform.Options, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7, 4, opts)
		f.putServer("s", 1)
		f.startAll()
		f.awaitReady(10 * time.Second)
		f.expectSlots("s", 1, 0)
		test(t, f)
	})
}

// An operator's write and delete are in force in all instances within 100 ms.
func TestChangeReachesAllInstances(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.putServer("s", 2)
		f.expectSlots("s", 2, 100*time.Millisecond)
		f.deleteServer("s")
		f.expectSlots("s", 0, 100*time.Millisecond)
	})
}

// An instance that restarts during an outage of the platform gets the
// configuration from its peers.
func TestRestartDuringOutageLoadsFromPeers(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.startOutage()
		f.members[0].kill()
		f.members[0].start()
		f.awaitReady(5 * time.Second)
		f.expectSlots("s", 1, 0)
	})
}

// New instances are not ready until the platform or a ready peer responds.
func TestNotReadyWithoutPlatformAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, platform.Options{})
		f.putServer("s", 1)
		f.startOutage()
		f.startAll()
		time.Sleep(time.Minute)
		for _, m := range f.members {
			if m.store.Ready() {
				t.Errorf("instance %d is ready, want it not ready: it reached neither the platform nor a ready peer", m.index)
			}
		}
		f.clearFaults()
		f.awaitReady(5 * time.Second)
		f.expectSlots("s", 1, 0)
	})
}

// An instance starts with an outdated list from the platform, while its peers have
// newer records. It must not put old specs or deleted resources in force. The
// instance's watch delivers nothing, so that only the peers can correct the list.
func TestPeersCorrectStaleListAtStart(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.putServer("s", 2)
		f.putServer("gone", 1)
		f.expectSlots("gone", 1, time.Second)
		f.deleteServer("gone")
		f.expectSlots("gone", 0, time.Second)
		f.platform.SetFaults(platform.Faults{StaleReads: api.Duration(time.Hour)})
		f.members[3].watchSilent.Store(true)
		f.members[3].kill()
		f.members[3].start()
		f.awaitReady(5 * time.Second)
		f.expectSlots("s", 2, 0)
		f.expectSlots("gone", 0, 0)
	})
}

// An instance that was cut off while others changed and deleted resources must not
// bring back the old state when the partition ends.
func TestHealedPartitionRevertsNothing(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.putServer("gone", 1)
		f.expectSlots("gone", 1, time.Second)
		isolated := f.members[2]
		isolated.platformCut.Store(true)
		f.network.Isolate(isolated.address)
		f.closeWatches()
		f.deleteServer("gone")
		f.putServer("s", 5)
		time.Sleep(time.Minute)
		f.network.Heal()
		f.expectSlots("s", 5, 5*time.Second)
		f.expectSlots("gone", 0, 5*time.Second)
		time.Sleep(10 * time.Second)
		f.expectSlots("gone", 0, 0)
	})
}

// Only one instance sees a write before the platform fails for an hour. The change
// must still get to all instances and stay in force.
func TestHourLongOutageRightAfterWrite(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		for _, m := range f.members[1:] {
			m.platformCut.Store(true)
		}
		// Only the first instance can reopen its watch.
		f.closeWatches()
		time.Sleep(30 * time.Second)
		f.putServer("s", 3)
		time.Sleep(5 * time.Millisecond)
		f.startOutage()
		t.Logf("time from the start of the outage until the change was in force in all instances: %v, limit 100 ms", f.expectSlots("s", 3, 100*time.Millisecond))
		time.Sleep(time.Hour)
		f.expectSlots("s", 3, 0)
		f.clearFaults()
		for _, m := range f.members {
			m.platformCut.Store(false)
		}
		f.putServer("s", 4)
		f.expectSlots("s", 4, 15*time.Second)
	})
}

// Each call to the platform takes 1.5 s. A restart and a change must still take
// less than 5 s each.
func TestSlowPlatform(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platform.Faults{Latency: api.Duration(1500 * time.Millisecond)})
		f.members[1].kill()
		f.members[1].start()
		f.awaitReady(5 * time.Second)
		f.putServer("s", 2)
		f.expectSlots("s", 2, 5*time.Second)
	})
}

// While the instances are cut off from the platform, the platform discards the
// events that they missed. One of the events is a delete. The instances must list
// the resources again to learn of the delete.
func TestCompactedWatchRelists(t *testing.T) {
	withReadyFleet(t, platform.Options{History: 4}, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.platformCut.Store(true)
		}
		f.closeWatches()
		for i := range 10 {
			f.putServer("t", 10+i)
		}
		f.deleteServer("s")
		for _, m := range f.members {
			m.platformCut.Store(false)
		}
		f.expectSlots("t", 19, 15*time.Second)
		f.expectSlots("s", 0, 15*time.Second)
	})
}

// During an outage of the platform, one remaining instance is enough for all
// others to restart with the configuration.
func TestAllOtherInstancesReplacedDuringOutage(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.putServer("s", 2)
		f.expectSlots("s", 2, time.Second)
		f.startOutage()
		for _, m := range f.members[1:] {
			m.kill()
			m.start()
		}
		f.awaitReady(10 * time.Second)
		f.expectSlots("s", 2, 0)
	})
}

// An invalid spec must not replace the accepted spec. This must also hold in an
// instance that starts later.
func TestInvalidSpecKeepsLastAcceptedSpec(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		bad := f.putRawSpec("s", `{"address":"nowhere","slots":-1}`)
		time.Sleep(5 * time.Second)
		f.expectSlots("s", 1, 0)
		// A restarted instance finds only the invalid spec at the platform.
		f.members[5].kill()
		f.members[5].start()
		f.awaitReady(5 * time.Second)
		f.expectSlots("s", 1, 0)
		for _, m := range f.members {
			if r := m.store.Rejections(); len(r) != 1 || r[0].Rejected != bad || r[0].Problem == "" {
				t.Errorf("instance %d: rejections %+v, want only the invalid spec", m.index, r)
			}
		}
		f.putServer("s", 2)
		f.expectSlots("s", 2, time.Second)
	})
}

// In each data centre, watchersPerDC instances watch the platform. If one of them
// is killed, another instance of its data centre must start to watch.
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
			t.Errorf("%d open watches after a watching instance was killed, want %d", got, 3*watchersPerDC)
		}
	})
}

// If only one instance can reach the platform, a change still gets to all data
// centres within 100 ms.
func TestSingleWatcherReachesAllDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 3, platform.Options{})
		f.putServer("s", 1)
		f.startAll()
		f.awaitReady(10 * time.Second)
		for _, m := range f.members[1:] {
			m.platformCut.Store(true)
		}
		f.closeWatches()
		time.Sleep(30 * time.Second)
		f.putServer("s", 2)
		t.Logf("time from the write until the change was in force in all instances: %v, limit 100 ms", f.expectSlots("s", 2, 100*time.Millisecond))
	})
}

// The network drops all pushes of a change. Anti-entropy must deliver the change,
// although 20% of the messages of anti-entropy are lost.
func TestAntiEntropyDeliversLostPush(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		for _, m := range f.members[1:] {
			m.platformCut.Store(true)
		}
		f.closeWatches()
		time.Sleep(30 * time.Second)
		f.network.SetLoss(1)
		f.putServer("s", 2)
		time.Sleep(100 * time.Millisecond)
		f.network.SetLoss(0.2)
		t.Logf("time from the end of total message loss until the change was in force in all instances: %v, limit 10 s", f.expectSlots("s", 2, 10*time.Second))
	})
}

// If the newest spec of a resource is invalid, a copy of its accepted spec is kept
// at the platform. With the copy, the accepted spec survives the replacement of all
// instances. The copy is deleted after the next valid write, and a deleted resource
// does not return.
func TestAcceptedSpecSurvivesReplacingAllInstances(t *testing.T) {
	withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
		f.putRawSpec("s", `{"address":"nowhere"}`)
		time.Sleep(10 * time.Second)
		f.replaceAll()
		f.expectSlots("s", 1, 0)
		f.putServer("s", 2)
		f.expectSlots("s", 2, time.Second)
		time.Sleep(10 * time.Second)
		reports, err := f.admin.List(t.Context(), api.KindReport)
		if err != nil || len(reports.Items) != 0 {
			t.Errorf("copies left at the platform: %+v, error %v, want none", reports.Items, err)
		}
		f.deleteServer("s")
		f.replaceAll()
		f.expectSlots("s", 0, 0)
	})
}

// replaceAll kills all members and starts them again without what they knew.
func (f *fleet) replaceAll() {
	for _, m := range f.members {
		m.kill()
	}
	f.startAll()
	f.awaitReady(10 * time.Second)
}

// TestWithdrawnSpecStaysWithdrawnAfterReplacingAllInstances guards against a deleted resource, or
// an older accepted spec, that is in force again after a restart because a copy of it was left at
// the platform.
func TestWithdrawnSpecStaysWithdrawnAfterReplacingAllInstances(t *testing.T) {
	const invalid = `{"address":"nowhere"}`
	t.Run("deleted and written again", func(t *testing.T) {
		withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
			f.putRawSpec("s", invalid)
			time.Sleep(10 * time.Second)
			f.deleteServer("s")
			time.Sleep(10 * time.Second)
			if _, err := f.admin.Create(t.Context(), api.Object{Kind: api.KindBackendServer, Name: "s", Spec: []byte(invalid)}); err != nil {
				t.Fatal(err)
			}
			f.expectSlots("s", 0, time.Second)
			f.replaceAll()
			f.expectSlots("s", 0, 0)
		})
	})
	t.Run("deleted while nobody reported", func(t *testing.T) {
		withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
			f.putRawSpec("s", invalid)
			time.Sleep(10 * time.Second)
			for _, m := range f.members {
				m.kill()
			}
			f.deleteServer("s")
			f.startAll()
			f.awaitReady(10 * time.Second)
			time.Sleep(10 * time.Second)
			reports, err := f.admin.List(t.Context(), api.KindReport)
			if err != nil || len(reports.Items) != 0 {
				t.Errorf("copies left at the platform: %+v, error %v, want none", reports.Items, err)
			}
		})
	})
	t.Run("accepted between two invalid specs", func(t *testing.T) {
		withReadyFleet(t, platform.Options{}, func(t *testing.T, f *fleet) {
			f.putRawSpec("s", invalid)
			time.Sleep(10 * time.Second)
			f.putServer("s", 2)
			f.putRawSpec("s", invalid)
			f.expectSlots("s", 2, time.Second)
			time.Sleep(10 * time.Second)
			f.replaceAll()
			f.expectSlots("s", 2, 0)
		})
	})
}
