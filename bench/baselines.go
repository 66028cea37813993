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
	// entryInstances is the number of entry instances. In the baselines each
	// chooses servers independently.
	entryInstances = 7
	// baselineQueueSize bounds the waiting requests of one entry instance.
	baselineQueueSize = 64
	// baselineAttempts bounds the attempts of a request that may be retried.
	baselineAttempts = 2
	// baselineRetryAfter is the Retry-After time of the baselines' refusals.
	baselineRetryAfter = time.Second
	// prefixLoadFactor and prefixLoadSlack decide which servers PrefixHash
	// skips. It chooses a server only if the entry instance has at most this
	// number of requests there: the instance's mean per server times the
	// factor, plus the slack.
	prefixLoadFactor = 1.5
	prefixLoadSlack  = 3
)

// RoundRobin sends each request to the next server at once. It never queues.
func RoundRobin() Policy {
	return Policy{Name: "round-robin", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).chooseRoundRobin, false)
	}}
}

// LeastReported sends each request to the server with the least reported load.
// It never queues.
func LeastReported() Policy {
	return Policy{Name: "least-reported", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).chooseLeastReported, false)
	}}
}

// PowerOfTwo draws two servers at random and takes the server with less load. A
// server's load is the reported load, or the entry instance's own count if that
// count is higher. If the server taken is full, the request waits in a bounded
// queue, and the next tick draws again.
func PowerOfTwo() Policy {
	return Policy{Name: "power-of-two", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).choosePowerOfTwo, true)
	}}
}

// PrefixHash sends each request to the first server in the rendezvous order of
// its prompt's prefix. It skips servers on which the entry instance has many
// more requests than its mean per server. A request without a prefix goes to the
// server with the fewest requests of the instance. PrefixHash never queues.
func PrefixHash() Policy {
	return Policy{Name: "prefix-hash", New: func(seed uint64) Scheduler {
		return newBaseline(seed, (*baseline).choosePrefixHash, false)
	}}
}

// baseline is a Scheduler that simulates entry instances which choose servers
// without a scheduler. It holds the state of all entry instances.
type baseline struct {
	rng *rand.Rand
	// choose returns the index of a server, or -1 if the request has to wait.
	choose func(b *baseline, instance int, t *schedcore.Ticket) int
	// boundQueue limits the queues to baselineQueueSize.
	boundQueue  bool
	servers     []schedcore.Server
	serverIndex map[string]int
	// reportedLoad is the number of running and waiting requests in each
	// server's latest load report.
	reportedLoad []int
	// nextServer is a counter for each instance that rises with each choice of
	// RoundRobin. Modulo the number of servers it is the index of the next server.
	nextServer [entryInstances]int
	// inFlight counts, by instance and server, the requests sent that have not
	// ended.
	inFlight [entryInstances][]int
	queues   [entryInstances][]schedcore.Ticket
	running  map[schedcore.RequestID]runningTicket
}

type runningTicket struct {
	ticket schedcore.Ticket
	server int
}

func newBaseline(seed uint64, choose func(*baseline, int, *schedcore.Ticket) int, boundQueue bool) *baseline {
	return &baseline{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		choose:      choose,
		boundQueue:  boundQueue,
		serverIndex: make(map[string]int),
		running:     make(map[schedcore.RequestID]runningTicket),
	}
}

// Tick applies the events to all instances and grants what each of them can
// send.
func (b *baseline) Tick(_ time.Duration, in *schedcore.Input, out *schedcore.Output) {
	out.Reset()
	if in.Config != nil {
		b.configure(in.Config)
	}
	for _, r := range in.LoadReports {
		if i, ok := b.serverIndex[r.Server]; ok {
			b.reportedLoad[i] = r.Running + r.Waiting
		}
	}
	for _, e := range in.Completions {
		b.release(e.ID)
	}
	for _, f := range in.Failures {
		b.handleFailure(f, out)
	}
	for _, w := range in.Withdrawals {
		b.withdraw(w.ID)
	}
	for _, t := range in.Tickets {
		b.accept(t, out)
	}
	for i := range b.queues {
		b.dispatch(i, out)
	}
}

func (b *baseline) configure(cfg *schedcore.Config) {
	b.servers = cfg.Servers
	b.reportedLoad = make([]int, len(cfg.Servers))
	clear(b.serverIndex)
	for i, s := range cfg.Servers {
		b.serverIndex[s.Name] = i
	}
	for i := range b.inFlight {
		b.inFlight[i] = make([]int, len(cfg.Servers))
		b.nextServer[i] = i
	}
}

