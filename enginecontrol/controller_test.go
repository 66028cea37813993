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

// term is a lease that the test gives and takes.
type term struct {
	mu   sync.Mutex
	held lease.Term
}

func (h *term) Valid() (lease.Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held, time.Now().Before(h.held.ValidUntil)
}

func (h *term) give(fence int64, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = lease.Term{FencingToken: fence, AcquiredAt: time.Now(), ValidUntil: time.Now().Add(d)}
}

// site is one engine and the controllers that give it orders.
type site struct {
	t      *testing.T
	engine *engine.Server
	checks bool
	ctx    context.Context
	group  sync.WaitGroup

	mu    sync.Mutex
	roles []string // after each order
}

func runSite(t *testing.T, checks bool, test func(t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &site{t: t, checks: checks, ctx: ctx}
		s.engine = engine.New(engine.Options{Models: []string{"m1"}, Role: "mixed", ChecksFencing: checks})
		test(t, s)
		stop()
		s.group.Wait()
		s.engine.Close()
	})
}

// controller starts a controller that wants a role. delay holds up each order
// on its way, whatever the sender's time-out says; nil means none.
func (s *site) controller(h LeaseHolder, role string, models []string, delay func() time.Duration) *Controller {
	late := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if delay != nil && r.Method == http.MethodPost {
			time.Sleep(delay())
		}
		again := r.Clone(context.Background())
		again.Body = io.NopCloser(strings.NewReader(string(body)))
		s.engine.ServeHTTP(w, again)
		if r.Method == http.MethodPost {
			s.note()
		}
	}
	transport := &objectstest.Transport{Handler: http.HandlerFunc(late)}
	c := New(Options{
		Lease:  h,
		Engine: &HTTPClient{Client: transport.Client()},
		Desired: func() []Spec {
			return []Spec{{Server: "e", Address: engineAddress, ChecksFencing: s.checks, Models: models, Role: role}}
		},
	})
	s.group.Go(func() { c.Run(s.ctx) })
	return c
}

func (s *site) note() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles = append(s.roles, s.state().Role)
}

// rolesSoFar returns the engine's role after each order.
func (s *site) rolesSoFar() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.roles)
}

func (s *site) state() engineapi.OrderState {
	transport := &objectstest.Transport{Handler: s.engine}
	resp, err := transport.Client().Get("http://" + engineAddress + engineapi.PathOrders)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var state engineapi.OrderState
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		s.t.Fatal(err)
	}
	return state
}

func TestEngineReachesTheDesiredStateAndIsLeftAlone(t *testing.T) {
	runSite(t, true, func(t *testing.T, s *site) {
		var h term
		h.give(7, time.Hour)
		c := s.controller(&h, "decode", []string{"m1", "m2", "m3"}, nil)
		time.Sleep(time.Minute)
		state := s.state()
		if state.Role != "decode" || !slices.Equal(state.Models, []string{"m1", "m2", "m3"}) || state.FencingToken != 7 {
			t.Errorf("state %+v", state)
		}
		if got := c.Counters.Orders.Load(); got != 3 {
			t.Errorf("%d orders, want 3", got)
		}
	})
}

func TestNoOrderWithoutALease(t *testing.T) {
	runSite(t, true, func(t *testing.T, s *site) {
		var h term
		c := s.controller(&h, "decode", nil, nil)
		time.Sleep(time.Minute)
		h.give(1, DefaultCallTimeout/2) // too short for an order
		time.Sleep(time.Minute)
		if got := c.Counters.Orders.Load(); got != 0 {
			t.Errorf("%d orders", got)
		}
	})
}

// An order of the first holder, whose lease has ended, arrives after the
// second holder's.
func lateOrder(s *site, after time.Duration) (first, second *Controller) {
	var old, current term
	old.give(1, 15*time.Second)
	first = s.controller(&old, "prefill", nil, func() time.Duration { return after })
	time.Sleep(15 * time.Second)
	current.give(2, time.Hour)
	second = s.controller(&current, "decode", nil, nil)
	return first, second
}

func TestCheckingEngineRefusesALateOrder(t *testing.T) {
	runSite(t, true, func(t *testing.T, s *site) {
		lateOrder(s, 30*time.Second)
		time.Sleep(5 * time.Minute)
		if slices.Contains(s.rolesSoFar(), "prefill") || s.state().Role != "decode" {
			t.Errorf("roles %v, then %s", s.rolesSoFar(), s.state().Role)
		}
	})
}

func TestOtherEngineIsLeftAloneWhileOldOrdersMayCome(t *testing.T) {
	runSite(t, false, func(t *testing.T, s *site) {
		// The last order of the old term arrives within SettleTime of the new one.
		_, second := lateOrder(s, DefaultSettleTime)
		time.Sleep(5 * time.Minute)
		if second.Counters.LateOrders.Load() != 0 || second.Counters.Settling.Load() == 0 {
			t.Errorf("late orders %d, settling %d", second.Counters.LateOrders.Load(), second.Counters.Settling.Load())
		}
		roles := s.rolesSoFar()
		if i := slices.Index(roles, "decode"); i < 0 || slices.Contains(roles[i:], "prefill") {
			t.Errorf("roles %v", roles)
		}
	})
}

func TestOtherEngineIsSetRightAfterAVeryLateOrder(t *testing.T) {
	runSite(t, false, func(t *testing.T, s *site) {
		_, second := lateOrder(s, 2*time.Minute)
		time.Sleep(5 * time.Minute)
		if s.state().Role != "decode" || second.Counters.LateOrders.Load() == 0 {
			t.Errorf("role %s, late orders %d", s.state().Role, second.Counters.LateOrders.Load())
		}
		roles := s.rolesSoFar()
		if i := slices.Index(roles, "decode"); i < 0 || !slices.Contains(roles[i:], "prefill") {
			t.Errorf("the late order did not come: roles %v", roles)
		}
	})
}

func TestWeightStoreIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var desired []Spec
		handlers := make(map[string]*engine.Server)
		for _, address := range []string{"10.8.0.1:80", "10.8.0.2:80", "10.8.0.3:80", "10.8.0.4:80"} {
			desired = append(desired, Spec{Server: address, Address: address, ChecksFencing: true, Models: []string{"m"}})
			handlers[address] = engine.New(engine.Options{Models: []string{"other"}, LoadTime: 10 * time.Second, ChecksFencing: true})
		}
		route := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handlers[r.URL.Host].ServeHTTP(w, r) })
		client := &HTTPClient{Client: (&objectstest.Transport{Handler: route}).Client()}
		var h term
		h.give(1, time.Hour)
		c := New(Options{Lease: &h, Engine: client, Desired: func() []Spec { return desired }})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		most := 0
		for range 60 {
			time.Sleep(time.Second)
			loading := 0
			for _, d := range desired {
				state, err := client.State(t.Context(), d.Address)
				if err != nil {
					t.Fatal(err)
				}
				if state.Loading != "" {
					loading++
				}
			}
			most = max(most, loading)
		}
		if most != DefaultMaxConcurrentLoads || c.Counters.Orders.Load() != 4 {
			t.Errorf("%d loads at a time, %d orders", most, c.Counters.Orders.Load())
		}
		stop()
		<-done
		for _, e := range handlers {
			e.Close()
		}
	})
}
