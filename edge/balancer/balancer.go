package balancer

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// Options configures a Balancer.
type Options struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Seed initialises the random generator used for sampling and jitter.
	Seed uint64
}

// Balancer keeps the load and health of the backend servers and chooses among
// them. It is not safe for concurrent use.
type Balancer struct {
	opts   Options
	random *rand.Rand
	// The key of servers is a ServerKey, the key of peers the name of an
	// instance. The key of dataCentres and summaries is the name of a data
	// centre.
	servers     map[uint64]*server
	peers       map[string]*peerReport
	dataCentres map[string]*dataCentreState
	summaries   map[string]dataCentreSummary
	urgencies   map[urgencyKey]*urgencyStats
	// The key of prefillRates is a serviceHash.
	prefillRates map[uint64]*prefillRate
	// prefills holds the recent prompts of this instance's requests.
	prefills map[engineGroup]*prefillArrivals
	// steps holds the length of the decode steps at the engines of each service, by its name.
	steps map[string]*stepRatio
	// limitedServices holds the services all of whose servers name limits, by name.
	limitedServices map[string]*limitedService
	// instances is the number of instances that choose servers, including
	// this one.
	instances int
}

// New returns an empty balancer.
func New(o Options) *Balancer {
	return &Balancer{
		opts:        o,
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		servers:     make(map[uint64]*server),
		peers:       make(map[string]*peerReport),
		dataCentres: make(map[string]*dataCentreState),
		summaries:   make(map[string]dataCentreSummary),
		urgencies:   make(map[urgencyKey]*urgencyStats),

		prefillRates:    make(map[uint64]*prefillRate),
		prefills:        make(map[engineGroup]*prefillArrivals),
		steps:           make(map[string]*stepRatio),
		limitedServices: make(map[string]*limitedService),
	}
}

// server is the state of a backend server since its last start. A restarted
// server gets a new state.
type server struct {
	// localLoad is the load from this instance's requests at the server.
	// peerLoad is the load from the requests that peers reported.
	localLoad Load
	peerLoad  Load
	// localStats sums the results of this instance's attempts. peerStats
	// sums the results that peers reported.
	localStats   attemptStats
	peerStats    attemptStats
	cachedBlocks blockCache
	// sentBlocks are the prefix blocks that this instance recently sent to the
	// server. This instance reports them to its peers.
	sentBlocks []recentBlock
	// peerBlocks are the prefix blocks reported by peers in this data centre.
	peerBlocks []recentBlock
	// steps is the length of the engine's decode steps.
	steps stepRatio
	// idleUntil holds until when each idle connection of this instance to the server is
	// kept.
	idleUntil []time.Time
	// lastSummarised is when a call of Summary last returned load, statistics
	// or prefix blocks of the server.
	lastSummarised time.Time
	// reportedHealth is the server's health at the last call of HealthChanges.
	reportedHealth Health
}

// Load sums the requests of one or more instances at a server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running counts the requests that were sent and have not ended.
	Running int
	// Waiting counts the running requests that have not produced their first
	// event. PrefillTokens counts the prompt tokens that the server has yet to
	// prefill for the waiting requests. Tokens in the server's prefix cache are
	// not counted.
	Waiting       int
	PrefillTokens int
	// MemoryTokens estimates how many tokens the running requests occupy in an
	// engine's memory.
	MemoryTokens int
}

func (l Load) plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Waiting: l.Waiting + o.Waiting,
		PrefillTokens: l.PrefillTokens + o.PrefillTokens, MemoryTokens: l.MemoryTokens + o.MemoryTokens,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, Waiting: l.Waiting - o.Waiting,
		PrefillTokens: l.PrefillTokens - o.PrefillTokens, MemoryTokens: l.MemoryTokens - o.MemoryTokens,
	}
}

// totalLoad returns the sum of the loads from this instance and from its peers.
func (s *server) totalLoad() Load { return s.localLoad.plus(s.peerLoad) }

// ServerKey returns the key that stands for a server in reports between
// instances. Each restart of the server changes the key. The key has 32 bits.
// This is enough to distinguish hundreds of servers and keeps reports small.
func ServerKey(b catalog.BackendServer) uint64 {
	return rendezvous.Weight(xxhash.Sum64String(b.ID), uint64(b.StartedAtMillis)) >> 32
}

