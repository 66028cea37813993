package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// unusedLifetime is for how long the digest of a pool without a core is good.
const unusedLifetime = time.Second

// SetSlotDivisor divides each server's slots by parts, leaving at least one. It takes
// effect at each pool's next tick.
func (l *Local) SetSlotDivisor(parts int) {
	l.mu.Lock()
	if parts == l.parts {
		l.mu.Unlock()
		return
	}
	l.parts = parts
	s := l.snapshot
	l.mu.Unlock()
	l.Configure(s)
}

// inUse is for how long after its last ticket a pool without servers counts as
// pressed.
const inUse = 10 * time.Second

// FreeCapacities returns the digests of the data centre's pools, by model. A pool
// that had no work yet is free. A pool without servers has no slots; it is left
// out unless tickets came lately.
func (l *Local) FreeCapacities() map[string]PoolCapacity {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]PoolCapacity)
	for _, b := range l.snapshot.BackendServers {
		if b.Spec.DataCentre != l.opts.DataCentre || b.Spec.Drain {
			continue
		}
		for _, model := range b.Spec.Models {
			p := out[model]
			p.Free += b.Spec.Slots
			p.Slots += b.Spec.Slots
			p.Lifetime = unusedLifetime
			out[model] = p
		}
	}
	for model, pool := range l.pools {
		p, hasServers := out[model]
		if !hasServers && !pool.usedWithin(inUse) {
			continue
		}
		p.FreeCapacity = pool.digest()
		out[model] = p
	}
	return out
}

// shared reduces the servers' slots to this instance's part.
func shared(cfg *schedcore.Config, parts int) *schedcore.Config {
	if parts <= 1 {
		return cfg
	}
	for i := range cfg.Servers {
		cfg.Servers[i].Slots = max(cfg.Servers[i].Slots/parts, 1)
	}
	return cfg
}

// digest returns the pool's pressure at its last tick.
func (p *pool) digest() schedcore.FreeCapacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure
}

// usedWithin reports whether a ticket came in the last d.
func (p *pool) usedWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastTicket) < d
}
