package scheduler

import (
	"context"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/schedcore"
)

// DefaultTick is the time between two ticks of a pool that has work.
const DefaultTick = 5 * time.Millisecond

// LocalOptions sets up a Local. The zero value of a field takes its default.
type LocalOptions struct {
	// DataCentre selects the backend servers that the pools hold.
	DataCentre string
	Tick       time.Duration
	Core       schedcore.Options
	// Audit is called for each decision that breaks a rule of package schedcore.
	// Nil checks nothing. It costs about as much as the decisions themselves.
	Audit func(model string, v schedcore.Violation)
}

// Local schedules pools in this process, one decision core a model. It is safe
// for concurrent use.
type Local struct {
	opts LocalOptions

	mu       sync.Mutex
	snapshot *config.Snapshot
	parts    int // by which the servers' slots are divided
	pools    map[string]*pool
	closed   bool
	done     chan struct{}
	running  sync.WaitGroup
}

// NewLocal returns a scheduler without configuration. Close ends it.
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

// Close stops every pool and returns after their goroutines ended. Open
// sessions get no further verdict.
func (l *Local) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.done)
	l.mu.Unlock()
	l.running.Wait()
}

// Configure hands a snapshot to every pool. It takes effect at each pool's
// next tick.
func (l *Local) Configure(s *config.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot = s
	parts := l.parts
	for model, p := range l.pools {
		p.add(func(in *schedcore.Input) { in.Config = shared(poolConfig(s, l.opts.DataCentre, model), parts) })
	}
}

// Submit queues the ticket at its model's pool.
func (l *Local) Submit(_ context.Context, t schedcore.Ticket) Session {
	p := l.pool(t.Model)
	return p.submit(t)
}

// Observe adds events to a model's pool: load reports, cache hints and
// pressures.
func (l *Local) Observe(model string, add func(in *schedcore.Input)) {
	l.pool(model).addLater(add)
}

func (l *Local) pool(model string) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[model]; ok {
		return p
	}
	p := newPool(schedcore.New(l.opts.Core), l.opts.Tick)
	if l.opts.Audit != nil {
		p.auditor = schedcore.NewAuditor(l.opts.Core)
		p.audit = func(v schedcore.Violation) { l.opts.Audit(model, v) }
	}
	p.next.Config = shared(poolConfig(l.snapshot, l.opts.DataCentre, model), l.parts)
	l.pools[model] = p
	if !l.closed {
		l.running.Go(func() { p.run(l.done) })
	}
	return p
}

// poolConfig picks what one pool needs from the configuration.
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
		cfg.Servers = append(cfg.Servers, schedcore.Server{Name: b.Name, Slots: b.Spec.Slots, Drain: b.Spec.Drain})
	}
	sortConfig(cfg)
	return cfg
}

// Stats returns what each pool's core did so far, by model.
func (l *Local) Stats() map[string]schedcore.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]schedcore.Stats, len(l.pools))
	for model, p := range l.pools {
		out[model] = p.lastStats()
	}
	return out
}
