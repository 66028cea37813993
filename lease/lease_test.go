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

const tick = 10 * time.Millisecond

// rivals is a group of instances that all want one lease.
type rivals struct {
	t        *testing.T
	platform *platform.Server
	leases   []*Lease
	stores   []*pausable
	stops    []context.CancelFunc
	group    sync.WaitGroup
	fences   []int64
}

// pausable holds up its caller after the platform answered, as a paused
// process is.
type pausable struct {
	*objects.Client
	pause atomic.Int64 // nanoseconds, once
}

func (p *pausable) Update(ctx context.Context, obj api.Object) (api.Object, error) {
	stored, err := p.Client.Update(ctx, obj)
	time.Sleep(time.Duration(p.pause.Swap(0)))
	return stored, err
}

func runRivals(t *testing.T, count int, seed uint64, test func(t *testing.T, r *rivals)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rivals{t: t, platform: platform.New(platform.Options{Seed: seed})}
		for i := range count {
			transport := &objectstest.Transport{Handler: r.platform}
			store := &pausable{Client: objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})}
			r.stores = append(r.stores, store)
			l := New(Options{Store: store, Name: "orders", Holder: fmt.Sprintf("i%d", i)})
			r.leases = append(r.leases, l)
			ctx, cancel := context.WithCancel(t.Context())
			r.stops = append(r.stops, cancel)
			r.group.Go(func() { l.Run(ctx, func() bool { return true }) })
		}
		test(t, r)
		for _, stop := range r.stops {
			stop()
		}
		r.group.Wait()
		r.platform.Close()
	})
}

// holder returns the index of the instance that holds the lease, or -1. It
// fails if there are several, or if a fencing number falls.
func (r *rivals) holder() int {
	r.t.Helper()
	found := -1
	for i, l := range r.leases {
		term, held := l.Valid()
		if !held {
			continue
		}
		if found >= 0 {
			r.t.Fatalf("instances %d and %d both hold the lease", found, i)
		}
		found = i
		if n := len(r.fences); n == 0 || r.fences[n-1] != term.FencingToken {
			if n > 0 && r.fences[n-1] > term.FencingToken {
				r.t.Fatalf("the fencing number fell from %d to %d", r.fences[n-1], term.FencingToken)
			}
			r.fences = append(r.fences, term.FencingToken)
		}
	}
	return found
}

// watch looks at the holder for d and returns the last one.
func (r *rivals) watch(d time.Duration) int {
	r.t.Helper()
	last := -1
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		last = r.holder()
	}
	return last
}

// await returns the holder as soon as there is one other than but.
func (r *rivals) await(but int, limit time.Duration) int {
	r.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(tick) {
		if i := r.holder(); i >= 0 && i != but {
			return i
		}
	}
	r.t.Fatalf("no new holder within %v", limit)
	return -1
}

func TestOneHolderKeepsTheLease(t *testing.T) {
	runRivals(t, 3, 1, func(t *testing.T, r *rivals) {
		first := r.await(-1, 2*DefaultDuration)
		if last := r.watch(5 * time.Minute); last != first || len(r.fences) != 1 {
			t.Errorf("holder %d became %d, fences %v", first, last, r.fences)
		}
	})
}

func TestStoppedHolderIsFollowedAtOnce(t *testing.T) {
	runRivals(t, 3, 1, func(_ *testing.T, r *rivals) {
		first := r.await(-1, 2*DefaultDuration)
		r.stops[first]()
		r.await(first, 3*time.Second)
	})
}

func TestHolderPausedPastItsLeaseHoldsItNoMore(t *testing.T) {
	runRivals(t, 3, 1, func(t *testing.T, r *rivals) {
		first := r.await(-1, 2*DefaultDuration)
		r.stores[first].pause.Store(int64(time.Minute))
		r.await(first, time.Minute)
		r.watch(2 * time.Minute)
		if len(r.fences) < 2 {
			t.Errorf("fences %v", r.fences)
		}
	})
}

func TestUnansweredRenewalIsNoRenewal(t *testing.T) {
	runRivals(t, 1, 1, func(t *testing.T, r *rivals) {
		r.await(-1, 2*DefaultDuration)
		r.platform.SetFaults(platform.Faults{LoseConfirmations: 1})
		r.watch(DefaultDuration)
		if i := r.holder(); i >= 0 {
			t.Error("still held without an answer")
		}
		r.platform.SetFaults(platform.Faults{})
		r.await(-1, 5*time.Second)
	})
}

