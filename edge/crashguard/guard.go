package crashguard

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxParts and maxRequests bound the suspects of each kind. Each end of a server makes all
	// requests that it held suspects, and nearly all of these come only once.
	maxParts    = 64
	maxRequests = 512
	// earlierMargin is how much earlier the ends under one part must have become known than
	// those under another one to count as earlier. Ends at one server become known together.
	earlierMargin = time.Second
	// tryInterval is the time between two tries, so that the result of the first is known.
	tryInterval = 5 * time.Second
)

// Options configures a Guard.
type Options struct {
	// Seed differs between instances. It determines an instance's turns, and which
	// reports it draws if not all fit.
	Seed uint64
	// Instances returns the number of instances, this one included.
	Instances func() int
}

// Guard holds the evidence about parts of prompts. It is safe for concurrent use.
type Guard struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	suspects map[uint64]*suspect
	// answeredParts and answeredRequests are kept apart, since there are many more requests.
	answeredParts, answeredRequests answeredKeys
	// cleared holds the parts that other instances reported as answered, with the time
	// until which this counts.
	cleared map[uint64]time.Time
	// toTell holds the answered parts that other instances suspect, with the time until
	// which they are told.
	toTell map[uint64]time.Time
}

// New returns a guard that knows nothing.
func New(o Options) *Guard {
	return &Guard{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
		suspects: make(map[uint64]*suspect),
		cleared:  make(map[uint64]time.Time),
		toTell:   make(map[uint64]time.Time),
	}
}

// RecordAnswered records that a request with these parts was answered, so that no server
// ends under them.
func (g *Guard) RecordAnswered(parts []uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		g.answered(part).add(part, now)
		if _, suspected := g.suspects[part]; suspected {
			delete(g.suspects, part)
			g.tellAnswered(part, now)
		}
	}
}

// answered returns the memory of the answered keys of the same kind.
func (g *Guard) answered(key uint64) *answeredKeys {
	if IsRequest(key) {
		return &g.answeredRequests
	}
	return &g.answeredParts
}

// Suspected reports whether a server ended lately under a request with one of the keys.
func (g *Guard) Suspected(keys []uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range keys {
		if s, ok := g.suspects[key]; ok && !s.expired(now) {
			return true
		}
	}
	return false
}

// AllAnswered reports whether each of the parts is known to have been answered lately.
func (g *Guard) AllAnswered(parts []uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if !g.knownAnswered(part, now) {
			return false
		}
	}
	return true
}

// Suspect is a part with the number of servers that ended under it, and the number of
// failed tries after it was withheld.
type Suspect struct {
	Key                  uint64
	Servers, FailedTries int
}

// RecordCrash records that a server ended while it held a request with these parts. It
// returns the parts that were not answered lately.
func (g *Guard) RecordCrash(server uint64, parts []uint64, now time.Time) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []Suspect
	for _, part := range parts {
		if g.knownAnswered(part, now) {
			continue
		}
		evidence := suspect{servers: []uint64{server}, newest: now}
		if s, ok := g.suspects[part]; ok && !s.expired(now) {
			evidence.level = s.level
			// A request that was sent before the part was withheld is no try.
			if s.convicted() && s.lastTry.After(s.newest) {
				evidence.level++
			}
		}
		g.merge(part, evidence, now)
		// Evidence of this moment always finds room.
		s := g.suspects[part]
		s.own = true
		found = append(found, Suspect{part, len(s.servers), s.level})
	}
	return found
}

// Withheld is a part that must not be sent to servers.
type Withheld struct {
	Suspect
	// For is the time until requests with the part may be sent again.
	For time.Duration
}

// Withheld returns the first of the parts that is withheld. If none is, a request with
// these parts is taken to be sent now. If it reaches no server, ReturnTry must be called with
// the same time.
func (g *Guard) Withheld(parts []uint64, now time.Time) (Withheld, bool) {
	instances := g.options.Instances()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.suspects) == 0 {
		return Withheld{}, false
	}
	var tried []*suspect
	for _, part := range parts {
		s, ok := g.suspects[part]
		if !ok || s.expired(now) || !g.mustWithhold(part, s) {
			continue
		}
		if left := g.nextTry(part, s, instances, now).Sub(now); left > 0 {
			return Withheld{Suspect{part, len(s.servers), s.level}, left}, true
		}
		tried = append(tried, s)
	}
	for _, s := range tried {
		s.ownTry, s.lastTry = now, now
	}
	return Withheld{}, false
}

