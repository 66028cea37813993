package schedcore

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// preemptAhead is the slack under which a request preempts, or that many
	// ticks if they are longer, up to maxPreemptAhead.
	preemptAhead      = 20 * time.Millisecond
	preemptAheadTicks = 2
	maxPreemptAhead   = 100 * time.Millisecond
	// maxThrownAway is the most work, in tokens, that one preemption throws away:
	// beyond it the request that would start late costs less.
	maxThrownAway = 1000
)

// preempt is the system that stops running requests of lower tiers for those
// that would otherwise start too late. It runs after admission, so that tiers
// below one that was refused at this tick get nothing, and leaves a victim for
// each request that waits in the tiers above.
func (c *Core) preempt(out *Output) {
	ahead := c.ahead()
	above, same, tier := 0, 0, noTier
	for _, k := range c.byTier {
		cl := &c.classes[k]
		if cl.Tier > c.shed {
			return
		}
		if cl.Tier != tier {
			above, same, tier = above+same, 0, cl.Tier
		}
		for cl.waiting > 0 {
			head, _ := c.earliest(cl)
			if head.startBy-c.now > ahead || c.victimsFor(cl) <= above {
				break
			}
			victim := c.victim(cl)
			if victim == none {
				break
			}
			c.preemptFor(head.row, victim, out)
		}
		same += cl.waiting
	}
}

// ahead is the slack under which a request is at its latest start.
func (c *Core) ahead() time.Duration {
	ticks := min(preemptAheadTicks*(c.now-c.prev), maxPreemptAhead)
	return max(preemptAhead, ticks)
}

// preemptFor gives a victim's slot to the waiting row.
func (c *Core) preemptFor(i, victim int32, out *Output) {
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
	c.explainRefusal(v, outcome.Preempted)
	c.requeue(victim, outcome.Preempted)
	c.grantOn(i, s, out)
}

// victim returns the running row to preempt for a class: idempotent, of the
// lowest tier, beyond its class's floor, the least work thrown away, and not too
// much of it.
func (c *Core) victim(high *class) int32 {
	best := none
	for _, i := range c.running {
		r := &c.rows[i]
		low := &c.classes[r.class]
		if !r.ticket.Idempotent || r.granted == c.now || c.takeable(high, low) == 0 {
			continue
		}
		if c.thrownAway(r) > maxThrownAway {
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
	return c.thrownAway(x) < c.thrownAway(y)
}

// thrownAway is the work that a preemption throws away, in tokens: what was
// prefilled so far, or what has to be prefilled again.
func (c *Core) thrownAway(r *request) int {
	if r.first {
		return max(r.ticket.PromptTokens-r.ticket.PrefixTokens, 0) + r.delivered
	}
	expected := max(c.pool.first.at(float64(r.uncached+r.ahead)), minWork)
	done := min(seconds(c.now-r.granted)/expected, 1)
	return int(done * float64(r.uncached))
}

// minWork keeps the expected time to the first token above zero, in seconds.
const minWork = 0.001
