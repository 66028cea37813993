package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// LiveTimeout is for how long an instance counts as live after it was heard.
	LiveTimeout = 1500 * time.Millisecond
	// rememberFor is for how long an instance that fell silent is sent to.
	rememberFor = 10 * time.Minute
	// maxKnown bounds the addresses in one message.
	maxKnown = 8
)

// member is another instance.
type member struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	Started    int64
	Sequence   uint64
	Heard      time.Time
	Live       bool
	Leaving    bool
	// StoreAt is when the store last answered the member.
	StoreAt  time.Time
	Revision int64
	Servers  uint64
	// fruitless are the digests, the member's and our own, at which a fetch of
	// its servers brought nothing new.
	fruitless [2]uint64
}

// members is the table of the other instances, by address.
type members struct {
	self netip.AddrPort
	all  map[netip.AddrPort]*member
	// near and far are whose turn it is among the members of the own data centre
	// and among the others.
	near, far turn
}

// turn is how far a round over some members has come.
type turn struct{ cursor int }

func newMembers(self netip.AddrPort) *members {
	return &members{self: self, all: make(map[netip.AddrPort]*member)}
}

// learn adds an address that was told.
func (m *members) learn(a netip.AddrPort, now time.Time) {
	if a == m.self || !a.IsValid() || m.all[a] != nil {
		return
	}
	m.all[a] = &member{Address: a, Heard: now}
}

// hear takes in a message. It reports whether the message is news, and whether
// the sender was not live before.
func (m *members) hear(msg message, now time.Time) (e *member, news, returned bool) {
	if msg.Address == m.self {
		return nil, false, false
	}
	m.learn(msg.Address, now)
	e = m.all[msg.Address]
	if msg.Started < e.Started || msg.Started == e.Started && msg.Sequence <= e.Sequence {
		return e, false, false
	}
	returned = !e.Live
	e.Name, e.DataCentre = msg.Name, msg.DataCentre
	e.Started, e.Sequence = msg.Started, msg.Sequence
	e.Leaving, e.Revision, e.Servers = msg.Leaving, msg.Revision, msg.Servers
	e.Heard, e.Live = now, true
	e.StoreAt = now.Add(-time.Duration(msg.StoreAgeMs) * time.Millisecond)
	for _, a := range msg.Known {
		m.learn(a, now)
	}
	return e, true, returned
}

// expire returns the instances that fell silent since the last call.
func (m *members) expire(now time.Time) []*member {
	var silent []*member
	for a, e := range m.all {
		age := now.Sub(e.Heard)
		if e.Live && age > LiveTimeout {
			e.Live = false
			silent = append(silent, e)
		}
		if age > rememberFor {
			delete(m.all, a)
		}
	}
	return silent
}

// next returns up to n of some addresses, each in its turn.
func (t *turn) next(order []netip.AddrPort, n int) []netip.AddrPort {
	if len(order) <= n {
		return order
	}
	out := make([]netip.AddrPort, 0, n)
	for range n {
		t.cursor = (t.cursor + 1) % len(order)
		out = append(out, order[t.cursor])
	}
	return out
}

// in lists the members of a data centre, and the others: those not heard yet are
// among these.
func (m *members) in(dataCentre string) (near, far []netip.AddrPort) {
	for _, a := range m.sorted() {
		if m.all[a].DataCentre == dataCentre {
			near = append(near, a)
			continue
		}
		far = append(far, a)
	}
	return near, far
}

// known returns up to most addresses of live members for a message.
func (m *members) known(round uint64, most int) []netip.AddrPort {
	var live []netip.AddrPort
	for _, a := range m.sorted() {
		if m.all[a].Live {
			live = append(live, a)
		}
	}
	if len(live) <= most {
		return live
	}
	start := int(round % uint64(len(live)))
	return slices.Concat(live[start:], live[:start])[:most]
}

func (m *members) sorted() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(m.all))
	for a := range m.all {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// live returns the live members, in the order of their names.
func (m *members) live() []member {
	var out []member
	for _, e := range m.all {
		if e.Live {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// InstanceCounts says how many other instances there are, by their state.
type InstanceCounts struct {
	Live, Leaving int
	// Silent instances were heard before, Unconfirmed ones are only told of.
	Silent, Unconfirmed int
}

func (m *members) counts() InstanceCounts {
	var c InstanceCounts
	for _, e := range m.all {
		switch {
		case e.Live && e.Leaving:
			c.Leaving++
		case e.Live:
			c.Live++
		case e.Name != "":
			c.Silent++
		default:
			c.Unconfirmed++
		}
	}
	return c
}

// confirmedAt is when the store last answered a live member that has no newer
// configuration than this revision, or zero.
func (m *members) confirmedAt(revision int64) time.Time {
	var newest time.Time
	for _, e := range m.all {
		if e.Live && e.Revision <= revision && e.StoreAt.After(newest) {
			newest = e.StoreAt
		}
	}
	return newest
}

// everLive counts the members that were heard at least once and are remembered.
func (m *members) everLive() int {
	n := 0
	for _, e := range m.all {
		if e.Name != "" {
			n++
		}
	}
	return n
}