// PrefixBlockKey returns the key that stands for a prefix block in reports
// between instances. The key is shorter than the block's ID.
func PrefixBlockKey(id uint64) uint64 { return rendezvous.Weight(id, blockKeySeed) >> 32 }

// blockKeySeed is an arbitrary constant. All instances must use the same value.
const blockKeySeed = 0x9a27

// serverState returns the state of a server. If the server is unknown,
// serverState creates its state.
func (b *Balancer) serverState(key uint64) *server {
	s, ok := b.servers[key]
	if !ok {
		s = &server{cachedBlocks: newBlockCache()}
		b.servers[key] = s
	}
	return s
}

// RetainServices drops what was learnt of the services for which keep returns false.
func (b *Balancer) RetainServices(keep func(name string) bool) {
	maps.DeleteFunc(b.steps, func(name string, _ *stepRatio) bool { return !keep(name) })
	maps.DeleteFunc(b.prefills, func(g engineGroup, _ *prefillArrivals) bool { return !keep(g.service) })
}

// RetainServers drops the servers for which keep returns false. A server at
// which this instance still has running requests is not dropped.
func (b *Balancer) RetainServers(keep func(key uint64) bool) {
	for key, s := range b.servers {
		if keep(key) || s.localLoad.Running > 0 {
			continue
		}
		delete(b.servers, key)
		// The deleted state included the peers' reports on this server. So the
		// reports are deleted as well. Otherwise the reports would later be
		// subtracted from a new state that never included them.
		for _, report := range b.peers {
			delete(report.servers, key)
		}
		for _, summary := range b.summaries {
			delete(summary, key)
		}
	}
}

// Request describes a request for which a server is chosen.
type Request struct {
	Service catalog.Service
	// LatencyTarget is the target for the time to the first event of the
	// response. For a service that does not run a language model, it is the
	// target for the time to the complete response. MaxEventGap is the target
	// for the time between two events.
	LatencyTarget time.Duration
	MaxEventGap   time.Duration
	// The routes of a service have different priorities. PriorityLevels is the
	// number of these priorities. PriorityIndex is the number of those that are
	// more urgent than the priority of the request.
	PriorityIndex, PriorityLevels int
	// Urgency depends on the organisation's priority too.
	Urgency catalog.Urgency
	// TimeLeft is how long the caller will still wait. It is zero if the caller
	// set no time limit.
	TimeLeft     time.Duration
	PromptTokens int
	AnswerTokens int
	PrefixBlocks []PrefixBlock
}

// PrefixBlock is one block of a prompt. Other prompts may contain the same
// block.
type PrefixBlock struct {
	ID     uint64
	Tokens int
}

// Attempt is one send of a request to a chosen server.
type Attempt struct {
	Server catalog.BackendServer
	// Key is the ServerKey of Server.
	Key uint64
	// ExpectedDelay is the estimated time to the first event at a server of
	// ordinary speed. It has not been multiplied by Slowness.
	ExpectedDelay time.Duration
	// FastestDelay is the shortest estimated time to the first event at the
	// examined candidates, multiplied by their slowness. It leaves out the
	// candidates that are reserved for more urgent requests. If no candidate
	// remains, FastestDelay is zero.
	FastestDelay time.Duration
	// CachedTokens counts the prompt tokens that are presumably in the server's
	// prefix cache.
	CachedTokens int
	// Cost is the estimated cost of sending the request to Server. Its unit is
	// one lost request. Choose returns the attempt with the lowest cost. Load
	// and Slowness describe Server at the time of the choice. Cost was computed
	// from them.
	Cost     float64
	Load     Load
	Slowness float64
	// OwnLoad is the part of Load that comes from this instance's requests.
	OwnLoad Load
	// PauseProbability estimates how likely prompts that arrive at Server during the
	// response make it pause for too long.
	PauseProbability float64
	// HeldBackFor and AdmittedDelay are the rules between requests of different
	// urgency by which Admit refused the request: the latency target of more urgent
	// requests that are late, and the longest expected delay to which less urgent
	// requests were admitted a short time ago. Both are zero if there are no such
	// requests, or if the request was not refused.
	HeldBackFor, AdmittedDelay time.Duration
	// Candidates is the number of servers that were available to the request.
	// This number includes servers that were not examined.
	Candidates int

	// examined holds the attempts at the servers that Choose examined, without those
	// that are reserved for more urgent requests and those in suspected data centres.
	// It is nil in these attempts.
	examined []*Attempt
	// ConnectionKept is for how long the attempt's connection is kept after the end of
	// the attempt, or zero if it is not. It must be set before EndAttempt is called.
	ConnectionKept time.Duration
	// grouped is set if some engines are reserved. level is then the priority index for
	// which Server is reserved.
	grouped bool
	level   int
	// prefillTokens is the number that the attempt added to PrefillTokens of
	// the server's load. memoryTokens is the number that the attempt added to
	// MemoryTokens of this load.
	prefillTokens int
	memoryTokens  int
	// eventTokens is how many tokens an event holds. lastEventAt is when the last event
	// arrived.
	eventTokens int
	lastEventAt time.Time
	sentAt      time.Time
	// waitEnded is set when the first event arrives or when the attempt
	// ends. From then on, the attempt does not count in Waiting and
	// PrefillTokens.
	waitEnded bool
}

