package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// idleCapacityLifetime is how long the reported free capacity of a pool that has
// had no work yet is valid.
const idleCapacityLifetime = time.Second

// SetSlotDivisor divides each server's slots by the given number, leaving at
// least one. It takes effect at each pool's next tick.
func (l *Local) SetSlotDivisor(slotDivisor int) {
	l.mu.Lock()
	if slotDivisor == l.slotDivisor {
		l.mu.Unlock()
		return
	}
	l.slotDivisor = slotDivisor
	s := l.snapshot
	l.mu.Unlock()
	l.Configure(s)
}

// recentTicketWindow is how long after its last ticket a pool without servers
// still counts as short of capacity.
const recentTicketWindow = 10 * time.Second

// FreeCapacities returns the free capacity of each of the data centre's pools,
// by model. In a pool that has had no work yet, all slots count as free. A pool
// without servers has no slots and is left out, unless a ticket arrived in the
// last recentTicketWindow.
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
			p.Lifetime = idleCapacityLifetime
			out[model] = p
		}
	}
	for model, pool := range l.pools {
		p, hasServers := out[model]
		if !hasServers && !pool.hadTicketWithin(recentTicketWindow) {
			continue
		}
		p.FreeCapacity = pool.lastFreeCapacity()
		out[model] = p
	}
	return out
}

// divideSlots divides the slots of each server in cfg, leaving at least one.
func divideSlots(cfg *schedcore.Config, slotDivisor int) *schedcore.Config {
	if slotDivisor <= 1 {
		return cfg
	}
	for i := range cfg.Servers {
		cfg.Servers[i].Slots = max(cfg.Servers[i].Slots/slotDivisor, 1)
	}
	return cfg
}

// lastFreeCapacity returns the pool's free capacity as of its last tick.
func (p *pool) lastFreeCapacity() schedcore.FreeCapacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freeCapacity
}

// hadTicketWithin reports whether a ticket arrived in the last d.
func (p *pool) hadTicketWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastTicket) < d
}
