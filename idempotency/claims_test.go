package idempotency

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/standin/platform"
)

var request = Request{Organisation: "covorul", Key: "certificate-1", Digest: "d1"}

// bench is a platform with a client for each of several instances.
type bench struct {
	t        *testing.T
	platform *platform.Server
	// bytes counts the bodies sent to the platform.
	bytes atomic.Int64
	mu    sync.Mutex
	all   []*Claims
}

func runBench(t *testing.T, opts platform.Options, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, platform: platform.New(opts)}
		defer b.close()
		test(t, b)
	})
}

func (b *bench) client() *objects.Client {
	transport := &objectstest.Transport{Handler: b.platform, Intercept: func(r *http.Request) error {
		b.bytes.Add(max(r.ContentLength, 0))
		return nil
	}}
	return objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
}

func (b *bench) claims() *Claims { return b.claimsIn(b.client()) }

func (b *bench) claimsIn(store Store) *Claims {
	c := New(Options{Store: store})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, c)
	return c
}

func (b *bench) close() {
	for _, c := range b.all {
		c.Close()
	}
	b.platform.Close()
}

func (b *bench) begin(c *Claims, want State) Claim {
	b.t.Helper()
	claim, err := c.Begin(b.t.Context(), request)
	if err != nil || claim.State != want {
		b.t.Fatalf("state %d, error %v, want state %d", claim.State, err, want)
	}
	return claim
}

func TestRetryElsewhereIsToldWhatIsKnown(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		first, second := b.claims(), b.claims()
		claim := b.begin(first, Fresh)
		b.begin(second, InProgress)
		if err := first.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200, Body: []byte("done")}); err != nil {
			t.Fatal(err)
		}
		again := b.begin(second, Completed)
		if again.Outcome.Status != 200 || string(again.Outcome.Body) != "done" {
			t.Errorf("outcome %+v", again.Outcome)
		}
	})
}

func TestAnotherBodyWithTheKeyIsAConflict(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		b.begin(b.claims(), Fresh)
		other := request
		other.Digest = "d2"
		if _, err := b.claims().Begin(t.Context(), other); !errors.Is(err, ErrKeyConflict) {
			t.Errorf("error %v", err)
		}
		other.Organisation = "agenda"
		if claim, err := b.claims().Begin(t.Context(), other); err != nil || claim.State != Fresh {
			t.Errorf("another organisation: state %d, error %v", claim.State, err)
		}
	})
}

func TestStoreDownRefusesAtOnce(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		b.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		start := time.Now()
		_, err := b.claims().Begin(t.Context(), request)
		var refused *StoreError
		if !errors.As(err, &refused) || !errors.Is(err, ErrStoreUnavailable) || refused.RetryAfter <= 0 {
			t.Errorf("error %v", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("took %v", took)
		}
	})
}

func TestLostConfirmationOfTheClaimIsRecognised(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		b.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: api.Duration(time.Hour)})
		c := b.claims()
		claim := b.begin(c, Fresh)
		b.begin(b.claims(), InProgress)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200}); err != nil {
			t.Fatal(err)
		}
		b.begin(b.claims(), Completed)
	})
}

func TestUnconfirmedClaimIsRefusedAndReleased(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		store := &lossy{Client: b.client(), after: func() { b.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse}) }}
		c := b.claimsIn(store)
		if _, err := c.Begin(t.Context(), request); !errors.Is(err, ErrStoreUnavailable) {
			t.Fatalf("error %v", err)
		}
		b.platform.SetFaults(platform.Faults{})
		time.Sleep(10 * time.Second)
		b.begin(b.claims(), Fresh)
	})
}

// lossy loses the answer of the first create, and then calls after.
type lossy struct {
	*objects.Client
	once  sync.Once
	after func()
}

func (l *lossy) Create(ctx context.Context, obj api.Object) (api.Object, error) {
	stored, err := l.Client.Create(ctx, obj)
	l.once.Do(func() {
		l.after()
		stored, err = api.Object{}, objects.ErrUncertain
	})
	return stored, err
}

