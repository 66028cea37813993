package schedcore

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"
)

// load keeps a pool of 60 servers full and a given number of tickets waiting:
// each tick some requests end, and as many tickets come.
type load struct {
	core *Core
	now  time.Duration
	in   Input
	out  Output
	next uint64
	// ring holds the running grants, the oldest first.
	ring  []Grant
	first int
}

const (
	loadServers = 60
	loadSlots   = 16
	loadChurn   = 16 // requests that end at each tick
)

func newLoad(waiting int) *load {
	l := &load{core: New(Options{Seed: 1}), ring: make([]Grant, 0, 4*loadServers*loadSlots)}
	cfg := &Config{}
	for tier := range 4 {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint("class", tier), Tier: tier, MaxWait: time.Hour, Floor: 0.05})
	}
	for i := range loadServers {
		cfg.Servers = append(cfg.Servers, Server{Name: fmt.Sprint("server", i), Slots: loadSlots})
	}
	l.in.Config = cfg
	l.arrive(waiting + loadServers*loadSlots)
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

func (l *load) arrive(n int) {
	for range n {
		l.next++
		t := Ticket{
			Class:        loadClasses[l.next%4],
			Organisation: loadOrganisations[l.next/4%10],
			PromptTokens: int(l.next % 2000),
			Prefix:       l.next%500 + 1,
			PrefixTokens: 300,
			Idempotent:   true,
		}
		binary.BigEndian.PutUint64(t.ID[:], l.next)
		l.in.Tickets = append(l.in.Tickets, t)
	}
}

func (l *load) tick() {
	l.now += 10 * time.Millisecond
	l.core.Tick(l.now, &l.in, &l.out)
	l.in.Reset()
	if l.first+len(l.ring[l.first:])+len(l.out.Grants) > cap(l.ring) {
		n := copy(l.ring, l.ring[l.first:])
		l.ring, l.first = l.ring[:n], 0
	}
	l.ring = append(l.ring, l.out.Grants...)
}

// step ends the oldest requests, lets as many arrive and ticks.
func (l *load) step() {
	for range min(loadChurn, len(l.ring)-l.first) {
		g := l.ring[l.first]
		l.first++
		l.in.FirstTokens = append(l.in.FirstTokens, FirstToken{ID: g.ID, Attempt: g.Attempt, After: 100 * time.Millisecond})
		l.in.Progress = append(l.in.Progress, Progress{ID: g.ID, Attempt: g.Attempt, Tokens: 16, Gap: 30 * time.Millisecond})
		l.in.Completions = append(l.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 500, Tokens: 100})
	}
	l.arrive(loadChurn)
	l.tick()
}

func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := newLoad(waiting)
			b.ReportAllocs()
			for b.Loop() {
				l.step()
			}
			b.ReportMetric(float64(l.core.waiting), "waiting")
		})
	}
}

func TestTickDoesNotAllocate(t *testing.T) {
	l := newLoad(10000)
	if got := testing.AllocsPerRun(500, l.step); got != 0 {
		t.Errorf("%v allocations a tick in the steady state", got)
	}
	if l.core.waiting < 9000 {
		t.Errorf("%d tickets wait, want about 10000", l.core.waiting)
	}
}

// TestQueueWorkGrowsNoFasterThanNLogN counts the heap steps of letting n tickets
// in at once, all in one queue, and serving them all.
func TestQueueWorkGrowsNoFasterThanNLogN(t *testing.T) {
	perUnit := func(n int) float64 {
		l := &load{core: New(Options{Seed: 1}), ring: make([]Grant, 0, 2*n)}
		l.in.Config = &Config{
			Classes: []Class{{Name: "class0", MaxWait: time.Hour}},
			Servers: []Server{{Name: "server", Slots: 16}},
		}
		l.arrive(n)
		for i := range l.in.Tickets {
			l.in.Tickets[i].Class, l.in.Tickets[i].Organisation = "class0", "a"
		}
		l.tick()
		for !l.core.Idle() {
			for _, g := range l.ring[l.first:] {
				l.in.Completions = append(l.in.Completions, Completion{ID: g.ID, Attempt: g.Attempt, Tokens: 1})
			}
			l.first = len(l.ring)
			l.tick()
		}
		if got := l.core.Stats().Completed; got != uint64(n) {
			t.Fatalf("%d of %d served", got, n)
		}
		return float64(l.core.Stats().HeapMoves) / (float64(n) * math.Log2(float64(n)))
	}
	small := perUnit(100)
	if small == 0 {
		t.Fatal("no heap steps counted")
	}
	for _, n := range []int{1000, 10000} {
		if got := perUnit(n); got > 1.2*small {
			t.Errorf("%d tickets: %.2f steps over n log n, %.2f for 100", n, got, small)
		}
	}
}