func TestLostAnswerOfOneRenewalKeepsTheTerm(t *testing.T) {
	runRivals(t, 3, 1, func(t *testing.T, r *rivals) {
		first := r.await(-1, 2*DefaultDuration)
		for range 5 {
			stale := api.Duration(time.Hour) // the read-back tells nothing
			r.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: stale})
			r.watch(DefaultDuration / 3)
			r.platform.SetFaults(platform.Faults{StaleReads: stale})
			r.watch(DefaultDuration)
		}
		if r.holder() != first || len(r.fences) != 1 {
			t.Errorf("fences %v", r.fences)
		}
	})
}

func TestOutageOfAnHourEndsTheTermInTime(t *testing.T) {
	runRivals(t, 3, 1, func(t *testing.T, r *rivals) {
		r.await(-1, 2*DefaultDuration)
		r.platform.SetFaults(platform.Faults{Outage: platform.OutageHang})
		r.watch(DefaultDuration)
		if r.holder() >= 0 {
			t.Error("held in an outage longer than the lease")
		}
		time.Sleep(time.Hour)
		r.platform.SetFaults(platform.Faults{})
		r.await(-1, 2*DefaultDuration)
	})
}

func TestDeletedLeaseIsWaitedOut(t *testing.T) {
	runRivals(t, 3, 1, func(t *testing.T, r *rivals) {
		for range 3 {
			r.await(-1, 3*DefaultDuration)
			obj, err := r.stores[0].Get(t.Context(), api.KindLease, "orders")
			if err == nil {
				err = r.stores[0].Delete(t.Context(), obj.Kind, obj.Name, obj.Version)
			}
			if err != nil {
				t.Fatal(err)
			}
			r.watch(time.Minute)
		}
		if len(r.fences) < 4 {
			t.Errorf("fences %v", r.fences)
		}
	})
}

// The lease is taken and deleted between two looks of another instance.
func TestDeleteBetweenTwoLooksIsNoticed(t *testing.T) {
	runRivals(t, 0, 1, func(t *testing.T, r *rivals) {
		client := objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: (&objectstest.Transport{Handler: r.platform}).Client()})
		first := New(Options{Store: client, Name: "orders", Holder: "a"})
		second := New(Options{Store: client, Name: "orders", Holder: "b"})
		r.leases = []*Lease{first, second}
		first.step(t.Context())
		second.step(t.Context())
		time.Sleep(DefaultDuration)
		first.step(t.Context())
		if r.holder() != 0 {
			t.Fatal("the first instance does not hold the lease")
		}
		obj, err := client.Get(t.Context(), api.KindLease, "orders")
		if err == nil {
			err = client.Delete(t.Context(), obj.Kind, obj.Name, obj.Version)
		}
		if err != nil {
			t.Fatal(err)
		}
		second.step(t.Context())
		r.holder()
		// An instance that starts now never saw the lease.
		third := New(Options{Store: client, Name: "orders", Holder: "c"})
		r.leases = append(r.leases, third)
		third.step(t.Context())
		third.step(t.Context())
		r.holder()
	})
}

// deleteLease deletes the object if the platform lets it.
func (r *rivals) deleteLease() {
	store := r.stores[0].Client
	if obj, err := store.Get(r.t.Context(), api.KindLease, "orders"); err == nil {
		_ = store.Delete(r.t.Context(), obj.Kind, obj.Name, obj.Version)
	}
}

func TestNoTwoHoldersUnderRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		runRivals(t, 4, seed, func(t *testing.T, r *rivals) {
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
				r.platform.SetFaults(f)
				if random.IntN(5) == 0 {
					r.deleteLease()
				}
				r.stores[random.IntN(4)].pause.Store(int64(time.Duration(random.IntN(40)) * time.Second))
				r.watch(time.Duration(random.IntN(20)) * time.Second)
			}
			r.platform.SetFaults(platform.Faults{})
			r.await(-1, 3*time.Minute)
			if len(r.fences) < 2 {
				t.Errorf("seed %d: only %d terms", seed, len(r.fences))
			}
		})
	}
}

// An instance that found no object and then missed a whole term must not take
// the absence that it finds next for the one that it knew.
func TestAbsenceIsNotCountedAcrossAMissedTerm(t *testing.T) {
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
		slow.step(t.Context())
		for held := false; !held; _, held = quick.Valid() {
			quick.step(t.Context())
			time.Sleep(tick)
		}
		obj, err := store.Get(t.Context(), api.KindLease, "orders")
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Delete(t.Context(), obj.Kind, obj.Name, obj.Version); err != nil {
			t.Fatal(err)
		}
		slow.step(t.Context())
		_, both := slow.Valid()
		if _, held := quick.Valid(); held && both {
			t.Error("both instances hold the lease")
		}
	})
}
