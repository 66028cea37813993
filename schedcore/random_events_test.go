package schedcore

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// fatalTester is the part of testing.T and rapid.T that eventDriver uses.
type fatalTester interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// eventDriver runs a core on events that a sequence of bytes selects. One
// byte selects an event, a fault or a tick. Further bytes select its details.
type eventDriver struct {
	t                fatalTester
	core             *Core
	auditor          *Auditor
	data             []byte
	now              time.Duration
	in               Input
	out              Output
	config           Config
	tickets          []Ticket
	firstSeen        []time.Duration          // time of the first event for each ticket's request
	earlyWithdrawals map[uint64]time.Duration // times of withdrawals that precede their tickets, by request number
	grants           []Grant                  // all grants so far, to create late events about ended attempts too
	nextID           uint64
}

func newEventDriver(t fatalTester, data []byte) *eventDriver {
	opts := Options{Seed: 1, MaxQueue: 8, MaxExplainRecords: 4, RunningTimeout: time.Minute}
	d := &eventDriver{t: t, core: New(opts), auditor: NewAuditor(opts), data: data, earlyWithdrawals: make(map[uint64]time.Duration)}
	d.config = Config{
		Classes: []Class{
			{Name: "urgent", Tier: 0, FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond},
			{Name: "normal", Tier: 1, FirstToken: 5 * time.Second, MaxWait: 10 * time.Second, Floor: 0.2},
			{Name: "batch", Tier: 2, MaxWait: 30 * time.Second, Floor: 0.1},
		},
		Organisations: []Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
		Servers:       []Server{{Name: "s0", Slots: 3}, {Name: "s1", Slots: 2}, {Name: "s2", Slots: 1}},
	}
	d.in.Config = d.configCopy()
	return d
}

func (d *eventDriver) configCopy() *Config {
	cfg := d.config
	cfg.Servers = append([]Server(nil), d.config.Servers...)
	return &cfg
}

// byte removes and returns the next byte of the data. If no byte is left, it
// returns 0.
func (d *eventDriver) byte() int {
	if len(d.data) == 0 {
		return 0
	}
	b := d.data[0]
	d.data = d.data[1:]
	return int(b)
}

func (d *eventDriver) run() {
	for len(d.data) > 0 {
		d.step()
	}
	d.finishAll()
}

func (d *eventDriver) step() {
	switch d.byte() % 16 {
	case 0, 1, 2, 3:
		d.newTicket()
	case 4:
		d.duplicateTicket()
	case 5, 6:
		d.complete()
	case 7:
		d.fail()
	case 8:
		d.withdraw()
	case 9:
		d.firstToken()
	case 10:
		d.progress()
	case 11:
		d.loadReport()
	case 12:
		d.reconfigure()
	default:
		d.tick(time.Duration(d.byte()%64) * 50 * time.Millisecond)
	}
}

func (d *eventDriver) newTicket() {
	d.nextID++
	names := []string{"urgent", "normal", "batch", "urgent", "unknown"}
	servers := []string{"", "", "", "", "", "", "s0", "s9"}
	b := d.byte()
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
	binary.BigEndian.PutUint64(t.ID[:], d.nextID)
	d.tickets = append(d.tickets, t)
	seen := d.now
	if at, ok := d.earlyWithdrawals[d.nextID]; ok {
		seen = at
	}
	d.firstSeen = append(d.firstSeen, seen)
	d.in.Tickets = append(d.in.Tickets, t)
}

func (d *eventDriver) duplicateTicket() {
	if len(d.tickets) == 0 {
		return
	}
	k := len(d.tickets) - 1 - d.byte()%len(d.tickets)
	// After endedLifetime the core may have forgotten the request. It would then
	// take the ticket for a new request.
	if d.now-d.firstSeen[k] >= endedLifetime {
		return
	}
	t := d.tickets[k]
	switch d.byte() % 4 {
	case 0:
		t.Referred = true
	case 1:
		t.Server = "s1"
		t.Attempt++
	}
	d.in.Tickets = append(d.in.Tickets, t)
}

// pickGrant uses the next byte to pick one of the grants so far.
func (d *eventDriver) pickGrant() (Grant, bool) {
	if len(d.grants) == 0 {
		return Grant{}, false
	}
	return d.grants[len(d.grants)-1-d.byte()%len(d.grants)], true
}

func (d *eventDriver) complete() {
	if g, ok := d.pickGrant(); ok {
		d.in.Completions = append(d.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 10, Tokens: d.byte()})
	}
}

func (d *eventDriver) fail() {
	g, ok := d.pickGrant()
	if !ok {
		return
	}
	b := d.byte()
	reasons := []outcome.Reason{outcome.StreamCut, outcome.ServerRefused, outcome.ServerUnreachable, outcome.Evicted, 255}
	d.in.Failures = append(d.in.Failures, Failure{
		ID: g.ID, Attempt: g.Attempt, Reason: reasons[b%len(reasons)], NotStarted: b&1 == 0, Delivered: b / 16,
	})
}

