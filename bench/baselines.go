package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/rendezvous"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// instances is the number of entry instances that choose each alone.
	instances = 7
	// baselineQueue bounds the waiting requests of one instance.
	baselineQueue = 64
	// baselineAttempts bounds the attempts of one idempotent request.
	baselineAttempts = 2
	// baselineRetryAfter is the time to return that the baselines state.
	baselineRetryAfter = time.Second
	// A server is passed over by its prefix if an instance has more requests there
	// than busyFactor times the mean and busySlack more.
	busyFactor = 1.5
	busySlack  = 3
)

// RoundRobin sends each request to the next server at once and queues nothing.
func RoundRobin() Policy {
	return Policy{Name: "round-robin", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).nextServer, false)
	}}
}

// LeastReported has each instance send to the server with the least reported
// load, and queues nothing.
func LeastReported() Policy {
	return Policy{Name: "least-reported", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).leastReported, false)
	}}
}

// PowerOfTwo has each instance draw two servers, take the one with less load
// by report and by its own count, and queue, within a bound, while both are
// full.
func PowerOfTwo() Policy {
	return Policy{Name: "power-of-two", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).betterOfTwo, true)
	}}
}

// PrefixHash has each instance send to the first server in the rendezvous order
// of the prompt's prefix, passing over those with many more of its own requests
// than the mean. Without a prefix it takes the server with the fewest. It queues
// nothing.
func PrefixHash() Policy {
	return Policy{Name: "prefix-hash", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).firstForPrefix, false)
	}}
}

// baseline holds the state of all instances of a policy without a scheduler.
type baseline struct {
	rng     *rand.Rand
	choose  func(b *baseline, instance int, t *schedcore.Ticket) int
	bounded bool
	servers []schedcore.Server
	index   map[string]int
	// reported is the last reported load by server.
	reported []int
	next     [instances]int
	// own counts by instance and server what was sent and has not ended.
	own     [instances][]int
	queues  [instances][]schedcore.Ticket
	running map[schedcore.RequestID]baselineRow
}

type baselineRow struct {
	ticket schedcore.Ticket
	server int
}

func newBaseline(seed uint64, choose func(*baseline, int, *schedcore.Ticket) int, bounded bool) *baseline {
	return &baseline{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		choose:  choose,
		bounded: bounded,
		index:   make(map[string]int),
		running: make(map[schedcore.RequestID]baselineRow),
	}
}

// Tick carries out one tick of all instances.
func (b *baseline) Tick(_ time.Duration, in *schedcore.Input, out *schedcore.Output) {
	out.Reset()
	if in.Config != nil {
		b.configure(in.Config)
	}
	for _, r := range in.LoadReports {
		if i, ok := b.index[r.Server]; ok {
			b.reported[i] = r.Running + r.Waiting
		}
	}
	for _, e := range in.Completions {
		b.release(e.ID)
	}
	for _, f := range in.Failures {
		b.fail(f, out)
	}
	for _, w := range in.Withdrawals {
		b.withdraw(w.ID)
	}
	for _, t := range in.Tickets {
		b.accept(t, out)
	}
	for i := range b.queues {
		b.drain(i, out)
	}
}

func (b *baseline) configure(cfg *schedcore.Config) {
	b.servers = cfg.Servers
	b.reported = make([]int, len(cfg.Servers))
	clear(b.index)
	for i, s := range cfg.Servers {
		b.index[s.Name] = i
	}
	for i := range b.own {
		b.own[i] = make([]int, len(cfg.Servers))
		b.next[i] = i
	}
}

func (b *baseline) accept(t schedcore.Ticket, out *schedcore.Output) {
	i := instanceOf(t.ID)
	if t.Server != "" {
		b.claim(t)
		return
	}
	if b.bounded && len(b.queues[i]) >= baselineQueue {
		out.Refusals = append(out.Refusals, refuse(t.ID, outcome.Refused, outcome.QueueFull))
		return
	}
	b.queues[i] = append(b.queues[i], t)
}

