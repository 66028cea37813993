package schedcore

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// fataler is what testing.T and rapid.T share.
type fataler interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// chaos drives a core by bytes: each byte picks an event, a fault or a tick.
type chaos struct {
	t       fataler
	core    *Core
	auditor *Auditor
	data    []byte
	now     time.Duration
	in      Input
	out     Output
	config  Config
	tickets []Ticket
	issued  []time.Duration          // when each ticket was first heard of
	early   map[uint64]time.Duration // when tickets to come were withdrawn
	grants  []Grant                  // all grants ever made, so that late events name ended ones
	nextID  uint64
}

func newChaos(t fataler, data []byte) *chaos {
	opts := Options{Seed: 1, MaxQueue: 8, MaxExplainRecords: 4, RunningTimeout: time.Minute}
	c := &chaos{t: t, core: New(opts), auditor: NewAuditor(opts), data: data, early: make(map[uint64]time.Duration)}
	c.config = Config{
		Classes: []Class{
			{Name: "urgent", Tier: 0, FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond},
			{Name: "normal", Tier: 1, FirstToken: 5 * time.Second, MaxWait: 10 * time.Second, Floor: 0.2},
			{Name: "batch", Tier: 2, MaxWait: 30 * time.Second, Floor: 0.1},
		},
		Organisations: []Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
		Servers:       []Server{{Name: "s0", Slots: 3}, {Name: "s1", Slots: 2}, {Name: "s2", Slots: 1}},
	}
	c.in.Config = c.configCopy()
	return c
}

func (c *chaos) configCopy() *Config {
	cfg := c.config
	cfg.Servers = append([]Server(nil), c.config.Servers...)
	return &cfg
}

func (c *chaos) byte() int {
	if len(c.data) == 0 {
		return 0
	}
	b := c.data[0]
	c.data = c.data[1:]
	return int(b)
}

func (c *chaos) run() {
	for len(c.data) > 0 {
		c.step()
	}
	c.drain()
}

func (c *chaos) step() {
	switch c.byte() % 16 {
	case 0, 1, 2, 3:
		c.newTicket()
	case 4:
		c.repeatTicket()
	case 5, 6:
		c.end()
	case 7:
		c.failure()
	case 8:
		c.withdraw()
	case 9:
		c.firstToken()
	case 10:
		c.progress()
	case 11:
		c.report()
	case 12:
		c.reconfigure()
	default:
		c.tick(time.Duration(c.byte()%64) * 50 * time.Millisecond)
	}
}

func (c *chaos) newTicket() {
	c.nextID++
	names := []string{"urgent", "normal", "batch", "urgent", "unknown"}
	servers := []string{"", "", "", "", "", "", "s0", "s9"}
	b := c.byte()
	t := Ticket{
		Waited:       []time.Duration{0, 0, 0, time.Second, -time.Second, farFuture, 0, 0}[b/8%8],
		Class:        names[b%len(names)],
		Organisation: []string{"a", "b", "c"}[b%3],
		Idempotent:   b%4 != 0,
		Deadline:     []time.Duration{0, 0, 2 * time.Second, 20 * time.Second}[b/4%4],
		PromptTokens: b * 10,
		Prefix:       uint64(b % 5),
		PrefixTokens: b,
		Server:       servers[b/16%len(servers)],
	}
	if t.Server != "" {
		t.Attempt = 1
	}
	binary.BigEndian.PutUint64(t.ID[:], c.nextID)
	c.tickets = append(c.tickets, t)
	heard := c.now
	if at, ok := c.early[c.nextID]; ok {
		heard = at
	}
	c.issued = append(c.issued, heard)
	c.in.Tickets = append(c.in.Tickets, t)
}

func (c *chaos) repeatTicket() {
	if len(c.tickets) == 0 {
		return
	}
	k := len(c.tickets) - 1 - c.byte()%len(c.tickets)
	if c.now-c.issued[k] >= endedLife {
		return
	}
	t := c.tickets[k]
	switch c.byte() % 4 {
	case 0:
		t.Referred = true
	case 1:
		t.Server = "s1"
		t.Attempt++
	}
	c.in.Tickets = append(c.in.Tickets, t)
}

// attempt picks a grant, often a recent one.
func (c *chaos) attempt() (Grant, bool) {
	if len(c.grants) == 0 {
		return Grant{}, false
	}
	return c.grants[len(c.grants)-1-c.byte()%len(c.grants)], true
}

func (c *chaos) end() {
	if g, ok := c.attempt(); ok {
		c.in.Completions = append(c.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: c.byte()})
	}
}