func (d *eventDriver) withdraw() {
	if len(d.tickets) == 0 {
		return
	}
	t := d.tickets[len(d.tickets)-1-d.byte()%len(d.tickets)]
	if d.byte()%8 == 0 {
		binary.BigEndian.PutUint64(t.ID[:], d.nextID+1) // withdrawal before its ticket
		if _, ok := d.earlyWithdrawals[d.nextID+1]; !ok {
			d.earlyWithdrawals[d.nextID+1] = d.now
		}
	}
	d.in.Withdrawals = append(d.in.Withdrawals, Withdrawal{ID: t.ID})
}

func (d *eventDriver) firstToken() {
	if g, ok := d.pickGrant(); ok {
		after := time.Duration(d.byte()) * 10 * time.Millisecond
		d.in.FirstTokens = append(d.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: after})
	}
}

func (d *eventDriver) progress() {
	if g, ok := d.pickGrant(); ok {
		b := d.byte()
		d.in.Progress = append(d.in.Progress, Progress{
			ID: g.ID, Attempt: g.Attempt, Tokens: b % 32, Gap: time.Duration(b) * time.Millisecond,
		})
	}
}

func (d *eventDriver) loadReport() {
	b := d.byte()
	name := d.config.Servers[b%len(d.config.Servers)].Name
	d.in.LoadReports = append(d.in.LoadReports, LoadReport{Server: name, Running: b % 8, Waiting: b / 64, Age: time.Duration(b) * 10 * time.Millisecond})
	d.in.CacheHints = append(d.in.CacheHints, CacheHint{Server: name, Prefix: uint64(b % 5), Tokens: b, Evicted: b&1 == 0})
	d.in.FreeCapacities = append(d.in.FreeCapacities, FreeCapacity{DataCentre: "other", Free: b / 128, Lifetime: time.Second})
}

func (d *eventDriver) reconfigure() {
	b := d.byte()
	s := &d.config.Servers[b%len(d.config.Servers)]
	switch b / 4 % 5 {
	case 3:
		d.config.Servers = append(d.config.Servers, Server{Name: fmt.Sprint("new", b), Slots: 2})
	case 4:
		if n := len(d.config.Servers); n > 1 {
			d.config.Servers = d.config.Servers[:n-1]
		}
	case 0:
		s.Draining = !s.Draining
	case 1:
		s.Slots = 1 + b%4
	case 2:
		weights := []float64{0, 1, -1, 1e-300, math.NaN(), math.Inf(1)}
		d.config.Organisations = []Organisation{{Name: "a", Weight: weights[b%6]}, {Name: "b", Weight: weights[b/6%6]}}
		d.config.Classes[b%3].Floor = []float64{0, 0.1, 0.5, 1, 2, -1, math.NaN(), math.Inf(1)}[b%8]
	}
	d.in.Config = d.configCopy()
}

func (d *eventDriver) tick(dt time.Duration) {
	d.t.Helper()
	d.now += dt
	d.core.Tick(d.now, &d.in, &d.out)
	for _, v := range d.auditor.Check(d.now, &d.in, &d.out, d.core.Capacity()) {
		d.t.Fatal(v)
	}
	d.in.Reset()
	d.grants = append(d.grants, d.out.Grants...)
	d.checkTables()
}

// checkTables compares the core's counters with its table of requests.
func (d *eventDriver) checkTables() {
	d.t.Helper()
	inFlight := make([]int, len(d.core.servers))
	waiting, running := 0, 0
	for i := range d.core.requests {
		switch r := &d.core.requests[i]; r.state {
		case stateWaiting:
			waiting++
		case stateRunning:
			running++
			inFlight[r.server]++
		}
	}
	if waiting != d.core.waiting || running != len(d.core.running) {
		d.t.Fatalf("the request table has %d waiting and %d running requests, the core counts %d and %d; want equal numbers", waiting, running, d.core.waiting, len(d.core.running))
	}
	for i, n := range inFlight {
		if s := &d.core.servers[i]; s.inFlight != n || s.pendingPromptTokens < 0 {
			d.t.Fatalf("server %s: %d running requests in the table, inFlight is %d, pendingPromptTokens is %d; want equal numbers and at least 0 tokens", s.Name, n, s.inFlight, s.pendingPromptTokens)
		}
	}
}

// finishAll lets all requests complete or expire, and checks that each request
// has ended.
func (d *eventDriver) finishAll() {
	d.t.Helper()
	for range 40 {
		d.tick(10 * time.Second)
	}
	if !d.core.Idle() {
		d.t.Fatalf("%d requests wait and %d run after all time limits, want none", d.core.waiting, len(d.core.running))
	}
	for id := range d.auditor.open {
		d.t.Fatalf("request %x is still open after all time limits, want it ended", id)
	}
}
