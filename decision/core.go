package decision

import (
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// Core decides for one pool. It is not safe for concurrent use.
type Core struct {
	opts    Options
	servers []serverRow
	waiting []Ticket
	running map[RequestID]runningRow
}

type serverRow struct {
	Server
	inFlight int
}

type runningRow struct {
	ticket Ticket
	server string
}

// New returns a core without servers.
func New(opts Options) *Core {
	return &Core{opts: opts, running: make(map[RequestID]runningRow)}
}

// Tick applies the events of in and fills out with the decisions. Now is the
// time since any fixed moment and does not go back.
func (c *Core) Tick(now time.Duration, in *Input, out *Output) {
	out.Reset()
	if in.Config != nil {
		c.configure(in.Config)
	}
	for _, e := range in.Ends {
		c.release(e.ID)
	}
	for _, f := range in.Failures {
		c.fail(f, out)
	}
	for _, w := range in.Withdrawals {
		c.withdraw(w.ID)
	}
	c.waiting = append(c.waiting, in.Tickets...)
	c.place(out)
}

func (c *Core) configure(cfg *Config) {
	inFlight := make(map[string]int, len(c.servers))
	for _, s := range c.servers {
		inFlight[s.Name] = s.inFlight
	}
	c.servers = c.servers[:0]
	for _, s := range cfg.Servers {
		c.servers = append(c.servers, serverRow{Server: s, inFlight: inFlight[s.Name]})
	}
}

func (c *Core) release(id RequestID) {
	row, ok := c.running[id]
	if !ok {
		return
	}
	delete(c.running, id)
	for i := range c.servers {
		if c.servers[i].Name == row.server {
			c.servers[i].inFlight--
		}
	}
}

func (c *Core) fail(f Failure, out *Output) {
	c.release(f.ID)
	final := outcome.Unknown
	if f.NotStarted {
		final = outcome.Refused
	}
	out.Refusals = append(out.Refusals, Refusal{ID: f.ID, Final: final, Reason: f.Reason, RetryAfter: time.Second})
}

func (c *Core) withdraw(id RequestID) {
	c.release(id)
	for i := range c.waiting {
		if c.waiting[i].ID == id {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

func (c *Core) place(out *Output) {
	kept := c.waiting[:0]
	for _, t := range c.waiting {
		best := c.freest()
		if best < 0 {
			kept = append(kept, t)
			continue
		}
		c.servers[best].inFlight++
		name := c.servers[best].Name
		c.running[t.ID] = runningRow{ticket: t, server: name}
		out.Grants = append(out.Grants, Grant{ID: t.ID, Server: name, Attempt: t.Attempt + 1})
	}
	c.waiting = kept
}

func (c *Core) freest() int {
	best := -1
	for i, s := range c.servers {
		if s.Drain || s.inFlight >= s.Slots {
			continue
		}
		if best < 0 || s.inFlight < c.servers[best].inFlight {
			best = i
		}
	}
	return best
}
