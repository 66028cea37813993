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
	// DefaultInterval is the time between two passes over the engines.
	DefaultInterval = 2 * time.Second
	// DefaultCallTimeout bounds one call to an engine.
	DefaultCallTimeout = 2 * time.Second
	// DefaultSettleTime is how long a new lease holder waits, from the start of
	// its term, before it sends orders to engines that do not check fencing
	// tokens.
	DefaultSettleTime = 10 * time.Second
	// DefaultMaxConcurrentLoads bounds the number of engines that load models or
	// adapters at the same time.
	DefaultMaxConcurrentLoads = 2
)

// Spec is the state that an engine should have.
type Spec struct {
	Server  string
	Address string
	// ChecksFencing says whether the engine refuses an order if its fencing token
	// is lower than that of an earlier order.
	ChecksFencing bool
	Models        []string
	Adapters      []string
	// Role is the role to set. If it is empty, the engine keeps its role.
	Role string
}

// Specs returns the specs of a data centre's engines according to the
// configuration, sorted by server name.
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

// Lease tells a Controller whether this instance holds the lease.
type Lease interface {
	// CurrentTerm returns the current term, and whether this instance holds the
	// lease now.
	CurrentTerm() (lease.Term, bool)
}

// Engine is the part of an engine client that a Controller uses.
type Engine interface {
	// State returns an engine's state.
	State(ctx context.Context, address string) (engineapi.OrderState, error)
	// Order sends an order and returns the engine's state after it. It fails
	// with ErrStaleFencingToken if the engine refused the fencing token.
	Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderState, error)
}

// Options configures a Controller. The zero value of a duration, of
// MaxConcurrentLoads and of Log means its default.
type Options struct {
	Lease  Lease
	Engine Engine
	// Specs returns the specs of the engines to control.
	Specs              func() []Spec
	Interval           time.Duration
	CallTimeout        time.Duration
	SettleTime         time.Duration
	MaxConcurrentLoads int
	Log                *slog.Logger
}

// Counters counts what a Controller did.
type Counters struct {
	// Orders counts all orders sent. Failed counts the orders that failed,
	// except those that an engine refused for a stale fencing token.
	Orders, Failed atomic.Int64
	// Superseded counts the orders that an engine refused because it had
	// accepted an order of a newer lease holder.
	Superseded atomic.Int64
	// LateOrders counts how often the fencing token in an engine's state was
	// lower than the highest token seen at that engine. This happens if the
	// engine carries out a late order of an earlier lease holder.
	LateOrders atomic.Int64
	// HeldBack counts the orders held back because SettleTime had not passed.
	// An order held back in several passes counts once in each pass.
	HeldBack atomic.Int64
}

// Controller brings engines to the state in their specs.
type Controller struct {
	// Counters may be read at any time.
	Counters Counters

	opts Options
	// highestTokens holds the highest fencing token seen at each server.
	highestTokens map[string]int64
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
	return &Controller{opts: o, highestTokens: make(map[string]int64)}
}

// Run reconciles the engines while this instance holds the lease, until ctx
// ends.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := c.opts.Lease.CurrentTerm(); held {
			c.reconcile(ctx)
		}
		sleep(ctx, c.opts.Interval)
	}
}

// reconcile reads each engine's state once and sends each engine at most one
// order.
func (c *Controller) reconcile(ctx context.Context) {
	specs := c.opts.Specs()
	states := make([]*engineapi.OrderState, len(specs))
	loading := 0
	for i, spec := range specs {
		state, err := c.readState(ctx, spec)
		if err != nil {
			continue
		}
		states[i] = &state
		if state.Loading != "" {
			loading++
		}
	}
	for i, spec := range specs {
		if states[i] == nil {
			continue
		}
		order, needed := nextOrder(spec, *states[i], loading < c.opts.MaxConcurrentLoads)
		if !needed {
			continue
		}
		term, allowed := c.mayOrder(spec)
		if allowed && c.sendOrder(ctx, term, spec, order) && order.Kind != engineapi.OrderSetRole {
			loading++
		}
	}
}

// readState reads an engine's state. It counts and logs a late order if the
// fencing token in the state is lower than the highest token seen at the server.
func (c *Controller) readState(ctx context.Context, spec Spec) (engineapi.OrderState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	state, err := c.opts.Engine.State(ctx, spec.Address)
	if err != nil {
		return state, err
	}
	if state.FencingToken < c.highestTokens[spec.Server] {
		c.Counters.LateOrders.Add(1)
		c.opts.Log.Warn("the engine carried out an order with an old fencing token",
			"server", spec.Server, "fence", state.FencingToken, "highest", c.highestTokens[spec.Server])
	}
	c.highestTokens[spec.Server] = max(c.highestTokens[spec.Server], state.FencingToken)
	return state, nil
}

// nextOrder returns the first order needed to bring the state to the spec, and
// true. It returns false if no order is needed. It also returns false if the
// order would be a load but a load is already running at the engine, or mayLoad
// is false.
func nextOrder(spec Spec, state engineapi.OrderState, mayLoad bool) (engineapi.Order, bool) {
	if spec.Role != "" && spec.Role != state.Role {
		return engineapi.Order{Kind: engineapi.OrderSetRole, Role: spec.Role}, true
	}
	if state.Loading != "" || !mayLoad {
		return engineapi.Order{}, false
	}
	for _, model := range spec.Models {
		if !slices.Contains(state.Models, model) {
			return engineapi.Order{Kind: engineapi.OrderLoadModel, Model: model}, true
		}
	}
	for _, adapter := range spec.Adapters {
		if !slices.Contains(state.Adapters, adapter) {
			return engineapi.Order{Kind: engineapi.OrderLoadAdapter, Adapter: adapter}, true
		}
	}
	return engineapi.Order{}, false
}

// mayOrder returns the lease's term and reports whether an order to the engine
// may be sent now. The rest of the term must not be shorter than the timeout of
// one call. If the engine does not check fencing tokens, SettleTime must have
// passed since the term began, so that no order of the previous lease holder is
// still in flight.
func (c *Controller) mayOrder(spec Spec) (lease.Term, bool) {
	term, held := c.opts.Lease.CurrentTerm()
	if !held || time.Until(term.ValidUntil) < c.opts.CallTimeout {
		return term, false
	}
	if !spec.ChecksFencing && time.Since(term.AcquiredAt) < c.opts.SettleTime {
		c.Counters.HeldBack.Add(1)
		return term, false
	}
	return term, true
}

// sendOrder sends an order and reports whether the engine accepted it. The call's
// context ends when the term ends, so no order is sent after the term.
func (c *Controller) sendOrder(ctx context.Context, term lease.Term, spec Spec, o engineapi.Order) bool {
	o.FencingToken = term.FencingToken
	ctx, cancel := context.WithDeadline(ctx, term.ValidUntil)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	c.Counters.Orders.Add(1)
	state, err := c.opts.Engine.Order(ctx, spec.Address, o)
	if errors.Is(err, ErrStaleFencingToken) {
		c.Counters.Superseded.Add(1)
		return false
	}
	if err != nil {
		c.Counters.Failed.Add(1)
		return false
	}
	c.highestTokens[spec.Server] = max(c.highestTokens[spec.Server], state.FencingToken)
	return true
}

// sleep returns after d or when ctx ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
