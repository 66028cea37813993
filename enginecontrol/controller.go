package enginecontrol

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/lease"
)

const (
	// DefaultInterval is the time between two looks at each engine.
	DefaultInterval = 2 * time.Second
	// DefaultCallTimeout bounds one call to an engine.
	DefaultCallTimeout = 2 * time.Second
	// DefaultSettleTime is how long a new holder leaves an engine alone that does
	// not check fencing numbers.
	DefaultSettleTime = 10 * time.Second
	// DefaultMaxConcurrentLoads bounds the engines that load weights at a time.
	DefaultMaxConcurrentLoads = 2
)

// Spec is the state that an engine should have.
type Spec struct {
	Server  string
	Address string
	// ChecksFencing says that the engine refuses an old fencing number.
	ChecksFencing bool
	Models        []string
	Adapters      []string
	// Role is not set if it is empty.
	Role string
}

// Specs returns the states that the configuration asks for of a data
// centre's engines, by name.
func Specs(s *config.Snapshot, dataCentre string) []Spec {
	var out []Spec
	for name, entry := range s.BackendServers {
		spec := entry.Spec
		if spec.Service || spec.DataCentre != dataCentre {
			continue
		}
		out = append(out, Spec{
			Server:        name,
			Address:       spec.Address,
			ChecksFencing: spec.ChecksFencing,
			Models:        spec.Models,
			Role:          string(spec.Role),
		})
	}
	slices.SortFunc(out, func(a, b Spec) int { return strings.Compare(a.Server, b.Server) })
	return out
}

// LeaseHolder is what a Controller needs of a lease.
type LeaseHolder interface {
	Valid() (lease.Term, bool)
}

// Engine is what a Controller needs of the engines.
type Engine interface {
	// State returns an engine's state.
	State(ctx context.Context, address string) (engineapi.OrderState, error)
	// Order gives an order and returns the state after it. It fails with
	// ErrStaleFencingToken if the engine refused the fencing number.
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderState, error)
}

// Options sets up a Controller. The zero value of a field takes its default.
type Options struct {
	Lease  LeaseHolder
	Engine Engine
	// Desired returns the states to bring about.
	Desired            func() []Spec
	Interval           time.Duration
	CallTimeout        time.Duration
	SettleTime         time.Duration
	MaxConcurrentLoads int
	Log                *slog.Logger
}

// Counters counts what a Controller did.
type Counters struct {
	// Orders counts the orders given, Failed those without a good answer.
	Orders, Failed atomic.Int64
	// Superseded counts the orders that an engine refused for a newer holder's.
	Superseded atomic.Int64
	// LateOrders counts the times an engine's state bore an older fencing
	// number than it had before.
	LateOrders atomic.Int64
	// Settling counts the looks at an engine that was left alone.
	Settling atomic.Int64
}

// Controller brings engines to their desired state.
type Controller struct {
	// Counters may be read at any time.
	Counters Counters

	opts Options
	// fences holds the highest fencing number seen at each server.
	fences map[string]int64
}

// New returns a controller.
func New(o Options) *Controller {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.SettleTime <= 0 {
		o.SettleTime = DefaultSettleTime
	}
	if o.MaxConcurrentLoads <= 0 {
		o.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Controller{opts: o, fences: make(map[string]int64)}
}

// Run works while the lease is held, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := c.opts.Lease.Valid(); held {
			c.pass(ctx)
		}
		sleep(ctx, c.opts.Interval)
	}
}

// pass looks at each engine once and gives each at most one order.
func (c *Controller) pass(ctx context.Context) {
	desired := c.opts.Desired()
	states := make([]*engineapi.OrderState, len(desired))
	loading := 0
	for i, d := range desired {
		state, err := c.state(ctx, d)
		if err != nil {
			continue
		}
		states[i] = &state
		if state.Loading != "" {
			loading++
		}
	}
	for i, d := range desired {
		if states[i] == nil {
			continue
		}
		order, due := next(d, *states[i], loading < c.opts.MaxConcurrentLoads)
		if !due {
			continue
		}
		term, may := c.mayOrder(d)
		if may && c.order(ctx, term, d, order) && order.Kind != engineapi.OrderSetRole {
			loading++
		}
	}
}

// state reads an engine's state and notices orders that came late.
func (c *Controller) state(ctx context.Context, d Spec) (engineapi.OrderState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	state, err := c.opts.Engine.State(ctx, d.Address)
	if err != nil {
		return state, err
	}
	if state.FencingToken < c.fences[d.Server] {
		c.Counters.LateOrders.Add(1)
		c.opts.Log.Warn("an engine took an order with an old fencing number",
			"server", d.Server, "fence", state.FencingToken, "highest", c.fences[d.Server])
	}
	c.fences[d.Server] = max(c.fences[d.Server], state.FencingToken)
	return state, nil
}

// next returns the first order that the state lacks.
func next(d Spec, state engineapi.OrderState, mayLoad bool) (engineapi.Order, bool) {
	if d.Role != "" && d.Role != state.Role {
		return engineapi.Order{Kind: engineapi.OrderSetRole, Role: d.Role}, true
	}
	if state.Loading != "" || !mayLoad {
		return engineapi.Order{}, false
	}
	for _, model := range d.Models {
		if !slices.Contains(state.Models, model) {
			return engineapi.Order{Kind: engineapi.OrderLoadModel, Model: model}, true
		}
	}
	for _, adapter := range d.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return engineapi.Order{Kind: engineapi.OrderLoadAdapter, Adapter: adapter}, true
		}
	}
	return engineapi.Order{}, false
}

// mayOrder returns the term for an order to the engine, and reports whether the
// order would end before the term does and could not meet one of the holder
// before.
func (c *Controller) mayOrder(d Spec) (lease.Term, bool) {
	term, held := c.opts.Lease.Valid()
	if !held || time.Until(term.ValidUntil) < c.opts.CallTimeout {
		return term, false
	}
	if !d.ChecksFencing && time.Since(term.AcquiredAt) < c.opts.SettleTime {
		c.Counters.Settling.Add(1)
		return term, false
	}
	return term, true
}

// order gives an order and reports whether the engine took it. An order that
// was held up past the end of the term is not sent.
func (c *Controller) order(ctx context.Context, term lease.Term, d Spec, o engineapi.Order) bool {
	o.FencingToken = term.FencingToken
	ctx, cancel := context.WithDeadline(ctx, term.ValidUntil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	c.Counters.Orders.Add(1)
	state, err := c.opts.Engine.Order(ctx, d.Address, o)
	if errors.Is(err, ErrStaleFencingToken) {
		c.Counters.Superseded.Add(1)
		return false
	}
	if err != nil {
		c.Counters.Failed.Add(1)
		return false
	}
	c.fences[d.Server] = max(c.fences[d.Server], state.FencingToken)
	return true
}

// sleep returns after d or at the end of ctx, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