func TestClaimOfACrashedHolderIsNeverRunAgain(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		// The holder may have crashed before the send or after it.
		b.begin(b.claims(), Fresh)
		time.Sleep(DefaultMaxRun / 2)
		b.begin(b.claims(), InProgress)
		time.Sleep(DefaultMaxRun)
		b.begin(b.claims(), Unknown)
		time.Sleep(DefaultRetention - 2*DefaultMaxRun)
		b.begin(b.claims(), Unknown)
	})
}

func TestRequestThatDidNotRunGivesItsKeyFree(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		for _, lost := range []float64{0, 1} {
			b.platform.SetFaults(platform.Faults{LoseConfirmations: lost})
			c := b.claims()
			claim := b.begin(c, Fresh)
			if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Refused}); err != nil {
				t.Fatal(err)
			}
		}
		c := b.claims()
		claim := b.begin(c, Fresh)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Unknown}); err != nil {
			t.Fatal(err)
		}
		b.begin(c, Unknown)
	})
}

func TestFinishOutlastsAnOutage(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		c := b.claims()
		claim := b.begin(c, Fresh)
		b.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		time.AfterFunc(time.Minute, func() { b.platform.SetFaults(platform.Faults{}) })
		big := make([]byte, MaxStoredBody+1)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 201, Body: big}); err != nil {
			t.Fatal(err)
		}
		got := b.begin(c, Completed).Outcome
		if got.Status != 201 || got.Body != nil || !got.Truncated {
			t.Errorf("outcome %+v", got)
		}
	})
}

func TestExpiredClaimsAreSweptAndReplaced(t *testing.T) {
	runBench(t, platform.Options{}, func(t *testing.T, b *bench) {
		b.begin(b.claims(), Fresh)
		time.Sleep(DefaultRetention + 2*MaxClockSkew)
		b.begin(b.claims(), Fresh)
		b.begin(b.claims(), InProgress)
		time.Sleep(DefaultRetention + 2*MaxClockSkew)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &Sweeper{Claims: b.claims(), Store: b.client(), ShouldSweep: func() bool { return true }}
		go s.Run(ctx)
		time.Sleep((Partitions + 1) * sweepInterval)
		left := 0
		for p := range Partitions {
			list, err := b.client().List(ctx, partitionKind(p))
			if err != nil {
				t.Fatal(err)
			}
			left += len(list.Items)
		}
		if left != 0 {
			t.Errorf("%d claims left", left)
		}
	})
}

// Several instances get the same request again and again, under lost
// confirmations, outages and crashes. It runs at most once.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		runBench(t, platform.Options{Seed: seed, WritesPerSecond: 50}, func(t *testing.T, b *bench) {
			var sends atomic.Int64
			var group sync.WaitGroup
			for i := range uint64(5) {
				group.Go(func() { b.retryAtRandom(rand.New(rand.NewPCG(seed, i)), &sends) })
			}
			faults := rand.New(rand.NewPCG(seed, 99))
			for range 20 {
				f := platform.Faults{LoseConfirmations: 0.5, Latency: api.Duration(faults.IntN(100)) * api.Duration(time.Millisecond)}
				if faults.IntN(3) == 0 {
					f.Outage = platform.OutageHang
				}
				b.platform.SetFaults(f)
				time.Sleep(time.Duration(faults.IntN(3000)) * time.Millisecond)
			}
			b.platform.SetFaults(platform.Faults{})
			group.Wait()
			if got := sends.Load(); got > 1 {
				t.Errorf("seed %d: ran %d times", seed, got)
			}
		})
	}
}

// retryAtRandom runs the request when its claim is fresh, and crashes at times
// before or after.
func (b *bench) retryAtRandom(r *rand.Rand, sends *atomic.Int64) {
	for range 20 {
		c := b.claims()
		claim, err := c.Begin(b.t.Context(), request)
		if err == nil && claim.State == Fresh {
			switch r.IntN(4) {
			case 0: // crashes before the send
			case 1: // does not run
				_ = c.Finish(b.t.Context(), claim, Outcome{Final: outcome.Refused})
			case 2: // crashes after the send
				sends.Add(1)
			default:
				sends.Add(1)
				_ = c.Finish(b.t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200})
			}
		}
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	}
}

func unboundedRate() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }
