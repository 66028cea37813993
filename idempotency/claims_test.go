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

var testRequest = Request{Organisation: "covorul", Key: "certificate-1", Digest: "d1"}

// testEnv is a simulated platform, used by several simulated instances. Each
// instance has its own Claims.
type testEnv struct {
	t        *testing.T
	platform *platform.Server
	// sentBytes counts the bytes of the request bodies sent to the platform.
	sentBytes atomic.Int64
	mu        sync.Mutex
	// claimsToClose holds every Claims that the test made. The method close
	// closes them all.
	claimsToClose []*Claims
}

// runTestEnv runs the function test with a new platform, in virtual time.
func runTestEnv(t *testing.T, opts platform.Options, test func(t *testing.T, e *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		e := &testEnv{t: t, platform: platform.New(opts)}
		defer e.close()
		test(t, e)
	})
}

func (e *testEnv) newClient() *objects.Client {
	transport := &objectstest.Transport{Handler: e.platform, Intercept: func(r *http.Request) error {
		e.sentBytes.Add(max(r.ContentLength, 0))
		return nil
	}}
	return objects.New(objects.Options{BaseURL: "http://platform", HTTPClient: transport.Client()})
}

func (e *testEnv) newClaims() *Claims { return e.newClaimsWithStore(e.newClient()) }

func (e *testEnv) newClaimsWithStore(store Store) *Claims {
	c := New(Options{Store: store})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimsToClose = append(e.claimsToClose, c)
	return c
}

func (e *testEnv) close() {
	for _, c := range e.claimsToClose {
		c.Close()
	}
	e.platform.Close()
}

// mustBegin calls Begin for testRequest and returns the claim. It fails the
// test unless the claim's state is want.
func (e *testEnv) mustBegin(c *Claims, want State) Claim {
	e.t.Helper()
	claim, err := c.Begin(e.t.Context(), testRequest)
	if err != nil || claim.State != want {
		e.t.Fatalf("Begin: got state %d and error %v, want state %d and no error", claim.State, err, want)
	}
	return claim
}

func TestRetryAtAnotherInstanceGetsStoredState(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		first, second := e.newClaims(), e.newClaims()
		claim := e.mustBegin(first, Fresh)
		e.mustBegin(second, InProgress)
		if err := first.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200, Body: []byte("done")}); err != nil {
			t.Fatal(err)
		}
		again := e.mustBegin(second, Completed)
		if again.Outcome.Status != 200 || string(again.Outcome.Body) != "done" {
			t.Errorf("got stored outcome %+v, want status 200 and body done", again.Outcome)
		}
	})
}

func TestKeyReusedForAnotherRequestIsAConflict(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		e.mustBegin(e.newClaims(), Fresh)
		other := testRequest
		other.Digest = "d2"
		if _, err := e.newClaims().Begin(t.Context(), other); !errors.Is(err, ErrKeyConflict) {
			t.Errorf("Begin with another digest: got error %v, want ErrKeyConflict", err)
		}
		other.Organisation = "agenda"
		if claim, err := e.newClaims().Begin(t.Context(), other); err != nil || claim.State != Fresh {
			t.Errorf("Begin by another organisation: got state %d and error %v, want state 1 (Fresh) and no error", claim.State, err)
		}
	})
}

func TestBeginFailsAtOnceDuringOutage(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		e.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		start := time.Now()
		_, err := e.newClaims().Begin(t.Context(), testRequest)
		var refused *StoreError
		if !errors.As(err, &refused) || !errors.Is(err, ErrStoreUnavailable) || refused.RetryAfter <= 0 {
			t.Errorf("Begin during an outage: got error %v, want ErrStoreUnavailable with a positive Retry-After time", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("Begin during an outage took %v, want no delay", took)
		}
	})
}

// TestClaimWithLostConfirmationIsFresh loses the platform's responses while
// reads are stale. Begin must nevertheless recognise its own claim as Fresh,
// and Finish must store the outcome.
func TestClaimWithLostConfirmationIsFresh(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		e.platform.SetFaults(platform.Faults{LoseConfirmations: 1, StaleReads: api.Duration(time.Hour)})
		c := e.newClaims()
		claim := e.mustBegin(c, Fresh)
		e.mustBegin(e.newClaims(), InProgress)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200}); err != nil {
			t.Fatal(err)
		}
		e.mustBegin(e.newClaims(), Completed)
	})
}

// TestUnconfirmedClaimFailsAndIsReleased loses the response to the create of a
// claim, and an outage follows. Begin must fail. After the outage, the claim
// must be released so that it does not block the key.
func TestUnconfirmedClaimFailsAndIsReleased(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		store := &lossyStore{Client: e.newClient(), afterCreate: func() { e.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse}) }}
		c := e.newClaimsWithStore(store)
		if _, err := c.Begin(t.Context(), testRequest); !errors.Is(err, ErrStoreUnavailable) {
			t.Fatalf("Begin without confirmation: got error %v, want ErrStoreUnavailable", err)
		}
		e.platform.SetFaults(platform.Faults{})
		time.Sleep(10 * time.Second)
		e.mustBegin(e.newClaims(), Fresh)
	})
}

// lossyStore loses the response to the first create and then calls afterCreate.
type lossyStore struct {
	*objects.Client
	once        sync.Once
	afterCreate func()
}

func (s *lossyStore) Create(ctx context.Context, obj api.Object) (api.Object, error) {
	stored, err := s.Client.Create(ctx, obj)
	s.once.Do(func() {
		s.afterCreate()
		stored, err = api.Object{}, objects.ErrUncertain
	})
	return stored, err
}

