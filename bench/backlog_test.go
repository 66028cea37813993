package bench

import (
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	backlogServers       = 60
	backlogSlots         = 16
	backlogOrganisations = 10
	// backlogTurnover is the number of requests that end at each tick. The same
	// number of new requests arrives.
	backlogTurnover = 4
)

// backlog is a core with full servers and a constant number of waiting
// requests.
type backlog struct {
	core Scheduler
	in   schedcore.Input
	out  schedcore.Output
	now  time.Duration
	// nextIndex is the index of the next request, and the number of requests so
	// far.
	nextIndex int
	// running holds the grants of the running requests.
	running   []schedcore.Grant
	completed int
	refused   int
}

// newBacklog returns a backlog with the given number of waiting requests. It
// first runs 2000 ticks, so that measurements start in a steady state.
func newBacklog(waiting int) *backlog {
	b := &backlog{core: schedcore.New(schedcore.Options{Seed: 1, MaxQueue: 4 * waiting})}
	b.in.Config = backlogConfig()
	for range waiting + backlogServers*backlogSlots {
		b.addTicket()
	}
	b.tick()
	for range 2000 {
		b.replaceRequests()
	}
	return b
}

// backlogTarget is so long that no request is refused, but every tick still has
// to check the targets.
const backlogTarget = 10 * time.Hour

// backlogConfig has three classes, each in its own tier.
func backlogConfig() *schedcore.Config {
	cfg := &schedcore.Config{Classes: []schedcore.Class{
		{Name: "class-0", Tier: 0},
		{Name: "class-1", Tier: 1, Floor: 0.1},
		{Name: "class-2", Tier: 2, Floor: 0.1},
	}}
	for i := range cfg.Classes {
		cfg.Classes[i].FirstToken = backlogTarget
		cfg.Classes[i].WholeAnswer = backlogTarget
		cfg.Classes[i].MaxWait = backlogTarget
	}
	for i := range backlogOrganisations {
		o := schedcore.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1}
		cfg.Organisations = append(cfg.Organisations, o)
	}
	for i := range backlogServers {
		s := schedcore.Server{Name: fmt.Sprintf("server-%02d", i), Slots: backlogSlots}
		cfg.Servers = append(cfg.Servers, s)
	}
	return cfg
}

var (
	backlogClasses           = [...]string{"class-0", "class-1", "class-2"}
	backlogOrganisationNames = func() (names [backlogOrganisations]string) {
		for i := range names {
			names[i] = fmt.Sprintf("organisation-%d", i)
		}
		return names
	}()
)

func (b *backlog) addTicket() {
	i := b.nextIndex
	b.nextIndex++
	b.in.Tickets = append(b.in.Tickets, schedcore.Ticket{
		ID: newRequestID(i), Class: backlogClasses[i%len(backlogClasses)],
		Organisation: backlogOrganisationNames[i%backlogOrganisations],
		PromptTokens: 500, Prefix: uint64(i%20 + 1), PrefixTokens: 200, Idempotent: true,
		Deadline: backlogTarget,
	})
}

// replaceRequests completes some running requests, adds as many new ones and
// runs one tick.
func (b *backlog) replaceRequests() {
	for range min(backlogTurnover, len(b.running)) {
		g := b.running[0]
		copy(b.running, b.running[1:])
		b.running = b.running[:len(b.running)-1]
		b.in.Completions = append(b.in.Completions, schedcore.Completion{ID: g.ID, Attempt: g.Attempt, PromptTokens: 500, Tokens: 200})
		b.completed++
		b.addTicket()
	}
	b.tick()
}

func (b *backlog) tick() {
	b.now += tickInterval
	b.core.Tick(b.now, &b.in, &b.out)
	b.in.Reset()
	b.running = append(b.running, b.out.Grants...)
	b.refused += len(b.out.Refusals)
}

// BenchmarkTick measures one tick in which requests complete and arrive, with
// different numbers of waiting requests.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			bl := newBacklog(waiting)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				bl.replaceRequests()
			}
		})
	}
}

// TestBacklogSize checks that a backlog as BenchmarkTick uses it has at least the
// stated number of waiting requests, and that no request was refused.
func TestBacklogSize(t *testing.T) {
	const waiting = 1000
	b := newBacklog(waiting)
	if got := b.nextIndex - b.completed - len(b.running); got < waiting {
		t.Errorf("%d requests wait, want at least %d", got, waiting)
	}
	if b.refused > 0 {
		t.Errorf("%d requests were refused, want none", b.refused)
	}
}

func TestTickAllocatesNothingInSteadyState(t *testing.T) {
	b := newBacklog(1000)
	if got := testing.AllocsPerRun(500, b.replaceRequests); got != 0 {
		t.Errorf("%v allocations per tick, want 0", got)
	}
}
