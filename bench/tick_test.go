package bench

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	tickServers       = 60
	tickSlots         = 16
	tickOrganisations = 10
	// tickTurnover is how many requests end and arrive at each tick.
	tickTurnover = 4
)

// backlog holds a core with a constant number of waiting requests before full
// servers.
type backlog struct {
	core    Scheduler
	in      schedcore.Input
	out     schedcore.Output
	now     time.Duration
	next    int
	running []schedcore.Grant
	ended   int
	refused int
}

func newBacklog(waiting int) *backlog {
	b := &backlog{core: schedcore.New(schedcore.Options{Seed: 1, MaxQueue: 4 * waiting})}
	b.in.Config = tickConfig()
	for range waiting + tickServers*tickSlots {
		b.arrive()
	}
	b.tick()
	for range 2000 {
		b.turn()
	}
	return b
}

// tickTarget is so long that nothing is refused, but each tick has to check.
const tickTarget = 10 * time.Hour

// tickConfig has three tiers.
func tickConfig() *schedcore.Config {
	cfg := &schedcore.Config{Classes: []schedcore.Class{
		{Name: "class-0", Tier: 0},
		{Name: "class-1", Tier: 1, Floor: 0.1},
		{Name: "class-2", Tier: 2, Floor: 0.1},
	}}
	for i := range cfg.Classes {
		cfg.Classes[i].FirstToken = tickTarget
		cfg.Classes[i].WholeAnswer = tickTarget
		cfg.Classes[i].MaxWait = tickTarget
	}
	for i := range tickOrganisations {
		o := schedcore.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1}
		cfg.Organisations = append(cfg.Organisations, o)
	}
	for i := range tickServers {
		s := schedcore.Server{Name: fmt.Sprintf("server-%02d", i), Slots: tickSlots}
		cfg.Servers = append(cfg.Servers, s)
	}
	return cfg
}

var (
	tickClasses           = [...]string{"class-0", "class-1", "class-2"}
	tickOrganisationNames = func() (names [tickOrganisations]string) {
		for i := range names {
			names[i] = fmt.Sprintf("organisation-%d", i)
		}
		return names
	}()
)

func (b *backlog) arrive() {
	i := b.next
	b.next++
	b.in.Tickets = append(b.in.Tickets, schedcore.Ticket{
		ID: newID(i), Class: tickClasses[i%len(tickClasses)],
		Organisation: tickOrganisationNames[i%tickOrganisations],
		PromptTokens: 500, Prefix: uint64(i%20 + 1), PrefixTokens: 200, Idempotent: true,
		Deadline: tickTarget,
	})
}

// turn is one tick at which some requests end and as many arrive.
func (b *backlog) turn() {
	for range min(tickTurnover, len(b.running)) {
		g := b.running[0]
		copy(b.running, b.running[1:])
		b.running = b.running[:len(b.running)-1]
		b.in.Completions = append(b.in.Completions, schedcore.Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 500, Tokens: 200})
		b.ended++
		b.arrive()
	}
	b.tick()
}

func (b *backlog) tick() {
	b.now += tickEvery
	b.core.Tick(b.now, &b.in, &b.out)
	b.in.Reset()
	b.running = append(b.running, b.out.Grants...)
	b.refused += len(b.out.Refusals)
}

// BenchmarkTick is one tick with its turnover, by waiting requests.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			l := newBacklog(waiting)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.turn()
			}
		})
	}
}

// TestTickKeepsTheBacklog checks that a tick is measured before at least the
// stated number of waiting requests, and that no request is lost.
func TestTickKeepsTheBacklog(t *testing.T) {
	const waiting = 1000
	b := newBacklog(waiting)
	if got := b.next - b.ended - len(b.running); got < waiting {
		t.Errorf("%d requests wait, want at least %d", got, waiting)
	}
	if b.refused > 0 {
		t.Errorf("%d requests were refused, want none", b.refused)
	}
}

func TestTickAllocatesNothingInSteadyState(t *testing.T) {
	b := newBacklog(1000)
	if got := testing.AllocsPerRun(500, b.turn); got != 0 {
		t.Errorf("%v allocations a tick, want 0", got)
	}
}
