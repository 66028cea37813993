package decision

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// preemptAhead is the slack under which a request preempts, or that many
	// ticks if they are longer.
	preemptAhead      = 20 * time.Millisecond
	preemptAheadTicks = 2
)

// preempt is the system that stops running requests of lower tiers for those
// that would otherwise start too late.
func (c *Core) preempt(out *Output) {
	ahead := max(preemptAhead, preemptAheadTicks*(c.now-c.prev))
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.Tier > c.shed {
			return
		}
		for cl.waiting > 0 {
			head, _ := c.earliest(cl)
			if head.startBy-c.now > ahead || !c.preemptFor(head.row, out) {
				break
			}
		}
	}
}

// preemptFor gives a victim's slot to the waiting row.
func (c *Core) preemptFor(i int32, out *Output) bool {
	victim := c.victim(&c.classes[c.rows[i].class])
	if victim == none {
		return false
	}
	v := &c.rows[victim]
	s := v.server
	out.Preemptions = append(out.Preemptions, Preemption{
		ID:      v.ticket.ID,
		Server:  c.servers[s].Name,
		Attempt: v.attempt,
	})
	c.stats.Preemptions++
	c.shed = min(c.shed, c.classes[v.class].Tier)
	c.stop(victim)
	v.started = true
	c.settle(v, v.uncached)
	c.requeue(victim, outcome.Preempted)
	r := &c.rows[i]
	r.uncached = r.ticket.PromptTokens + r.delivered
	c.grant(i, s, false, out)
	return true
}

// victim returns the running row to preempt for a class: idempotent, of the
// lowest tier, beyond its class's floor, the least computed.
func (c *Core) victim(high *class) int32 {
	best := none
	for _, i := range c.running {
		r := &c.rows[i]
		low := &c.classes[r.class]
		if !r.ticket.Idempotent || r.granted == c.now || c.takeable(high, low) == 0 {
			continue
		}
		if !c.servers[r.server].takesWork() {
			continue
		}
		if best == none || c.cheaper(i, best) {
			best = i
		}
	}
	return best
}

// cheaper orders victims.
func (c *Core) cheaper(a, b int32) bool {
	x, y := &c.rows[a], &c.rows[b]
	if tx, ty := c.classes[x.class].Tier, c.classes[y.class].Tier; tx != ty {
		return tx > ty
	}
	return computed(x) < computed(y)
}

// computed is the work that a preemption may throw away, in tokens.
func computed(r *request) int {
	if !r.first {
		return 0
	}
	return r.uncached + r.delivered
}