func (b *baseline) claim(t schedcore.Ticket) {
	server, ok := b.index[t.Server]
	if !ok {
		return
	}
	b.own[instanceOf(t.ID)][server]++
	b.running[t.ID] = baselineRow{ticket: t, server: server}
}

// drain sends what the instance's queue holds until no server is chosen.
func (b *baseline) drain(instance int, out *schedcore.Output) {
	queue := b.queues[instance]
	for len(queue) > 0 {
		server := b.choose(b, instance, &queue[0])
		if server < 0 {
			break
		}
		t := queue[0]
		queue = queue[1:]
		t.Attempt++
		b.own[instance][server]++
		b.running[t.ID] = baselineRow{ticket: t, server: server}
		out.Grants = append(out.Grants, schedcore.Grant{
			ID: t.ID, Server: b.servers[server].Name, Attempt: t.Attempt,
		})
	}
	b.queues[instance] = queue
}

func (b *baseline) release(id schedcore.RequestID) (schedcore.Ticket, bool) {
	row, ok := b.running[id]
	if !ok {
		return schedcore.Ticket{}, false
	}
	delete(b.running, id)
	b.own[instanceOf(id)][row.server]--
	return row.ticket, true
}

// fail retries an idempotent request once, from its start.
func (b *baseline) fail(f schedcore.Failure, out *schedcore.Output) {
	t, ok := b.release(f.ID)
	if !ok {
		return
	}
	safe := t.Idempotent || f.NotStarted
	if safe && t.Attempt < baselineAttempts {
		i := instanceOf(f.ID)
		b.queues[i] = append(b.queues[i], t)
		return
	}
	final := outcome.Unknown
	if f.NotStarted && t.Attempt <= 1 {
		final = outcome.Refused
	}
	out.Refusals = append(out.Refusals, refuse(f.ID, final, f.Reason))
}

func (b *baseline) withdraw(id schedcore.RequestID) {
	b.release(id)
	i := instanceOf(id)
	for k, t := range b.queues[i] {
		if t.ID == id {
			b.queues[i] = append(b.queues[i][:k], b.queues[i][k+1:]...)
			return
		}
	}
}

func (b *baseline) nextServer(instance int, _ *schedcore.Ticket) int {
	i := b.next[instance] % len(b.servers)
	b.next[instance]++
	return i
}

func (b *baseline) leastReported(int, *schedcore.Ticket) int {
	best := 0
	ties := 1
	for i := 1; i < len(b.servers); i++ {
		if b.reported[i] < b.reported[best] {
			best, ties = i, 1
			continue
		}
		if b.reported[i] > b.reported[best] {
			continue
		}
		ties++
		if b.rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

func (b *baseline) betterOfTwo(instance int, _ *schedcore.Ticket) int {
	i := b.rng.IntN(len(b.servers))
	j := b.rng.IntN(len(b.servers))
	if b.load(instance, j) < b.load(instance, i) {
		i = j
	}
	if b.load(instance, i) >= b.servers[i].Slots {
		return -1
	}
	return i
}

func (b *baseline) firstForPrefix(instance int, t *schedcore.Ticket) int {
	own := b.own[instance]
	sum := 0
	for _, n := range own {
		sum += n
	}
	limit := busyFactor*float64(sum)/float64(len(own)) + busySlack
	best := -1
	var bestWeight uint64
	for i, n := range own {
		if float64(n) > limit {
			continue
		}
		weight := math.MaxUint64 - uint64(n)
		if t.Prefix != 0 {
			weight = rendezvous.Weight(t.Prefix, uint64(i))
		}
		if best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// load is what the instance believes that a server holds: the report, or its
// own count if that is higher.
func (b *baseline) load(instance, server int) int {
	return max(b.reported[server], b.own[instance][server])
}

func refuse(id schedcore.RequestID, final outcome.Final, reason outcome.Reason) schedcore.Refusal {
	return schedcore.Refusal{ID: id, Final: final, Reason: reason, RetryAfter: baselineRetryAfter}
}
