package engine

import (
	"context"
	"net/http"
	"slices"

	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// WeightStore is a store of model weights that several engines share. The store's
// rate limit applies to all engines together.
type WeightStore struct {
	limiter *rate.Limiter
}

// weightBlockBytes is the number of bytes in one read from the weight store.
const weightBlockBytes = 1 << 20

// NewWeightStore returns a store with the given rate limit.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightBlockBytes)}
}

// Read waits for as long as the store needs to deliver the given number of bytes.
// If ctx ends earlier, Read returns an error.
func (s *WeightStore) Read(ctx context.Context, bytes int) error {
	for bytes > 0 {
		block := min(bytes, weightBlockBytes)
		if err := s.limiter.WaitN(ctx, block); err != nil {
			return err
		}
		bytes -= block
	}
	return nil
}

// orderState is the state that orders have set, with the loads that are not done
// yet. The engine's lock guards the fields.
type orderState struct {
	state engineapi.OrderState
	// pending lists the loads that are not done yet. The first load is in
	// progress.
	pending []engineapi.Order
}

func newOrderState(opts Options) orderState {
	return orderState{state: engineapi.OrderState{
		Models:   slices.Clone(opts.Models),
		Adapters: []string{},
		Role:     opts.Role,
	}}
}

// apply carries out an order. If the kind of the order is unknown, it returns
// false. An order to load a model or adapter has no effect if the model or
// adapter is already loaded or pending.
func (s *orderState) apply(order engineapi.Order) bool {
	switch order.Kind {
	case engineapi.OrderSetRole:
		s.state.Role = order.Role
	case engineapi.OrderLoadModel:
		s.requestLoad(order, order.Model, s.state.Models)
	case engineapi.OrderLoadAdapter:
		s.requestLoad(order, order.Adapter, s.state.Adapters)
	default:
		return false
	}
	return true
}

// requestLoad adds a load to the pending loads. name is the model or adapter to
// load. If the name is already loaded or pending, requestLoad does nothing.
func (s *orderState) requestLoad(order engineapi.Order, name string, loaded []string) {
	samePending := func(p engineapi.Order) bool { return p.Kind == order.Kind && weightName(p) == name }
	if slices.Contains(loaded, name) || slices.ContainsFunc(s.pending, samePending) {
		return
	}
	s.pending = append(s.pending, order)
	s.state.Loading = weightName(s.pending[0])
}

// completeLoad records the first pending load as done.
func (s *orderState) completeLoad() {
	order := s.pending[0]
	s.pending = s.pending[1:]
	if order.Kind == engineapi.OrderLoadModel {
		s.state.Models = append(s.state.Models, order.Model)
	} else {
		s.state.Adapters = append(s.state.Adapters, order.Adapter)
	}
	s.state.Loading = ""
	if len(s.pending) > 0 {
		s.state.Loading = weightName(s.pending[0])
	}
}

// copy returns a copy of the state for a response.
func (s *orderState) copy() engineapi.OrderState {
	out := s.state
	out.Models = slices.Clone(out.Models)
	out.Adapters = slices.Clone(out.Adapters)
	return out
}

// weightName returns the name of the model or adapter that the order loads.
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
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	state, status := e.applyOrder(order)
	jsonhttp.WriteJSON(w, status, state)
}

// applyOrder checks the fencing token of an order if the engine checks tokens, and
// applies the order. It returns the resulting state and the HTTP status of the
// response.
func (e *Server) applyOrder(order engineapi.Order) (engineapi.OrderState, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && order.FencingToken < e.orders.state.FencingToken {
		return e.orders.copy(), http.StatusConflict
	}
	if !e.orders.apply(order) {
		return e.orders.copy(), http.StatusBadRequest
	}
	e.orders.state.FencingToken = order.FencingToken
	notify(e.loadSignal)
	return e.orders.copy(), http.StatusOK
}

// runLoader carries out the pending loads one by one until the engine is
// closed.
func (e *Server) runLoader() {
	for {
		if !e.hasPendingLoads() {
			select {
			case <-e.loadSignal:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		if !e.fetchWeights() || !e.awaitUnfrozen() {
			return
		}
		e.mu.Lock()
		e.orders.completeLoad()
		e.mu.Unlock()
	}
}

func (e *Server) hasPendingLoads() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders.pending) > 0
}

// fetchWeights waits for as long as one load takes. It returns false if the engine
// is closed.
func (e *Server) fetchWeights() bool {
	if e.opts.Weights != nil {
		return e.opts.Weights.Read(e.ctx, e.opts.WeightBytes) == nil
	}
	e.mu.Lock()
	duration := e.applySlowdown(e.opts.LoadTime)
	e.mu.Unlock()
	return e.sleep(duration)
}
