package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// LiveTimeout is how long an instance counts as live after its last message. For one of
	// another data centre see remoteLiveTimeout.
	LiveTimeout = 1500 * time.Millisecond
	// remoteLiveTimeout is the same for an instance of another data centre while there are more
	// than maxDirectPeers others, which then get datagrams less often: see remoteCycleRounds.
	remoteLiveTimeout = 3 * time.Second
	// silentRetention is how long datagrams are still sent to an instance after its
	// last message.
	silentRetention = 10 * time.Minute
	// maxKnown bounds the addresses of other instances in one message.
	maxKnown = 8
)

// member is what this instance knows of another instance.
type member struct {
	Name string
	// nameHash is the hash of Name, which decides on duties.
	nameHash     uint64
	DataCentre   string
	Address      netip.AddrPort
	Started      int64
	Sequence     uint64
	LastReceived time.Time
	Live         bool
	Leaving      bool
	// CutOff is set if the member reaches no backend server. Callers is where it takes
	// requests; it is not valid for a member of the version before.
	CutOff  bool
	Callers netip.AddrPort
	// StoreResponseAt is when the metadata store last responded to the member.
	StoreResponseAt time.Time
	// Digest is the digest of the member's records.
	Digest catalog.Digest
	// emptyFetch holds two digests, the member's and this instance's, as they were when a
	// fetch from the member last brought nothing new.
	emptyFetch [2]catalog.Digest
}

// members holds the other instances by address.
type members struct {
	self       netip.AddrPort
	dataCentre string
	all        map[netip.AddrPort]*member
	// orders holds the addresses in order, or nil if they must be sorted again.
	orders *orders
	// local and remote are the rotations over the members of this data centre and over
	// all other members.
	local, remote rotation
}

// orders holds the addresses of all members, of those of this data centre, and of all others. A
// member that has not sent a message yet is among the others. otherDataCentres is the number of
// data centres of the others.
type orders struct {
	all, local, remote []netip.AddrPort
	otherDataCentres   int
}

// rotation is a position in a round-robin order of members.
type rotation struct{ cursor int }

func newMembers(self netip.AddrPort, dataCentre string) *members {
	return &members{self: self, dataCentre: dataCentre, all: make(map[netip.AddrPort]*member)}
}

// add adds an address that came from a seed or from another instance.
func (m *members) add(a netip.AddrPort, now time.Time) {
	if a == m.self || !a.IsValid() || m.all[a] != nil {
		return
	}
	m.all[a] = &member{Address: a, LastReceived: now}
	m.orders = nil
}

// receive records a message and the digest that it states. It returns the sender, whether the message is newer
// than the last one from this sender, and whether the sender was not live before.
func (m *members) receive(msg message, digest catalog.Digest, now time.Time) (peer *member, isNew, becameLive bool) {
	if msg.Address == m.self {
		return nil, false, false
	}
	m.add(msg.Address, now)
	peer = m.all[msg.Address]
	if peer.sentBefore(msg) {
		return peer, false, false
	}
	becameLive = !peer.Live
	if peer.DataCentre != msg.DataCentre {
		m.orders = nil
	}
	if peer.Name != msg.Name {
		peer.nameHash = xxhash.Sum64String(msg.Name)
	}
	peer.Name, peer.DataCentre = msg.Name, msg.DataCentre
	peer.Started, peer.Sequence = msg.Started, msg.Sequence
	peer.Leaving, peer.Digest = msg.Leaving, digest
	peer.CutOff, peer.Callers = msg.CutOff, msg.Callers
	peer.LastReceived, peer.Live = now, true
	peer.StoreResponseAt = now.Add(-time.Duration(msg.StoreAgeMs) * time.Millisecond)
	for _, a := range msg.Known {
		m.add(a, now)
	}
	return peer, true, becameLive
}

// sentBefore reports whether a message was sent before the last one from the same instance. A process that
// starts while its time of day is behind states an earlier start than the one before it, from which nothing
// comes any more.
func (peer *member) sentBefore(msg message) bool {
	if msg.Started == peer.Started {
		return msg.Sequence <= peer.Sequence
	}
	return msg.Started < peer.Started && peer.Live
}

