package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/rendezvous"
)

// Options sets up a Balancer.
type Options struct {
	// DataCentre is the instance's own.
	DataCentre string
	// Seed feeds the choice between servers that are as good.
	Seed uint64
}

// Balancer holds what is known of the servers. It is not safe for concurrent use.
type Balancer struct {
	opts    Options
	random  *rand.Rand
	servers map[uint64]*server
	peers   map[string]*peerReport
	reaches map[string]*reach
	digests map[string]digest
	// instances is how many choose, this one included.
	instances int
}

// New returns an empty balancer.
func New(o Options) *Balancer {
	return &Balancer{
		opts:    o,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		servers: make(map[uint64]*server),
		peers:   make(map[string]*peerReport),
		reaches: make(map[string]*reach),
		digests: make(map[string]digest),
	}
}

// server is one start of one backend server.
type server struct {
	own    Load
	others Load
	// evidence is what this instance saw, otherEvidence what peers reported.
	evidence      evidence
	otherEvidence evidence
	kept          keptParts
	// told are the parts that this instance sent there lately, which the others
	// are to hear of.
	told []toldPart
	// passed are parts that others of the data centre told of, and busyAt is when
	// the data centre last had something to tell of the server.
	passed []toldPart
	busyAt time.Time
	// standing is how the server was last said to be held.
	standing Health
}

// Load is the work that instances have at a server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running counts the requests that were sent and have not ended.
	Running int
	// Waiting counts those of them without a first event, and Unread their
	// prompt tokens, as far as the server did not keep them.
	Waiting int
	Unread  int
	// Memory counts the tokens that the requests take of an engine's memory.
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

// all is the load of all instances together.
func (s *server) all() Load { return s.own.plus(s.others) }

// ServerKey identifies one start of a server in reports between instances. It
// has 32 bits, which is enough to tell hundreds apart and short to tell.
func ServerKey(b catalog.BackendServer) uint64 {
	return rendezvous.Weight(xxhash.Sum64String(b.ID), uint64(b.StartedAtMillis)) >> 32
}

// PrefixBlockKey is the short form of a part's ID for reports between instances.
func PrefixBlockKey(id uint64) uint64 { return rendezvous.Weight(id, partSeed) >> 32 }

// partSeed is any number that all instances share.
const partSeed = 0x9a27

// row returns the server's row, a new one if it is not known.
func (t *Balancer) row(key uint64) *server {
	s, ok := t.servers[key]
	if !ok {
		s = &server{kept: newKeptParts()}
		t.servers[key] = s
	}
	return s
}

// RetainServers drops the servers that wanted does not name, unless this instance
// still has work there.
func (t *Balancer) RetainServers(wanted func(key uint64) bool) {
	for key, s := range t.servers {
		if wanted(key) || s.own.Running > 0 {
			continue
		}
		delete(t.servers, key)
		// What peers told of it went with the row, so it must not be taken out
		// of a later one.
		for _, report := range t.peers {
			delete(report.servers, key)
		}
		for _, d := range t.digests {
			delete(d, key)
		}
	}
}

// Request is what a choice needs to know of a request.
type Request struct {
	Service catalog.Service
	// LatencyTarget is the time to the first event, or to the whole answer of a
	// plain service, and MaxEventGap that between events.
	LatencyTarget time.Duration
	MaxEventGap   time.Duration
	// PriorityIndex is how many ranks of the service's routes are more urgent than the
	// request's own, and PriorityLevels how many there are.
	PriorityIndex, PriorityLevels int
	// TimeLeft is how long the caller still waits, or zero if it did not say.
	TimeLeft     time.Duration
	PromptTokens int
	AnswerTokens int
	PrefixBlocks []PrefixBlock
}

// PrefixBlock is one part of a prompt.
type PrefixBlock struct {
	ID     uint64
	Tokens int
}

// Attempt is one send that a choice led to.
type Attempt struct {
	Server catalog.BackendServer
	// Key is the server's ServerKey.
	Key uint64
	// ExpectedDelay is the time to the first event that the choice counted on.
	ExpectedDelay time.Duration
	// FastestDelay is the shortest time to the first event that any of the servers
	// promised, with their slowness, or zero.
	FastestDelay time.Duration
	// CachedTokens counts the prompt tokens that the server was held to keep.
	CachedTokens int
	// Cost is what the choice weighed, in requests lost, from the server's Load
	// and Slowness at that time.
	Cost     float64
	Load     Load
	Slowness float64
	// Candidates is how many servers there were to choose from.
	Candidates int

	unread  int
	memory  int
	began   time.Time
	started bool
}

// honest is the expected time with the server's slowness.
func (a *Attempt) honest() time.Duration { return time.Duration(float64(a.ExpectedDelay) * a.Slowness) }

// BeginAttempt counts an attempt that is about to be sent.
func (t *Balancer) BeginAttempt(a *Attempt, r Request, now time.Time) {
	s := t.row(a.Key)
	a.began = now
	a.unread = max(r.PromptTokens-a.CachedTokens, 0)
	t.reachOf(a.Server.DataCentre).running++
	s.own.Running++
	s.own.Waiting++
	s.own.Unread += a.unread
	a.memory = r.memory()
	s.own.Memory += a.memory
	shared := r.sharedParts()
	s.kept.add(shared, now)
	s.tell(shared, now)
}

// RecordFirstEvent records that the attempt's answer began.
func (t *Balancer) RecordFirstEvent(a *Attempt, now time.Time) {
	if a.started {
		return
	}
	a.started = true
	s := t.row(a.Key)
	s.own.Waiting--
	s.own.Unread -= a.unread
	s.evidence.observeTime(a.ExpectedDelay, now.Sub(a.began), now)
}

// EndAttempt records how the attempt ended.
func (t *Balancer) EndAttempt(a *Attempt, result AttemptResult, now time.Time) {
	s := t.row(a.Key)
	if !a.started {
		a.started = true
		s.own.Waiting--
		s.own.Unread -= a.unread
	}
	s.own.Running--
	s.own.Memory -= a.memory
	s.evidence.observeResult(result, now)
	way := t.reachOf(a.Server.DataCentre)
	way.running--
	switch result {
	case Succeeded, Failed:
		way.heard = now
	case NoResponse:
		way.failed = now
	}
}