// ReturnTry takes back the try at the given time, because the request reached no server.
func (g *Guard) ReturnTry(parts []uint64, triedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		s, ok := g.suspects[part]
		if !ok || !s.ownTry.Equal(triedAt) {
			continue
		}
		if s.lastTry.Equal(triedAt) {
			s.lastTry = time.Time{}
		}
		s.ownTry = time.Time{}
	}
}

// mustWithhold reports whether a part is convicted, and no other part explains the ends. A
// part explains an end if more servers ended under it, or as many, but earlier: requests that
// happen to be at the same servers lend their parts to the evidence. A request that comes
// again explains as many ends as its parts do, since fewer callers would miss it.
func (g *Guard) mustWithhold(key uint64, s *suspect) bool {
	if s.level > 0 || !s.convicted() {
		return s.convicted()
	}
	for otherKey, other := range g.suspects {
		isNarrower := IsRequest(otherKey) && !IsRequest(key)
		asMany := len(other.servers) == len(s.servers) && (isNarrower || s.newest.Sub(other.newest) >= earlierMargin)
		moreEnded := other.level > 0 || len(other.servers) > len(s.servers)
		if (moreEnded || asMany) && s.unexplainedBy(other) < withholdThreshold {
			return false
		}
	}
	return true
}

// nextTry is the time from which this instance may send a convicted part again. Instances
// try a part in turn, each in slots of its own, so that not all of them try it at once
// because its requests come to all of them at once.
func (g *Guard) nextTry(part uint64, s *suspect, instances int, now time.Time) time.Time {
	end := s.newest.Add(s.period())
	next := end
	if again := s.lastTry.Add(tryInterval); s.lastTry.After(s.newest) && again.After(next) {
		next = again
	}
	if now.After(next) {
		next = now
	}
	slots := s.slots(instances)
	// The remainder of a product with an odd constant spreads seeds and parts well enough.
	own := (g.options.Seed ^ part) * 0x9e3779b97f4a7c15 >> 1 % slots
	current := uint64(next.Sub(end) / tryInterval)
	wait := (own + slots - current%slots) % slots
	if wait == 0 {
		return next
	}
	return end.Add(time.Duration(current+wait) * tryInterval)
}

// merge takes in evidence about a part, if there is room for it.
func (g *Guard) merge(part uint64, evidence suspect, now time.Time) {
	s, ok := g.suspects[part]
	if ok && !s.expired(now) {
		s.merge(&evidence)
		return
	}
	delete(g.suspects, part)
	if g.makeRoom(part, &evidence, now) {
		evidence.servers = normalise(evidence.servers)
		g.suspects[part] = &evidence
	}
}

// makeRoom makes room for a suspect. It forgets old ones. If there are still too many of its
// kind, it drops the one with the fewest servers, the oldest of these. It returns false if
// that would be the new one itself: otherwise two instances would go on putting what they
// dropped back into each other's tables.
func (g *Guard) makeRoom(key uint64, added *suspect, now time.Time) bool {
	g.expire(now)
	bound := maxParts
	if IsRequest(key) {
		bound = maxRequests
	}
	ofKind := 0
	var victim uint64
	var least *suspect
	for part, s := range g.suspects {
		if IsRequest(part) != IsRequest(key) {
			continue
		}
		ofKind++
		if least == nil || cmp.Or(compareStrength(s, least), s.newest.Compare(least.newest), cmp.Compare(part, victim)) < 0 {
			victim, least = part, s
		}
	}
	if ofKind < bound {
		return true
	}
	if compareStrength(added, least) == 0 && added.newest.Before(least.newest) {
		return false
	}
	delete(g.suspects, victim)
	return true
}

// compareStrength orders suspects by the strength of the evidence.
func compareStrength(a, b *suspect) int {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(len(a.servers), len(b.servers)))
}

// expire forgets what no longer counts.
func (g *Guard) expire(now time.Time) {
	for part, s := range g.suspects {
		if s.expired(now) {
			delete(g.suspects, part)
		}
	}
	expireTimes(g.cleared, now)
	expireTimes(g.toTell, now)
}

func expireTimes(until map[uint64]time.Time, now time.Time) {
	for part, end := range until {
		if !now.Before(end) {
			delete(until, part)
		}
	}
}