// expire returns the instances that fell silent since the last call. It removes the
// instances whose last message is older than silentRetention.
func (m *members) expire(now time.Time) []*member {
	var silent []*member
	for a, peer := range m.all {
		age := now.Sub(peer.LastReceived)
		if peer.Live && age > m.timeout(peer) {
			peer.Live = false
			silent = append(silent, peer)
		}
		if age > silentRetention {
			delete(m.all, a)
			m.orders = nil
		}
	}
	return silent
}

// timeout returns how long a member counts as live after its last message.
func (m *members) timeout(peer *member) time.Duration {
	if len(m.all) > maxDirectPeers && peer.DataCentre != m.dataCentre {
		return remoteLiveTimeout
	}
	return LiveTimeout
}

// next returns the next n addresses in a rotation over order, or all of them if there
// are at most n.
func (r *rotation) next(order []netip.AddrPort, n int) []netip.AddrPort {
	if len(order) <= n {
		return order
	}
	out := make([]netip.AddrPort, 0, n)
	for range n {
		r.cursor = (r.cursor + 1) % len(order)
		out = append(out, order[r.cursor])
	}
	return out
}

// ordered returns the addresses in order. The caller must not modify them.
func (m *members) ordered() *orders {
	if m.orders != nil {
		return m.orders
	}
	o := &orders{all: make([]netip.AddrPort, 0, len(m.all))}
	for a := range m.all {
		o.all = append(o.all, a)
	}
	slices.SortFunc(o.all, netip.AddrPort.Compare)
	others := make(map[string]bool)
	for _, a := range o.all {
		dataCentre := m.all[a].DataCentre
		if dataCentre == m.dataCentre {
			o.local = append(o.local, a)
			continue
		}
		o.remote = append(o.remote, a)
		if dataCentre != "" {
			others[dataCentre] = true
		}
	}
	o.otherDataCentres = len(others)
	m.orders = o
	return o
}

// knownAddresses returns up to limit addresses of live members for a message. If there
// are more live members, each round gets a different selection.
func (m *members) knownAddresses(round uint64, limit int) []netip.AddrPort {
	order := m.ordered().all
	known := make([]netip.AddrPort, 0, limit)
	if len(order) == 0 {
		return known
	}
	// Successive rounds begin limit members later, so that all of them have their turn.
	start := int(round * uint64(limit) % uint64(len(order)))
	for n := range order {
		a := order[(start+n)%len(order)]
		if len(known) == limit {
			break
		}
		if m.all[a].Live {
			known = append(known, a)
		}
	}
	return known
}

// sharing returns the names of the live members that don't leave. complete is false if some
// member has fallen silent without having announced that it leaves.
func (m *members) sharing() (names []string, complete bool) {
	complete = true
	for _, peer := range m.all {
		switch {
		case peer.Name == "" || peer.Leaving:
		case peer.Live:
			names = append(names, peer.Name)
		default:
			complete = false
		}
	}
	return names, complete
}

// InstanceCounts holds the number of other instances by state.
type InstanceCounts struct {
	Live, Leaving int
	// Silent instances have sent messages, but none within LiveTimeout. Of Unconfirmed
	// instances only the address is known.
	Silent, Unconfirmed int
}

func (m *members) counts() InstanceCounts {
	var c InstanceCounts
	for _, peer := range m.all {
		switch {
		case peer.Live && peer.Leaving:
			c.Leaving++
		case peer.Live:
			c.Live++
		case peer.Name != "":
			c.Silent++
		default:
			c.Unconfirmed++
		}
	}
	return c
}

// confirmedAt returns when the store last responded to a live member whose
// configuration is not newer than the given one. Without such a member it returns the zero
// time.
func (m *members) confirmedAt(configuration catalog.ConfigurationVersion) time.Time {
	var newest time.Time
	for _, peer := range m.all {
		if peer.Live && !peer.Digest.Configuration.After(configuration) && peer.StoreResponseAt.After(newest) {
			newest = peer.StoreResponseAt
		}
	}
	return newest
}
