package enginecontrol

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/lease"
	"bergamotpin.example/bergamotpin/objects/objectstest"
	"bergamotpin.example/bergamotpin/standin/engine"
)

const engineAddress = "10.8.0.1:80"

// fakeLease is a lease whose term the test sets.
type fakeLease struct {
	mu   sync.Mutex
	term lease.Term
}

func (l *fakeLease) CurrentTerm() (lease.Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, time.Now().Before(l.term.ValidUntil)
}

func (l *fakeLease) grant(token int64, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = lease.Term{FencingToken: token, AcquiredAt: time.Now(), ValidUntil: time.Now().Add(d)}
}

// testEngine is a simulated engine, together with the controllers that send it
// orders.
type testEngine struct {
	t             *testing.T
	engine        *engine.Server
	checksFencing bool
	ctx           context.Context
	controllers   sync.WaitGroup

	mu    sync.Mutex
	roles []string // the engine's role after each order
}

func runTestEngine(t *testing.T, checksFencing bool, test func(t *testing.T, e *testEngine)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		e := &testEngine{t: t, checksFencing: checksFencing, ctx: ctx}
		e.engine = engine.New(engine.Options{Models: []string{"m1"}, Role: "mixed", ChecksFencing: checksFencing})
		test(t, e)
		stop()
		e.controllers.Wait()
		e.engine.Close()
	})
}

// startController starts a controller whose spec has the given role and models.
// Each order reaches the engine only after the time that delay returns, even if
// the sender's call has timed out by then. If delay is nil, orders arrive at once.
func (e *testEngine) startController(leaseHolder Lease, role string, models []string, delay func() time.Duration) *Controller {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if delay != nil && r.Method == http.MethodPost {
			time.Sleep(delay())
		}
		forwarded := r.Clone(context.Background())
		forwarded.Body = io.NopCloser(strings.NewReader(string(body)))
		e.engine.ServeHTTP(w, forwarded)
		if r.Method == http.MethodPost {
			e.recordRole()
		}
	}
	transport := &objectstest.Transport{Handler: http.HandlerFunc(handler)}
	c := New(Options{
		Lease:  leaseHolder,
		Engine: &HTTPClient{Client: transport.Client()},
		Specs: func() []Spec {
			return []Spec{{Server: "e", Address: engineAddress, ChecksFencing: e.checksFencing, Models: models, Role: role}}
		},
	})
	e.controllers.Go(func() { c.Run(e.ctx) })
	return c
}

func (e *testEngine) recordRole() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roles = append(e.roles, e.state().Role)
}

// recordedRoles returns the engine's role after each order so far.
func (e *testEngine) recordedRoles() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.roles)
}

func (e *testEngine) state() engineapi.OrderState {
	transport := &objectstest.Transport{Handler: e.engine}
	resp, err := transport.Client().Get("http://" + engineAddress + engineapi.PathOrders)
	if err != nil {
		e.t.Fatal(err)
	}
	defer resp.Body.Close()
	var state engineapi.OrderState
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		e.t.Fatal(err)
	}
	return state
}

// TestEngineReachesItsSpecWithoutFurtherOrders checks that the controller sets
// the role and loads the missing models, and then sends no more orders.
func TestEngineReachesItsSpecWithoutFurtherOrders(t *testing.T) {
	runTestEngine(t, true, func(t *testing.T, e *testEngine) {
		var testLease fakeLease
		testLease.grant(7, time.Hour)
		c := e.startController(&testLease, "decode", []string{"m1", "m2", "m3"}, nil)
		time.Sleep(time.Minute)
		state := e.state()
		if state.Role != "decode" || !slices.Equal(state.Models, []string{"m1", "m2", "m3"}) || state.FencingToken != 7 {
			t.Errorf("engine state %+v, want role decode, models m1, m2 and m3, and fencing token 7", state)
		}
		if got := c.Counters.Orders.Load(); got != 3 {
			t.Errorf("%d orders were sent, want 3", got)
		}
	})
}

// TestNoOrderWithoutALease checks that a controller sends no order without a
// lease, and none under a lease that is shorter than the timeout of one call.
func TestNoOrderWithoutALease(t *testing.T) {
	runTestEngine(t, true, func(t *testing.T, e *testEngine) {
		var testLease fakeLease
		c := e.startController(&testLease, "decode", nil, nil)
		time.Sleep(time.Minute)
		testLease.grant(1, DefaultCallTimeout/2)
		time.Sleep(time.Minute)
		if got := c.Counters.Orders.Load(); got != 0 {
			t.Errorf("%d orders were sent, want none", got)
		}
	})
}

