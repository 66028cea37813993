package serverlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// endedMemory is how long the end of a limit is remembered, so that others can learn of it.
const endedMemory = 30 * time.Second

// Limit is what a server says about the requests that it takes. The zero value is no limit.
type Limit struct {
	Named bool
	// PerSecond is the number of requests a second from all instances together.
	PerSecond float64
}

// isBelow reports whether a limit is lower than another one.
func (l Limit) isBelow(other Limit) bool {
	return l.Named && (!other.Named || l.PerSecond < other.PerSecond)
}

// Table holds the limits of servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[uint64]*server
}

// New returns an empty table.
func New() *Table { return &Table{servers: make(map[uint64]*server)} }

// server is what is known of a server that named a limit.
type server struct {
	limit Limit
	// heardAt is when a response last stated limit, and changedAt when limit last changed.
	heardAt, changedAt time.Time
	// logged is the limit at the last call of Changes.
	logged Limit
}

// Record takes in what a response stated about its server's limit. sent is when its request
// was sent.
func (t *Table) Record(key uint64, stated Limit, sent, received time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[key]
	if !ok {
		if !stated.Named {
			return
		}
		s = &server{}
		t.servers[key] = s
	}
	if sent.After(s.heardAt) || stated.isBelow(s.limit) {
		s.adopt(stated, received)
	}
}

// adopt makes stated the limit of the server.
func (s *server) adopt(stated Limit, heardAt time.Time) {
	s.heardAt = heardAt
	if stated != s.limit {
		s.limit, s.changedAt = stated, heardAt
	}
}

// Change is a change of a server's limit.
type Change struct {
	Server   uint64
	From, To Limit
}

// Changes returns the changes of limits since its last call, ordered by server. It forgets
// limits that ended long ago.
func (t *Table) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for key, s := range t.servers {
		if s.limit != s.logged {
			changes = append(changes, Change{Server: key, From: s.logged, To: s.limit})
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