// delay returns the expected delay multiplied by the server's slowness.
func (a *Attempt) delay() time.Duration { return time.Duration(float64(a.ExpectedDelay) * a.Slowness) }

// backlog returns the expected time to prefill the prompts that are queued at the server.
func (a *Attempt) backlog() time.Duration {
	return time.Duration(prefillMillis(a.Load.PrefillTokens) * a.Slowness * float64(time.Millisecond))
}

// BeginAttempt records that the attempt is about to be sent.
func (b *Balancer) BeginAttempt(a *Attempt, r Request, now time.Time) {
	s := b.serverState(a.Key)
	a.sentAt, a.examined = now, nil
	a.eventTokens = r.Service.EventTokens
	a.prefillTokens = max(r.PromptTokens-a.CachedTokens, 0)
	b.recordPrefill(a, r, now)
	s.takeIdleConnection(now)
	b.stateOf(a.Server.DataCentre).running++
	s.localLoad.Running++
	s.localLoad.Waiting++
	s.localLoad.PrefillTokens += a.prefillTokens
	b.countPrefill(r.Service, a.prefillTokens, now)
	a.memoryTokens = r.memoryTokens()
	s.localLoad.MemoryTokens += a.memoryTokens
	sharedBlocks := r.sharedBlocks()
	s.cachedBlocks.add(sharedBlocks, now)
	s.recordSentBlocks(sharedBlocks, now)
}

// RecordFirstEvent records that the first event of the response arrived. It reports whether that
// was not recorded before.
func (b *Balancer) RecordFirstEvent(a *Attempt, now time.Time) bool {
	if a.waitEnded {
		return false
	}
	a.waitEnded, a.lastEventAt = true, now
	s := b.serverState(a.Key)
	s.localLoad.Waiting--
	s.localLoad.PrefillTokens -= a.prefillTokens
	s.localStats.recordDelay(a.ExpectedDelay, now.Sub(a.sentAt), now)
	return true
}

// EndAttempt records how the attempt ended.
func (b *Balancer) EndAttempt(a *Attempt, result AttemptResult, now time.Time) {
	s := b.serverState(a.Key)
	if !a.waitEnded {
		a.waitEnded = true
		s.localLoad.Waiting--
		s.localLoad.PrefillTokens -= a.prefillTokens
		if result == Outrun {
			// The answer would have taken at least this long.
			s.localStats.recordDelay(a.ExpectedDelay, now.Sub(a.sentAt), now)
		}
	}
	s.localLoad.Running--
	s.localLoad.MemoryTokens -= a.memoryTokens
	s.localStats.recordResult(result, now)
	if a.ConnectionKept > 0 {
		s.addIdleConnection(now.Add(a.ConnectionKept))
	}
	dc := b.stateOf(a.Server.DataCentre)
	dc.running--
	switch result {
	case Succeeded, Failed:
		dc.lastContact = now
	case NoResponse:
		dc.lastNoResponse = now
	}
}

// Running returns how many requests of this instance run at a server, and how many of all
// instances, as far as they reported.
func (b *Balancer) Running(key uint64) (own, all int) {
	s, ok := b.servers[key]
	if !ok {
		return 0, 0
	}
	return s.localLoad.Running, s.totalLoad().Running
}