// TestRequestOfCrashedHolderIsNeverRunAgain claims a key and then neither sends
// the request nor finishes the claim. The key must be InProgress and then
// Unknown, but never Fresh, until the claim expires.
func TestRequestOfCrashedHolderIsNeverRunAgain(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		// The holder may have crashed before or after it sent the request.
		e.mustBegin(e.newClaims(), Fresh)
		time.Sleep(DefaultMaxRunTime / 2)
		e.mustBegin(e.newClaims(), InProgress)
		time.Sleep(DefaultMaxRunTime)
		e.mustBegin(e.newClaims(), Unknown)
		time.Sleep(DefaultRetention - 2*DefaultMaxRunTime)
		e.mustBegin(e.newClaims(), Unknown)
	})
}

// TestRefusedRequestReleasesItsKey finishes two refused requests, the second
// while the platform's responses are lost. The key must be free again each
// time. A request with an unknown outcome must keep its key.
func TestRefusedRequestReleasesItsKey(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		for _, lost := range []float64{0, 1} {
			e.platform.SetFaults(platform.Faults{LoseConfirmations: lost})
			c := e.newClaims()
			claim := e.mustBegin(c, Fresh)
			if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Refused}); err != nil {
				t.Fatal(err)
			}
		}
		c := e.newClaims()
		claim := e.mustBegin(c, Fresh)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Unknown}); err != nil {
			t.Fatal(err)
		}
		e.mustBegin(c, Unknown)
	})
}

// TestFinishRetriesDuringOutage calls Finish in an outage of one minute, with a
// response body that is too large to be stored. When the outage ends, Finish
// must store the status and mark the body as truncated.
func TestFinishRetriesDuringOutage(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		c := e.newClaims()
		claim := e.mustBegin(c, Fresh)
		e.platform.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
		time.AfterFunc(time.Minute, func() { e.platform.SetFaults(platform.Faults{}) })
		big := make([]byte, MaxStoredBody+1)
		if err := c.Finish(t.Context(), claim, Outcome{Final: outcome.Completed, Status: 201, Body: big}); err != nil {
			t.Fatal(err)
		}
		got := e.mustBegin(c, Completed).Outcome
		if got.Status != 201 || got.Body != nil || !got.Truncated {
			t.Errorf("got stored outcome %+v, want status 201, no body and Truncated set", got)
		}
	})
}

// TestExpiredClaimsAreReplacedAndSwept lets a claim expire and claims its key
// again, which must succeed. When the second claim has expired, the sweeper
// must delete it.
func TestExpiredClaimsAreReplacedAndSwept(t *testing.T) {
	runTestEnv(t, platform.Options{}, func(t *testing.T, e *testEnv) {
		e.mustBegin(e.newClaims(), Fresh)
		time.Sleep(DefaultRetention + 2*MaxClockSkew)
		e.mustBegin(e.newClaims(), Fresh)
		e.mustBegin(e.newClaims(), InProgress)
		time.Sleep(DefaultRetention + 2*MaxClockSkew)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &Sweeper{Claims: e.newClaims(), Store: e.newClient(), ShouldSweep: func() bool { return true }}
		go s.Run(ctx)
		time.Sleep((Partitions + 1) * sweepInterval)
		remaining := 0
		for p := range Partitions {
			list, err := e.newClient().List(ctx, partitionKind(p))
			if err != nil {
				t.Fatal(err)
			}
			remaining += len(list.Items)
		}
		if remaining != 0 {
			t.Errorf("after the sweep: got %d claims, want 0", remaining)
		}
	})
}

// TestRequestRunsAtMostOnceUnderRandomFaults has several instances receive the
// same request repeatedly, while the platform loses responses and has outages,
// and instances crash. The request must run at most once.
func TestRequestRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		runTestEnv(t, platform.Options{Seed: seed, WritesPerSecond: 50}, func(t *testing.T, e *testEnv) {
			var sends atomic.Int64
			var group sync.WaitGroup
			for i := range uint64(5) {
				group.Go(func() { e.retryWithRandomCrashes(rand.New(rand.NewPCG(seed, i)), &sends) })
			}
			faults := rand.New(rand.NewPCG(seed, 99))
			for range 20 {
				f := platform.Faults{LoseConfirmations: 0.5, Latency: api.Duration(faults.IntN(100)) * api.Duration(time.Millisecond)}
				if faults.IntN(3) == 0 {
					f.Outage = platform.OutageHang
				}
				e.platform.SetFaults(f)
				time.Sleep(time.Duration(faults.IntN(3000)) * time.Millisecond)
			}
			e.platform.SetFaults(platform.Faults{})
			group.Wait()
			if got := sends.Load(); got > 1 {
				t.Errorf("seed %d: the request ran %d times, want at most 1", seed, got)
			}
		})
	}
}

// retryWithRandomCrashes calls Begin repeatedly and sends the request whenever
// its claim is fresh. At random it simulates a crash before or after the send,
// or a refusal.
func (e *testEnv) retryWithRandomCrashes(random *rand.Rand, sends *atomic.Int64) {
	for range 20 {
		c := e.newClaims()
		claim, err := c.Begin(e.t.Context(), testRequest)
		if err == nil && claim.State == Fresh {
			switch random.IntN(4) {
			case 0: // the instance crashes before the send
			case 1: // the request is refused and does not run
				_ = c.Finish(e.t.Context(), claim, Outcome{Final: outcome.Refused})
			case 2: // the instance crashes after the send
				sends.Add(1)
			default:
				sends.Add(1)
				_ = c.Finish(e.t.Context(), claim, Outcome{Final: outcome.Completed, Status: 200})
			}
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

func newUnlimitedLimiter() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }
