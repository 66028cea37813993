package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/standin/platform"
)

const pollInterval = 10 * time.Millisecond

// leaseGroup is a group of instances that compete for one lease.
type leaseGroup struct {
	t        *testing.T
	platform *platform.Server
	leases   []*Lease
	stores   []*pausableStore
	cancels  []context.CancelFunc
	running  sync.WaitGroup
	// fencingTokens holds the token of each term that the method holder saw, in
	// the order of the terms.
	fencingTokens []int64
}

// pausableStore can delay the return of Update after the platform has
// responded, as if the process were paused.
type pausableStore struct {
	*objects.Client
	nextPause atomic.Int64 // duration in nanoseconds of the pause in the next Update, 0 for none
}

func (s *pausableStore) Update(ctx context.Context, obj api.Object) (api.Object, error) {
	stored, err := s.Client.Update(ctx, obj)
	time.Sleep(time.Duration(s.nextPause.Swap(0)))
	return stored, err
}

// runLeaseGroup runs the function test in virtual time. It first starts as many
// instances as count says, and all of them compete for one lease.
func runLeaseGroup(t *testing.T, count int, seed uint64, test func(t *testing.T, g *leaseGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &leaseGroup{t: t, platform: platform.New(platform.Options{Seed: seed})}
		for i := range count {
			transport := &objectstest.Transport{Handler: g.platform}
			store := &pausableStore{Client: objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})}
			g.stores = append(g.stores, store)
			l := New(Options{Store: store, Name: "orders", Holder: fmt.Sprintf("i%d", i)})
			g.leases = append(g.leases, l)
			ctx, cancel := context.WithCancel(t.Context())
			g.cancels = append(g.cancels, cancel)
			g.running.Go(func() { l.Run(ctx, func() bool { return true }) })
		}
		test(t, g)
		for _, cancel := range g.cancels {
			cancel()
		}
		g.running.Wait()
		g.platform.Close()
	})
}

// holder returns the index of the instance that holds the lease, or -1. It
// fails the test if several instances hold the lease, or if the fencing token
// falls.
func (g *leaseGroup) holder() int {
	g.t.Helper()
	found := -1
	for i, l := range g.leases {
		term, held := l.CurrentTerm()
		if !held {
			continue
		}
		if found >= 0 {
			g.t.Fatalf("instances %d and %d both hold the lease, want at most one holder", found, i)
		}
		found = i
		if n := len(g.fencingTokens); n == 0 || g.fencingTokens[n-1] != term.FencingToken {
			if n > 0 && g.fencingTokens[n-1] > term.FencingToken {
				g.t.Fatalf("the fencing token fell from %d to %d, want it only to rise", g.fencingTokens[n-1], term.FencingToken)
			}
			g.fencingTokens = append(g.fencingTokens, term.FencingToken)
		}
	}
	return found
}

// pollHolder calls holder repeatedly for the given duration and returns the
// result of the last call.
func (g *leaseGroup) pollHolder(duration time.Duration) int {
	g.t.Helper()
	last := -1
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pollInterval) {
		last = g.holder()
	}
	return last
}

// awaitHolderOtherThan waits until an instance other than the excluded one
// holds the lease, and returns the index of this instance. If excluded is -1,
// any instance will do.
func (g *leaseGroup) awaitHolderOtherThan(excluded int, timeout time.Duration) int {
	g.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if i := g.holder(); i >= 0 && i != excluded {
			return i
		}
	}
	g.t.Fatalf("no instance other than the excluded one held the lease within %v, want one", timeout)
	return -1
}

func TestHolderKeepsTheLease(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(t *testing.T, g *leaseGroup) {
		first := g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		if last := g.pollHolder(5 * time.Minute); last != first || len(g.fencingTokens) != 1 {
			t.Errorf("got first holder %d, last holder %d and fencing tokens %v, want the same holder twice and one token", first, last, g.fencingTokens)
		}
	})
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(_ *testing.T, g *leaseGroup) {
		first := g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		g.cancels[first]()
		g.awaitHolderOtherThan(first, 3*time.Second)
	})
}