// startWithLateOrder starts two controllers. The first controller's term ends
// after 15 seconds, and the second controller's term begins then. The first
// controller's orders reach the engine late, after the given delay, so at least
// one of these orders arrives in the second controller's term.
func startWithLateOrder(e *testEngine, delay time.Duration) (first, second *Controller) {
	var oldLease, newLease fakeLease
	oldLease.grant(1, 15*time.Second)
	first = e.startController(&oldLease, "prefill", nil, func() time.Duration { return delay })
	time.Sleep(15 * time.Second)
	newLease.grant(2, time.Hour)
	second = e.startController(&newLease, "decode", nil, nil)
	return first, second
}

// TestEngineWithFencingRefusesALateOrder checks that a late order of an earlier
// lease holder does not change an engine that checks fencing tokens.
func TestEngineWithFencingRefusesALateOrder(t *testing.T) {
	runTestEngine(t, true, func(t *testing.T, e *testEngine) {
		startWithLateOrder(e, 30*time.Second)
		time.Sleep(5 * time.Minute)
		if slices.Contains(e.recordedRoles(), "prefill") || e.state().Role != "decode" {
			t.Errorf("roles after each order: %v, final role: %s; want decode at the end and never prefill", e.recordedRoles(), e.state().Role)
		}
	})
}

// TestEngineWithoutFencingGetsNoOrderDuringSettleTime checks that a new lease
// holder waits for SettleTime before its first order. Without the wait, a late
// order of the earlier holder could undo an order of the new holder.
func TestEngineWithoutFencingGetsNoOrderDuringSettleTime(t *testing.T) {
	runTestEngine(t, false, func(t *testing.T, e *testEngine) {
		// The first controller's orders are late by SettleTime at most, so all
		// of them arrive before the second controller may send its first order.
		_, second := startWithLateOrder(e, DefaultSettleTime)
		time.Sleep(5 * time.Minute)
		if second.Counters.LateOrders.Load() != 0 || second.Counters.HeldBack.Load() == 0 {
			t.Errorf("%d late orders, %d orders held back by SettleTime; want no late order and at least one order held back", second.Counters.LateOrders.Load(), second.Counters.HeldBack.Load())
		}
		roles := e.recordedRoles()
		if i := slices.Index(roles, "decode"); i < 0 || slices.Contains(roles[i:], "prefill") {
			t.Errorf("roles after each order: %v; want decode, and no prefill after the first decode", roles)
		}
	})
}

// TestEngineWithoutFencingIsCorrectedAfterAVeryLateOrder lets an order of the
// earlier lease holder arrive after SettleTime. The engine carries out the late
// order. The new holder must notice the changed role and set the role again.
func TestEngineWithoutFencingIsCorrectedAfterAVeryLateOrder(t *testing.T) {
	runTestEngine(t, false, func(t *testing.T, e *testEngine) {
		_, second := startWithLateOrder(e, 2*time.Minute)
		time.Sleep(5 * time.Minute)
		if e.state().Role != "decode" || second.Counters.LateOrders.Load() == 0 {
			t.Errorf("final role %s, %d late orders seen by the second controller; want role decode and at least one late order", e.state().Role, second.Counters.LateOrders.Load())
		}
		roles := e.recordedRoles()
		if i := slices.Index(roles, "decode"); i < 0 || !slices.Contains(roles[i:], "prefill") {
			t.Errorf("roles after each order: %v; want decode, and the late order's prefill after the first decode", roles)
		}
	})
}

// TestConcurrentLoadsAreBounded checks that MaxConcurrentLoads bounds how many
// engines load a model at the same time.
func TestConcurrentLoadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var specs []Spec
		handlers := make(map[string]*engine.Server)
		for _, address := range []string{"10.8.0.1:80", "10.8.0.2:80", "10.8.0.3:80", "10.8.0.4:80"} {
			specs = append(specs, Spec{Server: address, Address: address, ChecksFencing: true, Models: []string{"m"}})
			handlers[address] = engine.New(engine.Options{Models: []string{"other"}, LoadTime: 10 * time.Second, ChecksFencing: true})
		}
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handlers[r.URL.Host].ServeHTTP(w, r) })
		client := &HTTPClient{Client: (&objectstest.Transport{Handler: handler}).Client()}
		var testLease fakeLease
		testLease.grant(1, time.Hour)
		c := New(Options{Lease: &testLease, Engine: client, Specs: func() []Spec { return specs }})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		mostLoading := 0
		for range 60 {
			time.Sleep(time.Second)
			loading := 0
			for _, spec := range specs {
				state, err := client.State(t.Context(), spec.Address)
				if err != nil {
					t.Fatal(err)
				}
				if state.Loading != "" {
					loading++
				}
			}
			mostLoading = max(mostLoading, loading)
		}
		if mostLoading != DefaultMaxConcurrentLoads || c.Counters.Orders.Load() != 4 {
			t.Errorf("%d engines were loading a model at the same time, %d orders were sent; want 2 engines (DefaultMaxConcurrentLoads) and 4 orders", mostLoading, c.Counters.Orders.Load())
		}
		stop()
		<-done
		for _, e := range handlers {
			e.Close()
		}
	})
}
