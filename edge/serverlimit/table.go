package serverlimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// endedMemory is how long the end of a limit is remembered, so that others can learn of it.
const endedMemory = 30 * time.Second

// maxServers bounds the table. It is above the number of servers of any deployment.
const maxServers = 4096

// Limit is what a server says about the requests that it takes. The zero value is no limit.
type Limit struct {
	Named bool
	// PerSecond is the number of requests a second from all instances together.
	PerSecond float64
}

// NewLimit returns a limit of some requests a second, rounded to thousandths: so precise is
// what instances tell each other.
func NewLimit(perSecond float64) Limit {
	return limitOfMilli(int64(min(math.Round(perSecond*milli), math.MaxInt32)))
}

// limitOfMilli returns a limit of some thousandths of a request a second, or no limit if the
// number is negative.
func limitOfMilli(perSecond int64) Limit {
	if perSecond < 0 {
		return Limit{}
	}
	return Limit{Named: true, PerSecond: float64(perSecond) / milli}
}

// isBelow reports whether a limit is lower than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// Options configures a Table.
type Options struct {
	// Name is the name of this instance, as it is in View.Live.
	Name string
	// View returns the current view of the instances.
	View func() View
	// Seed determines which reports are drawn if not all fit.
	Seed uint64
}

// Table holds the limits of servers, and this instance's shares of them. It is safe for
// concurrent use.
type Table struct {
	options Options

	mu      sync.Mutex
	random  *rand.Rand
	servers map[uint64]*server
	view    View
	// viewChangedAt is when the live instances last changed.
	viewChangedAt time.Time
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), servers: make(map[uint64]*server)}
}

// server is what is known of a server that named a limit.
type server struct {
	limit Limit
	// heardAt is when a response last stated limit, and changedAt when limit last changed.
	heardAt, changedAt time.Time
	// own is set if this instance got the response that last stated limit.
	own bool
	// logged is the limit at the last call of Changes.
	logged Limit
	share  share
}

// Record takes in what a response to this instance stated about its server's limit. sent is
// when its request was sent.
func (t *Table) Record(key uint64, stated Limit, sent, received time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serverFor(key, stated)
	if s == nil {
		return
	}
	if sent.After(s.heardAt) || stated.isBelow(s.limit) {
		t.adopt(key, s, stated, received, received)
		s.own = true
	}
}

// serverFor returns the entry of a server. It makes one if the server names a limit.
func (t *Table) serverFor(key uint64, stated Limit) *server {
	s, ok := t.servers[key]
	if ok || !stated.Named || len(t.servers) >= maxServers {
		return s
	}
	s = &server{}
	t.servers[key] = s
	return s
}

// adopt makes stated, which was heard at the given time, the limit of the server.
func (t *Table) adopt(key uint64, s *server, stated Limit, heardAt, now time.Time) {
	s.heardAt = heardAt
	if stated == s.limit {
		return
	}
	s.limit, s.changedAt = stated, now
	t.updateShare(key, s, now)
}

// Change is a change of a server's limit.
type Change struct {
	Server   uint64
	From, To Limit
	// SharePerSecond is this instance's share of the limit. Own is set if this instance
	// itself got the response that stated the change.
	SharePerSecond float64
	Own            bool
}

// Changes returns the changes of limits since its last call, ordered by server. It forgets
// limits that ended long ago.
func (t *Table) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for key, s := range t.servers {
		if s.limit != s.logged {
			changes = append(changes, Change{Server: key, From: s.logged, To: s.limit, SharePerSecond: s.share.perSecond, Own: s.own})
			s.logged = s.limit
		}
		if !s.limit.Named && now.Sub(s.changedAt) >= endedMemory {
			delete(t.servers, key)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Server, b.Server) })
	return changes
}

// Retain forgets the servers for which keep returns false.
func (t *Table) Retain(keep func(key uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.servers {
		if !keep(key) {
			delete(t.servers, key)
		}
	}
}

// Count returns the number of servers that name a limit.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.limit.Named {
			n++
		}
	}
	return n
}
