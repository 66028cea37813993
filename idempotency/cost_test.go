package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/standin/platform"
)

const (
	peakRate   = 4200 // requests a second
	costTime   = 4 * time.Second
	costShards = 16
	costGroup  = 100 * time.Millisecond
	// noLimit is the rate of a platform that refuses nothing.
	noLimit = 1e9
)

// arrivals starts work for each request of a share of the peak rate.
func arrivals(share float64, work func(i int)) {
	perSecond := share * peakRate
	var group sync.WaitGroup
	count := int(perSecond * costTime.Seconds())
	for i := range count {
		group.Go(func() { work(i) })
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	group.Wait()
}

// batchLog is the alternative: claims of a shard are collected for costGroup
// and appended to the shard's log by creating its next object if it is absent.
// Who appends has read all objects before, so that it knows each claim.
type batchLog struct {
	shard   int
	store   Store
	mu      sync.Mutex
	next    int
	entries []record
	flushed chan struct{}
}

func (l *batchLog) append(r record) {
	l.mu.Lock()
	if l.flushed == nil {
		l.flushed = make(chan struct{})
		time.AfterFunc(costGroup, l.flush)
	}
	l.entries = append(l.entries, r)
	flushed := l.flushed
	l.mu.Unlock()
	<-flushed
}

func (l *batchLog) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	raw, err := json.Marshal(l.entries)
	if err != nil {
		panic(err)
	}
	obj := api.Object{Kind: api.KindClaim, Name: fmt.Sprintf("%d-%d", l.shard, l.next), Spec: raw}
	if _, err := l.store.Create(context.Background(), obj); err != nil && !errors.Is(err, objects.ErrConflict) {
		panic(err)
	}
	l.next++
	l.entries = nil
	close(l.flushed)
	l.flushed = nil
}

// expire deletes the log's objects, as is done once their claims are old.
func (l *batchLog) expire() {
	for i := range l.next {
		name := fmt.Sprintf("%d-%d", l.shard, i)
		obj, err := l.store.Get(context.Background(), api.KindClaim, name)
		if err == nil {
			err = l.store.Delete(context.Background(), api.KindClaim, name, obj.Version)
		}
		if err != nil {
			panic(err)
		}
	}
}

// cost is what one way costs in a second.
type cost struct {
	claims, writes, kilobytes float64
}

func costOf(b *bench, claims int) cost {
	seconds := costTime.Seconds()
	return cost{
		claims:    float64(claims) / seconds,
		writes:    float64(b.platform.Counters().Writes) / seconds,
		kilobytes: float64(b.bytes.Load()) / seconds / 1024,
	}
}

func objectPerKey(b *bench, share float64) cost {
	c := b.claims()
	count := 0
	var mu sync.Mutex
	arrivals(share, func(i int) {
		claim, err := c.Begin(b.t.Context(), Request{"o", fmt.Sprint(i), fmt.Sprintf("%064d", i)})
		if err != nil || claim.State != Fresh {
			b.t.Errorf("begin: state %d, error %v", claim.State, err)
		}
		body := make([]byte, 500)
		if err := c.Finish(b.t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200, Body: body}); err != nil {
			b.t.Error(err)
		}
		mu.Lock()
		count++
		mu.Unlock()
	})
	time.Sleep(DefaultRetention + 2*MaxClockSkew)
	s := &Sweeper{Claims: c, Store: b.client(), Limit: unboundedRate()}
	for p := range Partitions {
		if err := s.sweep(b.t.Context(), p); err != nil {
			b.t.Error(err)
		}
	}
	return costOf(b, count)
}

func batchedShards(b *bench, share float64) cost {
	logs := make([]*batchLog, costShards)
	for i := range logs {
		logs[i] = &batchLog{shard: i, store: b.client()}
	}
	random := rand.New(rand.NewPCG(1, 1))
	count := 0
	var mu sync.Mutex
	arrivals(share, func(i int) {
		mu.Lock()
		count++
		l := logs[random.IntN(costShards)]
		mu.Unlock()
		r := record{Nonce: fmt.Sprintf("%026d", i), Digest: fmt.Sprintf("%064d", i), State: stateClaimed, MadeAt: time.Now()}
		l.append(r)
		l.append(r.ended(Outcome{Final: outcome.Completed, Status: 200, Body: make([]byte, 500)}))
	})
	for _, l := range logs {
		l.expire()
	}
	return costOf(b, count)
}

// TestCostOfClaims prints what both ways cost at the peak rate, and checks the
// count of writes that docs/IDEMPOTENCY.md builds on.
func TestCostOfClaims(t *testing.T) {
	opts := platform.Options{WritesPerSecond: noLimit, ReadsPerSecond: noLimit}
	for _, share := range []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.1} {
		var single, batched cost
		runBench(t, opts, func(_ *testing.T, b *bench) { single = objectPerKey(b, share) })
		runBench(t, opts, func(_ *testing.T, b *bench) { batched = batchedShards(b, share) })
		t.Logf("share %4.1f%%: %5.1f claims/s; an object a key: %6.1f writes/s %6.1f KiB/s; batched shards: %6.1f writes/s %6.1f KiB/s",
			100*share, single.claims, single.writes, single.kilobytes, batched.writes, batched.kilobytes)
		if got := single.writes / single.claims; got != 3 {
			t.Errorf("share %v: %v writes a claim, want 3", share, got)
		}
		if bound := 2 * costShards * float64(time.Second/costGroup); batched.writes > bound {
			t.Errorf("share %v: %v batched writes, bound %v", share, batched.writes, bound)
		}
	}
}
