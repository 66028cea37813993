package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// remotePool is the last digest of another data centre.
type remotePool struct {
	dataCentre string
	free       int
	until      time.Duration
}

// maxLifetime bounds for how long a digest may be used.
const maxLifetime = 10 * time.Second

func (c *Core) applyPressure(p *FreeCapacity) {
	i := c.remotePool(p.DataCentre)
	c.remote[i].free = max(p.Free, 0)
	c.remote[i].until = c.now + min(max(p.Lifetime, 0), maxLifetime)
}

func (c *Core) remotePool(name string) int {
	for i := range c.remote {
		if c.remote[i].dataCentre == name {
			return i
		}
	}
	c.remote = append(c.remote, remotePool{dataCentre: name})
	return len(c.remote) - 1
}

// refer sends a row that is in no list to the data centre with the most free
// slots. It reports false if there is none, or if the request was referred or
// granted before.
func (c *Core) refer(i int32, out *Output) bool {
	r := &c.rows[i]
	if r.ticket.Referred || r.started || r.attempt > 0 {
		return false
	}
	best := -1
	for k := range c.remote {
		p := &c.remote[k]
		if p.free > 0 && p.until > c.now && (best < 0 || p.free > c.remote[best].free) {
			best = k
		}
	}
	if best < 0 {
		return false
	}
	c.remote[best].free--
	out.Referrals = append(out.Referrals, Referral{ID: r.ticket.ID, DataCentre: c.remote[best].dataCentre})
	c.stats.Referrals++
	c.explainRefusal(r, outcome.PoolPressure)
	c.mark(r.ticket.ID, markReferred)
	c.freeRow(i)
	return true
}

// pressureLifetime is for how long this pool's own digest may be used.
const pressureLifetime = time.Second

// Capacity returns the sum of the limits of the servers that take work.
func (c *Core) Capacity() int { return c.capacity }

// FreeCapacity returns the digest for other data centres. The caller fills in the
// name of its own.
func (c *Core) FreeCapacity() FreeCapacity {
	free := c.capacity - c.busy - c.waiting
	if c.shed != noTier {
		free = 0
	}
	return FreeCapacity{Free: max(free, 0), Lifetime: pressureLifetime}
}
