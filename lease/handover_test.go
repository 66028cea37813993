package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/standin/platform"
)

// runMachines runs the function test in virtual time, with one lease of each machine.
func runMachines(t *testing.T, test func(t *testing.T, leases map[string]*Lease, suspended *time.Duration), machines ...string) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New(platform.Options{})
		defer server.Close()
		leases, suspended := make(map[string]*Lease), new(time.Duration)
		for _, m := range machines {
			transport := &objectstest.Transport{Handler: server}
			store := objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
			leases[m] = New(Options{Store: store, Name: "orders", Holder: m + ".1", Machine: m, Suspended: func() time.Duration { return *suspended }})
		}
		test(t, leases, suspended)
	})
}

// acquires reports whether the instance holds the lease after it tried for a second.
func acquires(t *testing.T, l *Lease) bool {
	for range 10 {
		l.acquireOrRenew(t.Context())
		time.Sleep(100 * time.Millisecond)
	}
	_, held := l.CurrentTerm()
	return held
}

// TestMachinesDoNotHoldALeaseByTurns guards against receivers that see a machine act before and
// after another one within the lease's duration, when both release the lease quickly.
func TestMachinesDoNotHoldALeaseByTurns(t *testing.T) {
	runMachines(t, func(t *testing.T, leases map[string]*Lease, _ *time.Duration) {
		a, b, c := leases["a"], leases["b"], leases["c"]
		a.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		for _, l := range []*Lease{a, b, c} {
			if !acquires(t, l) {
				t.Fatal("a released lease is not acquired, want it to be at once")
			}
			l.release(t.Context())
		}
		if acquires(t, a) || acquires(t, b) {
			t.Error("a machine holds the lease again shortly after others did, want it to wait")
		}
		time.Sleep(DefaultDuration)
		if !acquires(t, a) {
			t.Error("the lease is not acquired after its duration, want it to be")
		}
	}, "a", "b", "c")
}

// TestSuspensionEndsTheTerm guards against a holder that still acts after its machine was
// suspended, because its monotonic clock stood still.
func TestSuspensionEndsTheTerm(t *testing.T) {
	runMachines(t, func(t *testing.T, leases map[string]*Lease, suspended *time.Duration) {
		a := leases["a"]
		a.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		if !acquires(t, a) {
			t.Fatal("the lease is not held")
		}
		*suspended = DefaultDuration
		if _, held := a.CurrentTerm(); held {
			t.Error("the term goes on after a suspension of its whole length, want it to have ended")
		}
	}, "a")
}

// TestExpiredHolderDoesNotReleaseItsSuccessorsLease guards against an instance whose term expired
// and that releases the lease that another one holds now.
func TestExpiredHolderDoesNotReleaseItsSuccessorsLease(t *testing.T) {
	runMachines(t, func(t *testing.T, leases map[string]*Lease, _ *time.Duration) {
		a, b, c := leases["a"], leases["b"], leases["c"]
		a.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		if !acquires(t, a) {
			t.Fatal("the lease is not acquired")
		}
		b.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		if !acquires(t, b) {
			t.Fatal("the expired lease is not acquired")
		}
		a.acquireOrRenew(t.Context()) // learns of b
		a.release(t.Context())
		if acquires(t, c) {
			t.Error("a third instance acquires the lease while the second one holds it")
		}
	}, "a", "b", "c")
}

// TestReacquiredLeaseHasANewVersion guards against a holder whose term expired before its first
// renewal, and that writes the same record again: the object would keep its version, and others
// would take the lease as expired.
func TestReacquiredLeaseHasANewVersion(t *testing.T) {
	runMachines(t, func(t *testing.T, leases map[string]*Lease, _ *time.Duration) {
		a, b := leases["a"], leases["b"]
		a.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		a.acquireOrRenew(t.Context())
		first, _ := a.CurrentTerm()
		b.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration - DefaultMargin)
		a.acquireOrRenew(t.Context())
		if second, held := a.CurrentTerm(); !held || second.FencingToken <= first.FencingToken {
			t.Errorf("got the token %d after %d, want a higher one", second.FencingToken, first.FencingToken)
		}
		time.Sleep(DefaultMargin)
		b.acquireOrRenew(t.Context())
		if _, held := b.CurrentTerm(); held {
			t.Error("another instance acquires the lease during the second term")
		}
	}, "a", "b")
}

// TestExpiredHolderDoesNotFollowItsSuccessorAtOnce guards against a machine that acts until its
// term ends, and again right after a successor that released the lease quickly.
func TestExpiredHolderDoesNotFollowItsSuccessorAtOnce(t *testing.T) {
	runMachines(t, func(t *testing.T, leases map[string]*Lease, _ *time.Duration) {
		a, b := leases["a"], leases["b"]
		a.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		if !acquires(t, a) {
			t.Fatal("the lease is not acquired")
		}
		b.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		if !acquires(t, b) {
			t.Fatal("the expired lease is not acquired")
		}
		b.release(t.Context())
		if acquires(t, a) {
			t.Error("the machine holds the lease again at once, want it to wait")
		}
		time.Sleep(DefaultDuration)
		if !acquires(t, a) {
			t.Error("the lease is not acquired after its duration, want it to be")
		}
	}, "a", "b")
}
