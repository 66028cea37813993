package balancer

import (
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
	opts        Options
	random      *rand.Rand
	servers     map[uint64]*server
	peers       map[string]*peerReport
	dataCentres map[string]*dataCentreState
	summaries   map[string]dataCentreSummary
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
	}
}

// server is the state of a backend server since its last start. A restarted
// server gets a new state.
type server struct {
	localLoad Load
	peerLoad  Load
	// localStats sums the results of this instance's attempts, peerStats those
	// that peers reported.
	localStats   attemptStats
	peerStats    attemptStats
	cachedBlocks blockCache
	// sentBlocks are the prefix blocks that this instance recently sent to the
	// server and that it reports to its peers.
	sentBlocks []sentBlock
	// peerBlocks are prefix blocks reported by peers of this data centre.
	// lastSummarised is the time of the last call of Summary that returned
	// load, statistics or prefix blocks of the server.
	peerBlocks     []sentBlock
	lastSummarised time.Time
	// reportedHealth is the health that HealthChanges last returned.
	reportedHealth Health
}

// Load sums the requests of one or more instances at a server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running counts the requests that were sent and have not ended.
	Running int
	// Waiting counts the running requests that have not produced their first
	// event. Unread counts the prompt tokens of the waiting requests that the
	// server has yet to prefill, without those in its prefix cache.
	Waiting int
	Unread  int
	// Memory estimates the tokens that the running requests occupy in an
	// engine's memory.
	Memory int
}

func (l Load) plus(o Load) Load {
	return Load{
		Running: l.Running + o.Running, Waiting: l.Waiting + o.Waiting,
		Unread: l.Unread + o.Unread, Memory: l.Memory + o.Memory,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Running: l.Running - o.Running, Waiting: l.Waiting - o.Waiting,
		Unread: l.Unread - o.Unread, Memory: l.Memory - o.Memory,
	}
}

// totalLoad is the load from all instances.
func (s *server) totalLoad() Load { return s.localLoad.plus(s.peerLoad) }

// ServerKey returns the key of a server in reports between instances. It
// differs after each restart of the server. It has 32 bits: enough to
// distinguish hundreds of servers, and short enough for small reports.
func ServerKey(b catalog.BackendServer) uint64 {
	return rendezvous.Weight(xxhash.Sum64String(b.ID), uint64(b.StartedAtMillis)) >> 32
}

// PrefixBlockKey is the short form of a prefix block's ID used in reports
// between instances.
func PrefixBlockKey(id uint64) uint64 { return rendezvous.Weight(id, blockKeySeed) >> 32 }

// blockKeySeed is an arbitrary constant that all instances must share.
const blockKeySeed = 0x9a27

// serverState returns the state of a server and creates it if the server is
// unknown.
func (b *Balancer) serverState(key uint64) *server {
	s, ok := b.servers[key]
	if !ok {
		s = &server{cachedBlocks: newBlockCache()}
		b.servers[key] = s
	}
	return s
}

// RetainServers drops the servers for which keep returns false, unless this
// instance still has requests running there.
func (b *Balancer) RetainServers(keep func(key uint64) bool) {
	for key, s := range b.servers {
		if keep(key) || s.localLoad.Running > 0 {
			continue
		}
		delete(b.servers, key)
		// Peer reports on this server were added to the deleted state. If they
		// stayed, they would later be subtracted from a new state that never
		// included them.
		for _, report := range b.peers {
			delete(report.servers, key)
		}
		for _, summary := range b.summaries {
			delete(summary, key)
		}
	}
}

// Request describes a request to choose a server for.
type Request struct {
	Service catalog.Service
	// LatencyTarget is the target for the time to the first event of the
	// response, or to the complete response of a service that does not run a
	// language model. MaxEventGap is the target for the time between two
	// events.
	LatencyTarget time.Duration
	MaxEventGap   time.Duration
	// PriorityIndex is the number of priorities of the service's routes that
	// are more urgent than the request's own. PriorityLevels is the number of
	// priorities in total.
	PriorityIndex, PriorityLevels int
	// TimeLeft is how long the caller will still wait, or zero if the caller
	// set no time limit.
	TimeLeft     time.Duration
	PromptTokens int
	AnswerTokens int
	PrefixBlocks []PrefixBlock
}

// PrefixBlock is one block of a prompt, which other prompts may share.
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
	// ordinary speed, before it is multiplied by Slowness.
	ExpectedDelay time.Duration
	// FastestDelay is the shortest estimated time to the first event, slowness
	// included, among the candidates that were examined and are not reserved
	// for more urgent requests. It is zero if there is none.
	FastestDelay time.Duration
	// CachedTokens counts the prompt tokens that are presumably in the server's
	// prefix cache.
	CachedTokens int
	// Cost is the estimated cost of sending the request to Server, in lost
	// requests. Choose returns the attempt with the lowest cost. Load and
	// Slowness are the values of Server from which Cost was computed.
	Cost     float64
	Load     Load
	Slowness float64
	// Candidates is the number of servers that were available to the request,
	// including those that were not examined.
	Candidates int

	// prefillTokens and memoryTokens are what the attempt added to the Unread
	// and Memory values of the server's load.
	prefillTokens  int
	memoryTokens   int
	sentAt         time.Time
	firstEventSeen bool
}

// delay returns the expected delay multiplied by the server's slowness.
func (a *Attempt) delay() time.Duration { return time.Duration(float64(a.ExpectedDelay) * a.Slowness) }

// BeginAttempt updates the counters for an attempt that is about to be sent.
func (b *Balancer) BeginAttempt(a *Attempt, r Request, now time.Time) {
	s := b.serverState(a.Key)
	a.sentAt = now
	a.prefillTokens = max(r.PromptTokens-a.CachedTokens, 0)
	b.stateOf(a.Server.DataCentre).running++
	s.localLoad.Running++
	s.localLoad.Waiting++
	s.localLoad.Unread += a.prefillTokens
	a.memoryTokens = r.memoryTokens()
	s.localLoad.Memory += a.memoryTokens
	sharedBlocks := r.sharedBlocks()
	s.cachedBlocks.add(sharedBlocks, now)
	s.recordSentBlocks(sharedBlocks, now)
}

// RecordFirstEvent records that the first event of the response arrived.
func (b *Balancer) RecordFirstEvent(a *Attempt, now time.Time) {
	if a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	s := b.serverState(a.Key)
	s.localLoad.Waiting--
	s.localLoad.Unread -= a.prefillTokens
	s.localStats.recordDelay(a.ExpectedDelay, now.Sub(a.sentAt), now)
}

// EndAttempt records how the attempt ended.
func (b *Balancer) EndAttempt(a *Attempt, result AttemptResult, now time.Time) {
	s := b.serverState(a.Key)
	if !a.firstEventSeen {
		a.firstEventSeen = true
		s.localLoad.Waiting--
		s.localLoad.Unread -= a.prefillTokens
	}
	s.localLoad.Running--
	s.localLoad.Memory -= a.memoryTokens
	s.localStats.recordResult(result, now)
	dc := b.stateOf(a.Server.DataCentre)
	dc.running--
	switch result {
	case Succeeded, Failed:
		dc.lastContact = now
	case NoResponse:
		dc.lastNoResponse = now
	}
}