// TestHolderPausedPastItsTermLosesTheLease pauses the holder for a minute
// during a renewal. Another instance must acquire the lease. When the pause
// ends, the paused instance must not act on its late renewal.
func TestHolderPausedPastItsTermLosesTheLease(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(t *testing.T, g *leaseGroup) {
		first := g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		g.stores[first].nextPause.Store(int64(time.Minute))
		g.awaitHolderOtherThan(first, time.Minute)
		g.pollHolder(2 * time.Minute)
		if len(g.fencingTokens) < 2 {
			t.Errorf("after the holder was paused: got fencing tokens %v, want at least 2", g.fencingTokens)
		}
	})
}

// TestUnansweredRenewalDoesNotExtendTheTerm loses every response to a renewal.
// The term must end all the same, and a new one must begin once responses
// arrive again.
func TestUnansweredRenewalDoesNotExtendTheTerm(t *testing.T) {
	runLeaseGroup(t, 1, 1, func(t *testing.T, g *leaseGroup) {
		g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		g.platform.SetFaults(platform.Faults{LoseConfirmations: 1})
		g.pollHolder(DefaultDuration)
		if i := g.holder(); i >= 0 {
			t.Error("all renewals unanswered: the lease is still held after its duration, want no holder")
		}
		g.platform.SetFaults(platform.Faults{})
		g.awaitHolderOtherThan(-1, 5*time.Second)
	})
}

// TestTermSurvivesOneUnansweredRenewal loses the response to one renewal, and
// repeats this five times. The next renewal fails with a conflict, and reads
// are stale. The holder must nevertheless recognise that the object holds its
// own renewal.
func TestTermSurvivesOneUnansweredRenewal(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(t *testing.T, g *leaseGroup) {
		first := g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		for range 5 {
			stale := api.Duration(time.Hour) // reads return data that is older than the lost response
			g.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: stale})
			g.pollHolder(DefaultDuration / 3)
			g.platform.SetFaults(platform.Faults{StaleReads: stale})
			g.pollHolder(DefaultDuration)
		}
		if g.holder() != first || len(g.fencingTokens) != 1 {
			t.Errorf("after unanswered renewals: got fencing tokens %v or another holder, want one token and the first holder", g.fencingTokens)
		}
	})
}

// TestTermEndsInTimeDuringOutage starts an outage in which the platform does
// not respond at all. The term must end before another instance could acquire
// the lease. After the outage, a new term must begin.
func TestTermEndsInTimeDuringOutage(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(t *testing.T, g *leaseGroup) {
		g.awaitHolderOtherThan(-1, 2*DefaultDuration)
		g.platform.SetFaults(platform.Faults{Outage: platform.OutageHang})
		g.pollHolder(DefaultDuration)
		if g.holder() >= 0 {
			t.Error("outage longer than the lease: the lease is still held, want no holder")
		}
		time.Sleep(time.Hour)
		g.platform.SetFaults(platform.Faults{})
		g.awaitHolderOtherThan(-1, 2*DefaultDuration)
	})
}

// TestDeletedLeaseIsAcquiredOnlyAfterItsDuration deletes the lease's object
// three times. The holder doesn't notice a deletion at once. So no other
// instance may acquire the lease before the holder's term ends.
func TestDeletedLeaseIsAcquiredOnlyAfterItsDuration(t *testing.T) {
	runLeaseGroup(t, 3, 1, func(t *testing.T, g *leaseGroup) {
		for range 3 {
			g.awaitHolderOtherThan(-1, 3*DefaultDuration)
			obj, err := g.stores[0].Get(t.Context(), api.KindLease, "orders")
			if err == nil {
				err = g.stores[0].Delete(t.Context(), obj.Kind, obj.Name, obj.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
			g.pollHolder(time.Minute)
		}
		if len(g.fencingTokens) < 4 {
			t.Errorf("after 3 deletions: got fencing tokens %v, want at least 4", g.fencingTokens)
		}
	})
}

// TestDeleteBetweenTwoReadsIsNoticed has a second instance read the object
// twice. Between the two reads, a first instance acquires the lease and the
// object is deleted. While the first instance holds the lease, no other may
// acquire it: neither the second instance nor a third, which never saw the
// object.
func TestDeleteBetweenTwoReadsIsNoticed(t *testing.T) {
	runLeaseGroup(t, 0, 1, func(t *testing.T, g *leaseGroup) {
		client := objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: (&objectstest.Transport{Handler: g.platform}).Client()})
		first := New(Options{Store: client, Name: "orders", Holder: "a"})
		second := New(Options{Store: client, Name: "orders", Holder: "b"})
		g.leases = []*Lease{first, second}
		first.acquireOrRenew(t.Context())
		second.acquireOrRenew(t.Context())
		time.Sleep(DefaultDuration)
		first.acquireOrRenew(t.Context())
		if g.holder() != 0 {
			t.Fatal("the first instance does not hold the lease, want it as holder")
		}
		obj, err := client.Get(t.Context(), api.KindLease, "orders")
		if err == nil {
			err = client.Delete(t.Context(), obj.Kind, obj.Name, obj.Version)
		}
		if err != nil {
			t.Fatal(err)
		}
		second.acquireOrRenew(t.Context())
		g.holder()
		// The third instance has never seen the lease's object.
		third := New(Options{Store: client, Name: "orders", Holder: "c"})
		g.leases = append(g.leases, third)
		third.acquireOrRenew(t.Context())
		third.acquireOrRenew(t.Context())
		g.holder()
	})
}

