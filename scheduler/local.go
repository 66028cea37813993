package scheduler

import (
	"context"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/schedcore"
)

// DefaultTick is the shortest time between two ticks of a pool that has work,
// unless an event asks for a tick at once.
const DefaultTick = 5 * time.Millisecond

// LocalOptions configures a Local. The zero value of Tick means DefaultTick.
type LocalOptions struct {
	// DataCentre is the data centre whose backend servers the pools use.
	DataCentre string
	Tick       time.Duration
	Core       schedcore.Options
	// OnViolation is called for each decision that breaks a rule of package
	// schedcore. If OnViolation is nil, no decision is checked. The check takes
	// about as much processor time as the decisions themselves.
	OnViolation func(model string, v schedcore.Violation)
}

// Local schedules requests in this process. For each model it has one pool with
// its own decision core. It is safe for concurrent use.
type Local struct {
	opts LocalOptions

	mu          sync.Mutex
	snapshot    *config.Snapshot
	slotDivisor int // each server's slots are divided by this number; 0 and 1 have no effect
	pools       map[string]*pool
	closed      bool
	done        chan struct{}
	poolLoops   sync.WaitGroup
}

// NewLocal returns a scheduler without a configuration. Call Close to stop it.
func NewLocal(opts LocalOptions) *Local {
	if opts.Tick == 0 {
		opts.Tick = DefaultTick
	}
	return &Local{
		opts:     opts,
		snapshot: &config.Snapshot{},
		pools:    make(map[string]*pool),
		done:     make(chan struct{}),
	}
}

// Close stops every pool and waits for its goroutine to return. Open sessions
// get no further decision.
func (l *Local) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.done)
	l.mu.Unlock()
	l.poolLoops.Wait()
}

// Configure passes a configuration snapshot to every pool. It takes effect at
// each pool's next tick.
func (l *Local) Configure(s *config.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot = s
	divisor := l.slotDivisor
	for model, p := range l.pools {
		p.add(func(in *schedcore.Input) { in.Config = divideSlots(poolConfig(s, l.opts.DataCentre, model), divisor) })
	}
}

// Submit queues the ticket in the pool of its model.
func (l *Local) Submit(_ context.Context, t schedcore.Ticket) Session {
	p := l.pool(t.Model)
	return p.submit(t)
}

// Observe adds events to a model's pool: load reports, cache hints and the free
// capacity of other data centres.
func (l *Local) Observe(model string, add func(in *schedcore.Input)) {
	l.pool(model).addDeferred(add)
}

func (l *Local) pool(model string) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[model]; ok {
		return p
	}
	p := newPool(schedcore.New(l.opts.Core), l.opts.Tick)
	if l.opts.OnViolation != nil {
		p.auditor = schedcore.NewAuditor(l.opts.Core)
		p.onViolation = func(v schedcore.Violation) { l.opts.OnViolation(model, v) }
	}
	p.next.Config = divideSlots(poolConfig(l.snapshot, l.opts.DataCentre, model), l.slotDivisor)
	l.pools[model] = p
	if !l.closed {
		l.poolLoops.Go(func() { p.run(l.done) })
	}
	return p
}

// poolConfig returns the configuration of a model's pool in a data centre.
func poolConfig(s *config.Snapshot, dataCentre, model string) *schedcore.Config {
	cfg := &schedcore.Config{}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, schedcore.Class{
			Name:          c.Name,
			Tier:          c.Spec.Tier,
			FirstToken:    c.Spec.FirstToken.Std(),
			BetweenTokens: c.Spec.BetweenTokens.Std(),
			WholeAnswer:   c.Spec.WholeAnswer.Std(),
			Floor:         c.Spec.Floor,
			MaxWait:       c.Spec.MaxWait.Std(),
		})
	}
	for _, o := range s.Organisations {
		cfg.Organisations = append(cfg.Organisations, schedcore.Organisation{Name: o.Name, Weight: o.Spec.Weight})
	}
	for _, b := range s.BackendServers {
		if b.Spec.DataCentre != dataCentre || !serves(b.Spec.Models, model) {
			continue
		}
		cfg.Servers = append(cfg.Servers, schedcore.Server{Name: b.Name, Slots: b.Spec.Slots, Draining: b.Spec.Drain})
	}
	sortConfig(cfg)
	return cfg
}

// Stats returns the statistics of each pool's core after its last tick, by
// model.
func (l *Local) Stats() map[string]schedcore.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]schedcore.Stats, len(l.pools))
	for model, p := range l.pools {
		out[model] = p.lastStats()
	}
	return out
}
