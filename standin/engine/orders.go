package engine

import (
	"context"
	"net/http"
	"slices"

	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// WeightStore is a store of model weights that engines share. Its rate bounds
// all of them together.
type WeightStore struct {
	limiter *rate.Limiter
}

// weightBlock is how much an engine reads at once, in bytes.
const weightBlock = 1 << 20

// NewWeightStore returns a store that hands out that many bytes a second.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightBlock)}
}

// Read waits until that many bytes have come. It fails if ctx ends first.
func (s *WeightStore) Read(ctx context.Context, bytes int) error {
	for bytes > 0 {
		block := min(bytes, weightBlock)
		if err := s.limiter.WaitN(ctx, block); err != nil {
			return err
		}
		bytes -= block
	}
	return nil
}

// orderTable is the engine's state as orders set it, and the loads that are
// still to do. The engine's lock guards it.
type orderTable struct {
	state   engineapi.OrderState
	pending []engineapi.Order
}

func newOrderTable(opts Options) orderTable {
	return orderTable{state: engineapi.OrderState{
		Models:   slices.Clone(opts.Models),
		Adapters: []string{},
		Role:     opts.Role,
	}}
}

// apply takes an order. A state that already holds, or is on its way, stays.
func (t *orderTable) apply(order engineapi.Order) bool {
	switch order.Kind {
	case engineapi.OrderSetRole:
		t.state.Role = order.Role
	case engineapi.OrderLoadModel:
		t.load(order, order.Model, t.state.Models)
	case engineapi.OrderLoadAdapter:
		t.load(order, order.Adapter, t.state.Adapters)
	default:
		return false
	}
	return true
}

// load notes what has to be loaded, once.
func (t *orderTable) load(order engineapi.Order, name string, loaded []string) {
	pending := func(p engineapi.Order) bool { return p.Kind == order.Kind && weightName(p) == name }
	if slices.Contains(loaded, name) || slices.ContainsFunc(t.pending, pending) {
		return
	}
	t.pending = append(t.pending, order)
	t.state.Loading = weightName(t.pending[0])
}

// loaded completes the first pending load.
func (t *orderTable) loaded() {
	order := t.pending[0]
	t.pending = t.pending[1:]
	if order.Kind == engineapi.OrderLoadModel {
		t.state.Models = append(t.state.Models, order.Model)
	} else {
		t.state.Adapters = append(t.state.Adapters, order.Adapter)
	}
	t.state.Loading = ""
	if len(t.pending) > 0 {
		t.state.Loading = weightName(t.pending[0])
	}
}

// copy returns the state for an answer.
func (t *orderTable) copy() engineapi.OrderState {
	out := t.state
	out.Models = slices.Clone(out.Models)
	out.Adapters = slices.Clone(out.Adapters)
	return out
}

// weightName returns the model or adapter that the order loads.
func weightName(order engineapi.Order) string {
	if order.Kind == engineapi.OrderLoadModel {
		return order.Model
	}
	return order.Adapter
}

func (e *Server) handleOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orders.copy()
	e.mu.Unlock()
	jsonhttp.WriteJSON(w, http.StatusOK, state)
}

func (e *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := jsonhttp.DecodeJSON(r, maxControlBytes, &order); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	state, status := e.order(order)
	jsonhttp.WriteJSON(w, status, state)
}

// order applies an order and returns the state after it.
func (e *Server) order(order engineapi.Order) (engineapi.OrderState, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.FencingToken < e.orders.state.FencingToken {
		return e.orders.copy(), http.StatusConflict
	}
	if !e.orders.apply(order) {
		return e.orders.copy(), http.StatusBadRequest
	}
	e.orders.state.FencingToken = order.FencingToken
	signal(e.loads)
	return e.orders.copy(), http.StatusOK
}

// runLoads loads what orders ask for, one after the other, until the engine
// closes.
func (e *Server) runLoads() {
	for {
		if !e.loadsPending() {
			select {
			case <-e.loads:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !e.fetchWeights() || !e.thaw() {
			return
		}
		e.mu.Lock()
		e.orders.loaded()
		e.mu.Unlock()
	}
}

func (e *Server) loadsPending() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders.pending) > 0
}

// fetchWeights waits for one model or adapter. It reports false when the
// engine closes.
func (e *Server) fetchWeights() bool {
	if e.opts.Weights != nil {
		return e.opts.Weights.Read(e.ctx, e.opts.WeightBytes) == nil
	}
	e.mu.Lock()
	duration := e.slowed(e.opts.LoadTime)
	e.mu.Unlock()
	return e.sleep(duration)
}
