package serverlimit

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/rendezvous"
)

// A limit holds for all instances together, and they can't agree on each request. So a few
// of them, its holders, share it, and the others send the server nothing. A limit of one a
// second can't be divided among hundreds: each would round its share up to one request.
//
// The holders follow from a hash over the live instances. While instances don't agree on who
// is live, they don't agree on the holders either, so a new holder waits until its view of
// them has stood still.

const (
	// settleTime is how long the view must have stood still before a new holder sends. It is
	// longer than an instance takes to find out that another one is gone or new.
	settleTime = 2 * time.Second
	// partitionFraction is the fraction of its share that a holder uses while some instance is
	// silent. That instance may be on the other side of a partition, where others hold the
	// same limit.
	partitionFraction = 0.5
	// burstTime is the time for which a share that is not used is saved up, at least for one
	// request.
	burstTime = time.Second
	// longestPause bounds the time between two requests of all holders together, whatever the
	// limit. Without requests nobody would hear of the limit's end.
	longestPause = 30 * time.Second
)

// View is what an instance knows of the instances that share the limits.
type View struct {
	// Live holds the names of the instances from which messages arrive, in ascending order.
	// This instance is one of them unless it leaves.
	Live []string
	// Complete is set if no instance is silent without having announced that it leaves.
	Complete bool
}

// share is this instance's part of a server's limit.
type share struct {
	// rank is the number of live instances that come before this one among the holders.
	rank int
	// holds is set if this instance is a holder. It sends nothing before notBefore.
	holds     bool
	notBefore time.Time
	// perSecond is the number of requests a second that this instance may send.
	perSecond float64
	// saved is the number of requests that it may send at the time savedAt.
	saved   float64
	savedAt time.Time
}

// refresh takes in the current view of the instances.
func (t *Table) refresh(view View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := !slices.Equal(view.Live, t.view.Live)
	if !changed && view.Complete == t.view.Complete {
		return
	}
	t.view = view
	if changed {
		t.viewChangedAt = now
	}
	for key, s := range t.servers {
		t.updateShare(key, s, now)
	}
}

// updateShare works out this instance's share anew, after a change of the limit or of the
// view.
func (t *Table) updateShare(key uint64, s *server, now time.Time) {
	h := &s.share
	h.save(now)
	h.rank = t.rank(key)
	held := h.holds
	h.holds = s.limit.Named && h.rank < s.limit.holders(len(t.view.Live))
	if !h.holds {
		h.perSecond, h.saved = 0, 0
		return
	}
	h.perSecond = s.limit.usable() / float64(s.limit.holders(len(t.view.Live)))
	if !t.view.Complete {
		h.perSecond *= partitionFraction
	}
	if held {
		return
	}
	h.notBefore, h.savedAt = t.viewChangedAt.Add(settleTime), now
	if h.notBefore.Before(now) {
		h.saved = 1
	}
}

// rank returns the number of live instances that come before this one among the holders of a
// server's limit.
func (t *Table) rank(key uint64) int {
	if !slices.Contains(t.view.Live, t.options.Name) {
		return math.MaxInt
	}
	own := rendezvous.Weight(key, xxhash.Sum64String(t.options.Name))
	rank := 0
	for _, name := range t.view.Live {
		if rendezvous.Weight(key, xxhash.Sum64String(name)) > own {
			rank++
		}
	}
	return rank
}

// holders returns how many of the instances share the limit. Each of them may send at most
// one request more than its share of a span of time, and these must be few in relation to
// the limit.
func (l Limit) holders(instances int) int {
	return int(min(math.Floor(l.PerSecond)+1, float64(instances)))
}

// usable returns the requests a second that are sent.
func (l Limit) usable() float64 { return max(l.PerSecond, 1/longestPause.Seconds()) }

// save adds to the share what has become free since savedAt.
func (h *share) save(now time.Time) {
	from := h.savedAt
	if h.notBefore.After(from) {
		from = h.notBefore
	}
	if now.After(from) {
		h.saved = min(h.saved+h.perSecond*now.Sub(from).Seconds(), max(h.perSecond*burstTime.Seconds(), 1))
	}
	h.savedAt = now
}

// Room says whether a server takes a request of this instance.
type Room uint8

// The values of Room.
const (
	// Unlimited servers name no limit.
	Unlimited Room = iota
	// Open servers name a limit, of which this instance's share has room for a request.
	Open
	// Spent servers name a limit, of which this instance's share is spent.
	Spent
)

// Room returns whether the server takes a request of this instance now, and its limit.
func (t *Table) Room(key uint64, now time.Time) (Room, Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[key]
	if !ok || !s.limit.Named {
		return Unlimited, Limit{}
	}
	s.share.save(now)
	if s.share.holds && s.share.saved >= 1 && !now.Before(s.share.notBefore) {
		return Open, s.limit
	}
	return Spent, s.limit
}

// Take counts a request that is about to be sent to the server.
func (t *Table) Take(key uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[key]; ok && s.limit.Named {
		s.share.save(now)
		s.share.saved--
	}
}
