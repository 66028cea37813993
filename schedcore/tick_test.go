package schedcore

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"
)

// steadyLoad keeps a pool of 60 servers full and a given number of tickets
// waiting. In each tick some requests complete and as many tickets arrive.
type steadyLoad struct {
	core   *Core
	now    time.Duration
	in     Input
	out    Output
	nextID uint64
	// grants holds the grants of running and completed requests. The requests of
	// the grants before index firstRunning have completed.
	grants       []Grant
	firstRunning int
}

const (
	loadServers  = 60
	loadSlots    = 16 // slots of each server
	loadTurnover = 16 // requests that complete in each tick
)

func newSteadyLoad(waiting int) *steadyLoad {
	l := &steadyLoad{core: New(Options{Seed: 1}), grants: make([]Grant, 0, 4*loadServers*loadSlots)}
	cfg := &Config{}
	for tier := range 4 {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint("class", tier), Tier: tier, MaxWait: time.Hour, Floor: 0.05})
	}
	for i := range loadServers {
		cfg.Servers = append(cfg.Servers, Server{Name: fmt.Sprint("server", i), Slots: loadSlots})
	}
	l.in.Config = cfg
	l.addTickets(waiting + loadServers*loadSlots)
	l.tick()
	for range 2000 {
		l.step()
	}
	return l
}

var (
	loadClasses       = [...]string{"class0", "class1", "class2", "class3"}
	loadOrganisations = [...]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
)

func (l *steadyLoad) addTickets(n int) {
	for range n {
		l.nextID++
		t := Ticket{
			Class:        loadClasses[l.nextID%4],
			Organisation: loadOrganisations[l.nextID/4%10],
			PromptTokens: int(l.nextID % 2000),
			Prefix:       l.nextID%500 + 1,
			PrefixTokens: 300,
			Idempotent:   true,
		}
		binary.BigEndian.PutUint64(t.ID[:], l.nextID)
		l.in.Tickets = append(l.in.Tickets, t)
	}
}

func (l *steadyLoad) tick() {
	l.now += 10 * time.Millisecond
	l.core.Tick(l.now, &l.in, &l.out)
	l.in.Reset()
	if l.firstRunning+len(l.grants[l.firstRunning:])+len(l.out.Grants) > cap(l.grants) {
		n := copy(l.grants, l.grants[l.firstRunning:])
		l.grants, l.firstRunning = l.grants[:n], 0
	}
	l.grants = append(l.grants, l.out.Grants...)
}

// step completes the requests that were granted first, adds the same number of
// tickets and runs a tick.
func (l *steadyLoad) step() {
	for range min(loadTurnover, len(l.grants)-l.firstRunning) {
		g := l.grants[l.firstRunning]
		l.firstRunning++
		l.in.FirstTokens = append(l.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: 100 * time.Millisecond})
		l.in.Progress = append(l.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 16, Gap: 30 * time.Millisecond})
		l.in.Completions = append(l.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 500, Tokens: 100})
	}
	l.addTickets(loadTurnover)
	l.tick()
}

func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := newSteadyLoad(waiting)
			b.ReportAllocs()
			for b.Loop() {
				l.step()
			}
			b.ReportMetric(float64(l.core.waiting), "waiting")
		})
	}
}

func TestTickDoesNotAllocate(t *testing.T) {
	l := newSteadyLoad(10000)
	if got := testing.AllocsPerRun(500, l.step); got != 0 {
		t.Errorf("%v allocations per tick in the steady state, want none", got)
	}
	if l.core.waiting < 9000 {
		t.Errorf("%d tickets wait, want at least 9000 to keep the load steady", l.core.waiting)
	}
}

// The test queues n tickets at once, serves all of them, and divides the number of
// heap moves by n log n. For larger n the quotient must stay near the quotient for
// 100 tickets.
func TestQueueWorkGrowsNoFasterThanNLogN(t *testing.T) {
	movesPerNLogN := func(n int) float64 {
		l := &steadyLoad{core: New(Options{Seed: 1}), grants: make([]Grant, 0, 2*n)}
		l.in.Config = &Config{
			Classes: []Class{{Name: "class0", MaxWait: time.Hour}},
			Servers: []Server{{Name: "server", Slots: 16}},
		}
		l.addTickets(n)
		for i := range l.in.Tickets {
			l.in.Tickets[i].Class, l.in.Tickets[i].Organisation = "class0", "a"
		}
		l.tick()
		for !l.core.Idle() {
			for _, g := range l.grants[l.firstRunning:] {
				l.in.Completions = append(l.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, Tokens: 1})
			}
			l.firstRunning = len(l.grants)
			l.tick()
		}
		if got := l.core.Stats().Completed; got != uint64(n) {
			t.Fatalf("%d of %d requests completed, want all", got, n)
		}
		return float64(l.core.Stats().HeapMoves) / (float64(n) * math.Log2(float64(n)))
	}
	base := movesPerNLogN(100)
	if base == 0 {
		t.Fatal("no heap moves were counted for 100 tickets, want at least one")
	}
	for _, n := range []int{1000, 10000} {
		if got := movesPerNLogN(n); got > 1.2*base {
			t.Errorf("%d tickets: %.2f heap moves per n log n, want at most 1.2 times the %.2f of 100 tickets", n, got, base)
		}
	}
}
