package scheduler

import (
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

// idleCapacityLifetime is the lifetime of a report of free capacity if the pool
// has had no work yet.
const idleCapacityLifetime = time.Second

// SetSlotDivisor divides each server's slots by the given number, but leaves each
// server at least one slot. The division takes effect at each pool's next tick.
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

// recentTicketWindow applies to a pool without servers. For this time after its
// last ticket, the pool counts as short of capacity.
const recentTicketWindow = 10 * time.Second

// FreeCapacities returns the free capacity of each of the data centre's pools,
// by model. In a pool that has had no work yet, all slots count as free. If a pool
// has no servers, it is left out, unless its last ticket arrived within
// recentTicketWindow.
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

// divideSlots divides the slots of each server in cfg by slotDivisor, but leaves
// each server at least one slot.
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

// hadTicketWithin reports whether the last ticket arrived less than the duration
// d ago.
func (p *pool) hadTicketWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastTicket) < d
}