// accept queues a ticket at its entry instance, or refuses it if the queue is
// full. A ticket that names a server belongs to a request that already runs
// there, and claims its slot.
func (b *baseline) accept(t schedcore.Ticket, out *schedcore.Output) {
	i := entryInstance(t.ID)
	if t.Server != "" {
		b.claim(t)
		return
	}
	if b.boundQueue && len(b.queues[i]) >= baselineQueueSize {
		out.Refusals = append(out.Refusals, newRefusal(t.ID, outcome.Refused, outcome.QueueFull))
		return
	}
	b.queues[i] = append(b.queues[i], t)
}

// claim counts a request that already runs on a server.
func (b *baseline) claim(t schedcore.Ticket) {
	server, ok := b.serverIndex[t.Server]
	if !ok {
		return
	}
	b.inFlight[entryInstance(t.ID)][server]++
	b.running[t.ID] = runningTicket{ticket: t, server: server}
}

// dispatch grants requests from the front of the instance's queue until a
// request has to wait.
func (b *baseline) dispatch(instance int, out *schedcore.Output) {
	queue := b.queues[instance]
	for len(queue) > 0 {
		server := b.choose(b, instance, &queue[0])
		if server < 0 {
			break
		}
		t := queue[0]
		queue = queue[1:]
		t.Attempt++
		b.inFlight[instance][server]++
		b.running[t.ID] = runningTicket{ticket: t, server: server}
		out.Grants = append(out.Grants, schedcore.Grant{
			ID: t.ID, Server: b.servers[server].Name, Attempt: t.Attempt,
		})
	}
	b.queues[instance] = queue
}

// release removes a running request, if there is one with this ID, and returns
// its ticket.
func (b *baseline) release(id schedcore.RequestID) (schedcore.Ticket, bool) {
	entry, ok := b.running[id]
	if !ok {
		return schedcore.Ticket{}, false
	}
	delete(b.running, id)
	b.inFlight[entryInstance(id)][entry.server]--
	return entry.ticket, true
}

// handleFailure queues a failed request to be run again from its start, if a
// retry is safe and attempts are left. Otherwise it refuses the request.
func (b *baseline) handleFailure(f schedcore.Failure, out *schedcore.Output) {
	t, ok := b.release(f.ID)
	if !ok {
		return
	}
	mayRetry := t.Idempotent || f.NotStarted
	if mayRetry && t.Attempt < baselineAttempts {
		i := entryInstance(f.ID)
		b.queues[i] = append(b.queues[i], t)
		return
	}
	final := outcome.Unknown
	if f.NotStarted && t.Attempt <= 1 {
		final = outcome.Refused
	}
	out.Refusals = append(out.Refusals, newRefusal(f.ID, final, f.Reason))
}

func (b *baseline) withdraw(id schedcore.RequestID) {
	b.release(id)
	i := entryInstance(id)
	for k, t := range b.queues[i] {
		if t.ID == id {
			b.queues[i] = append(b.queues[i][:k], b.queues[i][k+1:]...)
			return
		}
	}
}

func (b *baseline) chooseRoundRobin(instance int, _ *schedcore.Ticket) int {
	i := b.nextServer[instance] % len(b.servers)
	b.nextServer[instance]++
	return i
}

// chooseLeastReported chooses at random among the servers with the least reported
// load.
func (b *baseline) chooseLeastReported(int, *schedcore.Ticket) int {
	best := 0
	ties := 1
	for i := 1; i < len(b.servers); i++ {
		if b.reportedLoad[i] < b.reportedLoad[best] {
			best, ties = i, 1
			continue
		}
		if b.reportedLoad[i] > b.reportedLoad[best] {
			continue
		}
		ties++
		if b.rng.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

func (b *baseline) choosePowerOfTwo(instance int, _ *schedcore.Ticket) int {
	i := b.rng.IntN(len(b.servers))
	j := b.rng.IntN(len(b.servers))
	if b.expectedLoad(instance, j) < b.expectedLoad(instance, i) {
		i = j
	}
	if b.expectedLoad(instance, i) >= b.servers[i].Slots {
		return -1
	}
	return i
}

func (b *baseline) choosePrefixHash(instance int, t *schedcore.Ticket) int {
	inFlight := b.inFlight[instance]
	sum := 0
	for _, n := range inFlight {
		sum += n
	}
	limit := prefixLoadFactor*float64(sum)/float64(len(inFlight)) + prefixLoadSlack
	best := -1
	var bestWeight uint64
	for i, n := range inFlight {
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

// expectedLoad is the load that the instance expects at a server: the reported
// load, or the instance's own count of requests there if that count is higher.
func (b *baseline) expectedLoad(instance, server int) int {
	return max(b.reportedLoad[server], b.inFlight[instance][server])
}

func newRefusal(id schedcore.RequestID, final outcome.Final, reason outcome.Reason) schedcore.Refusal {
	return schedcore.Refusal{ID: id, Final: final, Reason: reason, RetryAfter: baselineRetryAfter}
}
