package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// remotePool is the last free-capacity report of another data centre.
type remotePool struct {
	dataCentre string
	freeSlots  int
	validUntil time.Duration
}

// maxFreeCapacityLifetime bounds how long a free-capacity report may be used.
const maxFreeCapacityLifetime = 10 * time.Second

func (c *Core) applyFreeCapacity(p *FreeCapacity) {
	i := c.remotePoolIndex(p.DataCentre)
	c.remotePools[i].freeSlots = max(p.Free, 0)
	c.remotePools[i].validUntil = c.now + min(max(p.Lifetime, 0), maxFreeCapacityLifetime)
}

func (c *Core) remotePoolIndex(name string) int {
	for i := range c.remotePools {
		if c.remotePools[i].dataCentre == name {
			return i
		}
	}
	c.remotePools = append(c.remotePools, remotePool{dataCentre: name})
	return len(c.remotePools) - 1
}

// refer refers a request to the data centre with the most free slots. The request
// must be in no queue. refer returns false if no data centre has reported free
// slots, or if the request was referred or granted before.
func (c *Core) refer(i int32, out *Output) bool {
	r := &c.requests[i]
	if r.ticket.Referred || r.mayHaveStarted || r.attempt > 0 {
		return false
	}
	best := -1
	for k := range c.remotePools {
		p := &c.remotePools[k]
		if p.freeSlots > 0 && p.validUntil > c.now && (best < 0 || p.freeSlots > c.remotePools[best].freeSlots) {
			best = k
		}
	}
	if best < 0 {
		return false
	}
	c.remotePools[best].freeSlots--
	out.Referrals = append(out.Referrals, Referral{ID: r.ticket.ID, DataCentre: c.remotePools[best].dataCentre})
	c.stats.Referrals++
	c.explainReason(r, outcome.NoFreeCapacity)
	c.rememberEnded(r.ticket.ID, markReferred)
	c.freeRequest(i)
	return true
}

// freeCapacityLifetime is the lifetime of this pool's free-capacity reports.
// Other data centres do not use a report for longer.
const freeCapacityLifetime = time.Second

// Capacity returns the sum of the limits of the servers that accept work.
func (c *Core) Capacity() int { return c.capacity }

// FreeCapacity returns the free-capacity report for other data centres. If a
// request was refused for capacity or preempted at the last tick, the report says
// that no slot is free. The caller must set DataCentre in the report.
func (c *Core) FreeCapacity() FreeCapacity {
	free := c.capacity - c.busy - c.waiting
	if c.shedTier != noTier {
		free = 0
	}
	return FreeCapacity{Free: max(free, 0), Lifetime: freeCapacityLifetime}
}