func (c *chaos) failure() {
	g, ok := c.attempt()
	if !ok {
		return
	}
	b := c.byte()
	reasons := []outcome.Reason{outcome.StreamCut, outcome.ServerRefused, outcome.ServerUnreachable, outcome.Evicted, 255}
	c.in.Failures = append(c.in.Failures, Failure{
		ID: g.ID, Attempt: g.Attempt, Reason: reasons[b%len(reasons)], NotStarted: b&1 == 0, Delivered: b / 16,
	})
}

func (c *chaos) withdraw() {
	if len(c.tickets) == 0 {
		return
	}
	t := c.tickets[len(c.tickets)-1-c.byte()%len(c.tickets)]
	if c.byte()%8 == 0 {
		binary.BigEndian.PutUint64(t.ID[:], c.nextID+1) // before its ticket
		if _, ok := c.early[c.nextID+1]; !ok {
			c.early[c.nextID+1] = c.now
		}
	}
	c.in.Withdrawals = append(c.in.Withdrawals, Withdrawal{ID: t.ID})
}

func (c *chaos) firstToken() {
	if g, ok := c.attempt(); ok {
		after := time.Duration(c.byte()) * 10 * time.Millisecond
		c.in.FirstTokens = append(c.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: after})
	}
}

func (c *chaos) progress() {
	if g, ok := c.attempt(); ok {
		b := c.byte()
		c.in.Progress = append(c.in.Progress, Progress{
			ID: g.ID, Attempt: g.Attempt, Tokens: b % 32, Gap: time.Duration(b) * time.Millisecond,
		})
	}
}

func (c *chaos) report() {
	b := c.byte()
	name := c.config.Servers[b%len(c.config.Servers)].Name
	c.in.LoadReports = append(c.in.LoadReports, LoadReport{Server: name, Running: b % 8, Waiting: b / 64, Age: time.Duration(b) * 10 * time.Millisecond})
	c.in.CacheHints = append(c.in.CacheHints, CacheHint{Server: name, Prefix: uint64(b % 5), Tokens: b, Evicted: b&1 == 0})
	c.in.FreeCapacities = append(c.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: b / 128, Lifetime: time.Second})
}

func (c *chaos) reconfigure() {
	b := c.byte()
	s := &c.config.Servers[b%len(c.config.Servers)]
	switch b / 4 % 5 {
	case 3:
		c.config.Servers = append(c.config.Servers, Server{Name: fmt.Sprint("new", b), Slots: 2})
	case 4:
		if n := len(c.config.Servers); n > 1 {
			c.config.Servers = c.config.Servers[:n-1]
		}
	case 0:
		s.Drain = !s.Drain
	case 1:
		s.Slots = 1 + b%4
	case 2:
		weights := []float64{0, 1, -1, 1e-300, math.NaN(), math.Inf(1)}
		c.config.Organisations = []Organisation{{Name: "a", Weight: weights[b%6]}, {Name: "b", Weight: weights[b/6%6]}}
		c.config.Classes[b%3].Floor = []float64{0, 0.1, 0.5, 1, 2, -1, math.NaN(), math.Inf(1)}[b%8]
	}
	c.in.Config = c.configCopy()
}

func (c *chaos) tick(dt time.Duration) {
	c.t.Helper()
	c.now += dt
	c.core.Tick(c.now, &c.in, &c.out)
	for _, v := range c.auditor.Check(c.now, &c.in, &c.out, c.core.Capacity()) {
		c.t.Fatal(v)
	}
	c.in.Reset()
	c.grants = append(c.grants, c.out.Grants...)
	c.checkTables()
}

// checkTables compares the counters with the rows.
func (c *chaos) checkTables() {
	c.t.Helper()
	inFlight := make([]int, len(c.core.servers))
	waiting, running := 0, 0
	for i := range c.core.rows {
		switch r := &c.core.rows[i]; r.state {
		case stateWaiting:
			waiting++
		case stateRunning:
			running++
			inFlight[r.server]++
		}
	}
	if waiting != c.core.waiting || running != len(c.core.running) {
		c.t.Fatalf("rows: %d wait, %d run; counted %d and %d", waiting, running, c.core.waiting, len(c.core.running))
	}
	for i, n := range inFlight {
		if s := &c.core.servers[i]; s.inFlight != n || s.pending < 0 {
			c.t.Fatalf("server %s: %d in flight, counted %d, %d tokens pending", s.Name, n, s.inFlight, s.pending)
		}
	}
}

// drain lets everything end or expire and requires an answer to each ticket.
func (c *chaos) drain() {
	c.t.Helper()
	for range 40 {
		c.tick(10 * time.Second)
	}
	if !c.core.Idle() {
		c.t.Fatalf("%d wait and %d run after every bound", c.core.waiting, len(c.core.running))
	}
	for id := range c.auditor.live {
		c.t.Fatalf("request %x got no answer", id)
	}
}
