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
	// peakRequestsPerSecond is the peak load. Each measurement uses a fraction
	// of it.
	peakRequestsPerSecond = 4200
	// measureTime is how long requests arrive in each measurement.
	measureTime = 4 * time.Second
	// batchShards is the number of logs in the batched design, which the type
	// batchLog describes. batchInterval is the time between two writes to the
	// same log.
	batchShards   = 16
	batchInterval = 100 * time.Millisecond
	// unlimitedRate, in calls per second, is a rate limit at which the platform
	// never refuses a call.
	unlimitedRate = 1e9
)

// runRequests simulates the arrival of requests at the rate peakFraction *
// peakRequestsPerSecond, for measureTime. For each request it calls handle with
// the request's number, in a new goroutine. It returns when all calls have
// returned.
func runRequests(peakFraction float64, handle func(i int)) {
	perSecond := peakFraction * peakRequestsPerSecond
	var group sync.WaitGroup
	count := int(perSecond * measureTime.Seconds())
	for i := range count {
		group.Go(func() { handle(i) })
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	group.Wait()
}

// batchLog is the log of one shard in the batched design. This design needs
// fewer writes than one object per key, and the tests compare the two. Each key
// belongs to one shard. The log collects the claims of its shard for
// batchInterval and then writes them together, as its next object. The write
// fails if the object exists already. Before an instance writes, it must have
// read all earlier objects of the log, so that it knows every claim.
type batchLog struct {
	shard int
	store Store
	mu    sync.Mutex
	// next is the number of the log's next object, and entries are the claims
	// to be written to it.
	next    int
	entries []record
	// flushed is closed once entries are written. It is nil if there are no
	// entries.
	flushed chan struct{}
}

// append adds a claim and returns once the claim is written.
func (l *batchLog) append(r record) {
	l.mu.Lock()
	if l.flushed == nil {
		l.flushed = make(chan struct{})
		time.AfterFunc(batchInterval, l.flush)
	}
	l.entries = append(l.entries, r)
	flushed := l.flushed
	l.mu.Unlock()
	<-flushed
}

// flush writes the collected claims as the log's next object.
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

// deleteObjects deletes the log's objects, as an instance would do when their
// claims have expired.
func (l *batchLog) deleteObjects() {
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

// claimRates holds the rates measured for one design: one object per key, or
// batched.
type claimRates struct {
	claimsPerSecond, writesPerSecond, kibPerSecond float64
}

// measureRates computes the rates from the number of claims and the platform's
// counters.
func measureRates(e *testEnv, claims int) claimRates {
	seconds := measureTime.Seconds()
	return claimRates{
		claimsPerSecond: float64(claims) / seconds,
		writesPerSecond: float64(e.platform.Counters().Writes) / seconds,
		kibPerSecond:    float64(e.sentBytes.Load()) / seconds / 1024,
	}
}

// measureObjectPerKey measures the rates of the design in use, which stores one
// object per key. It also sweeps the expired claims, since a deletion counts as
// a write.
func measureObjectPerKey(e *testEnv, peakFraction float64) claimRates {
	c := e.newClaims()
	count := 0
	var mu sync.Mutex
	runRequests(peakFraction, func(i int) {
		claim, err := c.Begin(e.t.Context(), Request{"o", fmt.Sprint(i), fmt.Sprintf("%064d", i)})
		if err != nil || claim.State != Fresh {
			e.t.Errorf("Begin: got state %d and error %v, want state 1 (Fresh) and no error", claim.State, err)
		}
		body := make([]byte, 500)
		if err := c.Finish(e.t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200, Body: body}); err != nil {
			e.t.Error(err)
		}
		mu.Lock()
		count++
		mu.Unlock()
	})
	time.Sleep(DefaultRetention + 2*MaxClockSkew)
	s := &Sweeper{Claims: c, Store: e.newClient(), Limit: newUnlimitedLimiter()}
	for p := range Partitions {
		if err := s.sweep(e.t.Context(), p); err != nil {
			e.t.Error(err)
		}
	}
	return measureRates(e, count)
}

// measureBatchedShards measures the rates of the batched design, with one
// batchLog for each shard. It also deletes the logs' objects, since a deletion
// counts as a write.
func measureBatchedShards(e *testEnv, peakFraction float64) claimRates {
	logs := make([]*batchLog, batchShards)
	for i := range logs {
		logs[i] = &batchLog{shard: i, store: e.newClient()}
	}
	random := rand.New(rand.NewPCG(1, 1))
	count := 0
	var mu sync.Mutex
	runRequests(peakFraction, func(i int) {
		mu.Lock()
		count++
		l := logs[random.IntN(batchShards)]
		mu.Unlock()
		r := record{Nonce: fmt.Sprintf("%026d", i), Digest: fmt.Sprintf("%064d", i), State: stateClaimed, MadeAt: time.Now()}
		l.append(r)
		l.append(r.withOutcome(Outcome{Final: outcome.Completed, Status: 200, Body: make([]byte, 500)}))
	})
	for _, l := range logs {
		l.deleteObjects()
	}
	return measureRates(e, count)
}

// TestWriteRateOfClaims logs the write rates of both designs at several
// fractions of the peak load. One object per key must take three writes per
// claim (create, update, delete), a number on which docs/IDEMPOTENCY.md relies.
// The batched design must not exceed two writes per shard and batchInterval.
func TestWriteRateOfClaims(t *testing.T) {
	opts := platform.Options{WritesPerSecond: unlimitedRate, ReadsPerSecond: unlimitedRate}
	for _, peakFraction := range []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.1} {
		var perKey, batched claimRates
		runTestEnv(t, opts, func(_ *testing.T, e *testEnv) { perKey = measureObjectPerKey(e, peakFraction) })
		runTestEnv(t, opts, func(_ *testing.T, e *testEnv) { batched = measureBatchedShards(e, peakFraction) })
		t.Logf("fraction of peak %4.1f%%: %5.1f claims/s; one object per key: %6.1f writes/s %6.1f KiB/s; batched shards: %6.1f writes/s %6.1f KiB/s",
			100*peakFraction, perKey.claimsPerSecond, perKey.writesPerSecond, perKey.kibPerSecond, batched.writesPerSecond, batched.kibPerSecond)
		if got := perKey.writesPerSecond / perKey.claimsPerSecond; got != 3 {
			t.Errorf("fraction of peak %v: got %v writes per claim with one object per key, want 3", peakFraction, got)
		}
		if bound := 2 * batchShards * float64(time.Second/batchInterval); batched.writesPerSecond > bound {
			t.Errorf("fraction of peak %v: got %v writes/s with batched shards, want at most %v", peakFraction, batched.writesPerSecond, bound)
		}
	}
}
