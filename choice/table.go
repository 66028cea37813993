package choice

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/directory"
	"bergamotpin.example/bergamotpin/placement"
)

// Options sets up a Table.
type Options struct {
	// DataCentre is the instance's own.
	DataCentre string
	// Seed feeds the choice between servers that are as good.
	Seed uint64
}

// Table holds what is known of the servers. It is not safe for concurrent use.
type Table struct {
	opts    Options
	random  *rand.Rand
	servers map[uint64]*server
	peers   map[string]*peerReport
	reaches map[string]*reach
	digests map[string]digest
	// instances is how many choose, this one included.
	instances int
}

// NewTable returns an empty table.
func NewTable(o Options) *Table {
	return &Table{
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
	standing Standing
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
func ServerKey(b directory.BackendServer) uint64 {
	return placement.Weight(xxhash.Sum64String(b.ID), uint64(b.Born)) >> 32
}

// PartKey is the short form of a part's ID for reports between instances.
func PartKey(id uint64) uint64 { return placement.Weight(id, partSeed) >> 32 }

// partSeed is any number that all instances share.
const partSeed = 0x9a27

// row returns the server's row, a new one if it is not known.
func (t *Table) row(key uint64) *server {
	s, ok := t.servers[key]
	if !ok {
		s = &server{kept: newKeptParts()}
		t.servers[key] = s
	}
	return s
}

// Forget drops the servers that wanted does not name, unless this instance
// still has work there.
func (t *Table) Forget(wanted func(key uint64) bool) {
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
	Service directory.Service
	// Objective is the time to the first event, or to the whole answer of a
	// plain service, and LongestPause that between events.
	Objective    time.Duration
	LongestPause time.Duration
	// Position is how many ranks of the service's routes are more urgent than the
	// request's own, and Ranks how many there are.
	Position, Ranks int
	// Left is how long the caller still waits, or zero if it did not say.
	Left         time.Duration
	PromptTokens int
	AnswerTokens int
	Parts        []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Attempt is one send that a choice led to.
type Attempt struct {
	Server directory.BackendServer
	// Key is the server's ServerKey.
	Key uint64
	// Expected is the time to the first event that the choice counted on.
	Expected time.Duration
	// Fastest is the shortest time to the first event that any of the servers
	// promised, with their slowness, or zero.
	Fastest time.Duration
	// Kept counts the prompt tokens that the server was held to keep.
	Kept int
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
func (a *Attempt) honest() time.Duration { return time.Duration(float64(a.Expected) * a.Slowness) }

// Begin counts an attempt that is about to be sent.
func (t *Table) Begin(a *Attempt, r Request, now time.Time) {
	s := t.row(a.Key)
	a.began = now
	a.unread = max(r.PromptTokens-a.Kept, 0)
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

// FirstEvent records that the attempt's answer began.
func (t *Table) FirstEvent(a *Attempt, now time.Time) {
	if a.started {
		return
	}
	a.started = true
	s := t.row(a.Key)
	s.own.Waiting--
	s.own.Unread -= a.unread
	s.evidence.observeTime(a.Expected, now.Sub(a.began), now)
}

// End records how the attempt ended.
func (t *Table) End(a *Attempt, result Result, now time.Time) {
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
	case Answered, Failed:
		way.heard = now
	case Silent:
		way.failed = now
	}
}