// deleteLease deletes the lease's object. It ignores errors, since the platform
// may be faulty at the moment.
func (g *leaseGroup) deleteLease() {
	store := g.stores[0].Client
	if obj, err := store.Get(g.t.Context(), api.KindLease, "orders"); err == nil {
		_ = store.Delete(g.t.Context(), obj.Kind, obj.Name, obj.Version)
	}
}

// TestAtMostOneHolderUnderRandomFaults combines lost responses, latency, stale
// reads, outages, deletions of the object and paused instances. The method
// holder checks that two instances never hold the lease at once.
func TestAtMostOneHolderUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		runLeaseGroup(t, 4, seed, func(t *testing.T, g *leaseGroup) {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 30 {
				f := platform.Faults{
					LoseConfirmations: random.Float64() * 0.8,
					Latency:           api.Duration(random.IntN(1500)) * api.Duration(time.Millisecond),
					StaleReads:        api.Duration(random.IntN(20)) * api.Duration(time.Second),
				}
				if random.IntN(4) == 0 {
					f.Outage = platform.OutageRefuse
				}
				g.platform.SetFaults(f)
				if random.IntN(5) == 0 {
					g.deleteLease()
				}
				g.stores[random.IntN(4)].nextPause.Store(int64(time.Duration(random.IntN(40)) * time.Second))
				g.pollHolder(time.Duration(random.IntN(20)) * time.Second)
			}
			g.platform.SetFaults(platform.Faults{})
			g.awaitHolderOtherThan(-1, 3*time.Minute)
			if len(g.fencingTokens) < 2 {
				t.Errorf("seed %d: got %d terms, want at least 2", seed, len(g.fencingTokens))
			}
		})
	}
}

// TestAbsenceBeforeAMissedTermDoesNotCount has a slow instance find no object.
// A quick instance then acquires the lease, the object is deleted, and the slow
// instance again finds no object. The slow instance must not acquire the lease,
// which the quick one still holds: it can't know that there was no object in
// between.
func TestAbsenceBeforeAMissedTermDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := platform.New(platform.Options{})
		defer server.Close()
		newLease := func(holder string) (*Lease, *objects.Client) {
			transport := &objectstest.Transport{Handler: server}
			store := objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
			return New(Options{Store: store, Name: "orders", Holder: holder}), store
		}
		slow, store := newLease("slow")
		quick, _ := newLease("quick")
		slow.acquireOrRenew(t.Context())
		for quickHolds := false; !quickHolds; _, quickHolds = quick.CurrentTerm() {
			quick.acquireOrRenew(t.Context())
			time.Sleep(pollInterval)
		}
		obj, err := store.Get(t.Context(), api.KindLease, "orders")
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Delete(t.Context(), obj.Kind, obj.Name, obj.Version); err != nil {
			t.Fatal(err)
		}
		slow.acquireOrRenew(t.Context())
		_, slowHolds := slow.CurrentTerm()
		if _, quickHolds := quick.CurrentTerm(); quickHolds && slowHolds {
			t.Error("both instances hold the lease, want only the quick one as holder")
		}
	})
}
