package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// directLimit is up to how many other instances each tells all others what it
	// does. Beyond, the speakers of each data centre tell the other ones.
	directLimit = 16
	// speakers is how many instances speak for a data centre in turn: if one dies
	// or freezes, the others go on, and none has to pass on too much.
	speakers = 4
	// farRounds is in how many rounds each instance of another data centre has its
	// turn: it has to hear several datagrams while it counts a peer as live.
	farRounds = 5
	// farKnown bounds the addresses in a datagram to another data centre.
	farKnown = 2
)

// speaksTo returns whom this instance tells its data centre's sums: one speaker
// of each other data centre, or nobody if it is no speaker itself.
func (b *Node) speaksTo() []netip.AddrPort {
	byDataCentre := map[string][]*member{}
	for _, e := range b.members.all {
		if e.Live && !e.Leaving {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], e)
		}
	}
	place := 0
	self := xxhash.Sum64String(b.opts.Name)
	for _, e := range byDataCentre[b.opts.DataCentre] {
		if xxhash.Sum64String(e.Name) < self {
			place++
		}
	}
	if place >= speakers {
		return nil
	}
	var out []netip.AddrPort
	for dataCentre, members := range byDataCentre {
		if dataCentre == b.opts.DataCentre {
			continue
		}
		slices.SortFunc(members, func(x, y *member) int {
			return cmp.Compare(xxhash.Sum64String(x.Name), xxhash.Sum64String(y.Name))
		})
		out = append(out, members[place%len(members)].Address)
	}
	return out
}

// plan is to whom a round goes.
type plan struct {
	// full are sent everything, light everything but what this instance does, and
	// digest the sums of the data centre.
	full, light, digest []netip.AddrPort
}

// planRound decides who is sent to in this round.
func (b *Node) planRound(storeAge time.Duration) plan {
	near, far := b.members.in(b.opts.DataCentre)
	all := len(near) + len(far)
	if all <= directLimit {
		order := b.members.sorted()
		return plan{full: b.members.near.next(order, max(fanout, int(float64(all)/turnRounds)))}
	}
	rounds := float64(farRounds)
	if storeAge < freshFor {
		// The others have to notice soon if one that follows the store no longer does.
		rounds = turnRounds
	}
	p := plan{
		full:  near,
		light: b.members.far.next(far, int(float64(len(far))/rounds)+1),
	}
	if b.sequence%speakers == 0 {
		p.digest = b.speaksTo()
	}
	return p
}

// takeDigest takes in the sums of another data centre. A speaker hands what came
// from there on to its own.
func (b *Node) takeDigest(m message, raw []byte, from netip.AddrPort, now time.Time) {
	if m.DataCentre == b.opts.DataCentre {
		return
	}
	b.opts.ReceiveSummary(m.DataCentre, m.Reports, now)
	if from != m.Address {
		return
	}
	b.mu.Lock()
	near, _ := b.members.in(b.opts.DataCentre)
	b.mu.Unlock()
	for _, to := range near {
		b.send(raw, to)
	}
}
