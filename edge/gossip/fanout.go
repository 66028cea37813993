package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// If there are at most maxDirectPeers other instances, each instance sends its
	// reports to all of them. If there are more, each instance sends its
	// reports only within its data centre, and the representatives of each data centre
	// send summaries to the other data centres.
	maxDirectPeers = 16
	// representativeCount is the number of instances that send the summary of their data
	// centre. With several representatives, summaries still arrive if one crashes or
	// freezes, and none has to send too many datagrams.
	representativeCount = 4
	// In a round, an instance sends its reports to at least minLocalFanout instances of its
	// data centre, and to at least one in localCycleRounds of them. So reports are at most
	// two rounds old when they are sent.
	minLocalFanout   = 16
	localCycleRounds = 2
	// remoteCycleRounds is the number of rounds that a full rotation over the instances
	// of other data centres takes. Several rotations have to fit into remoteLiveTimeout, so
	// that the loss of one datagram does not make the sender count as silent.
	remoteCycleRounds = 10
	// dataCentresPerRound is the number of other data centres whose summaries each instance
	// gets in one round.
	dataCentresPerRound = 2
	// maxKnownRemote bounds how many addresses of other instances a datagram to another
	// data centre holds.
	maxKnownRemote = 2
)

// summaryTargets returns the instances to which this one sends the summary of its
// data centre: one in each other data centre, or none if this instance is not a
// representative. Representatives are the live instances whose names have the
// lowest hashes.
func (n *Node) summaryTargets() []netip.AddrPort {
	index, represents := n.representativeIndex()
	if !represents {
		return nil
	}
	membersByDataCentre := map[string][]*member{}
	for _, peer := range n.members.all {
		if peer.Live && !peer.Leaving && peer.DataCentre != n.opts.DataCentre {
			membersByDataCentre[peer.DataCentre] = append(membersByDataCentre[peer.DataCentre], peer)
		}
	}
	var targets []netip.AddrPort
	for _, peers := range membersByDataCentre {
		slices.SortFunc(peers, func(a, b *member) int { return cmp.Compare(a.nameHash, b.nameHash) })
		targets = append(targets, peers[index%len(peers)].Address)
	}
	return targets
}

// representativeIndex returns this instance's position among the representatives of its data
// centre, or false if it is none of them.
func (n *Node) representativeIndex() (index int, represents bool) {
	for _, a := range n.members.ordered().local {
		peer := n.members.all[a]
		if peer.Live && !peer.Leaving && peer.nameHash < n.nameHash {
			index++
		}
	}
	return index, index < representativeCount
}

// plan lists the recipients of a round's datagrams.
type plan struct {
	// complete lists the instances that get the whole message, withoutReports those
	// that get the message without reports, and summary those that get the summary of
	// this data centre.
	complete, withoutReports, summary []netip.AddrPort
}

// planRound chooses the recipients of this round.
func (n *Node) planRound(storeAge time.Duration) plan {
	order := n.members.ordered()
	if total := len(order.all); total <= maxDirectPeers {
		return plan{complete: n.members.local.next(order.all, max(fanout, int(float64(total)/cycleRounds)))}
	}
	cycle := float64(remoteCycleRounds)
	if storeAge < maxWatcherStoreAge {
		// This instance counts as a watcher of the metadata store. Other data centres
		// have to notice soon when a watcher stops, so a watcher sends to them more
		// often.
		cycle = cycleRounds
	}
	p := plan{
		complete:       n.members.local.next(order.local, max(minLocalFanout, (len(order.local)+localCycleRounds-1)/localCycleRounds)),
		withoutReports: n.members.remote.next(order.remote, int(float64(len(order.remote))/cycle)+1),
	}
	if n.sequence%n.summaryRounds() == 0 {
		p.summary = n.summaryTargets()
	}
	return p
}

// summaryRounds returns the number of rounds between two summaries of one representative. All
// representatives of a data centre together send one each round, or less often if there are many
// data centres.
func (n *Node) summaryRounds() uint64 {
	others := n.members.ordered().otherDataCentres
	return representativeCount * uint64(max((others+dataCentresPerRound-1)/dataCentresPerRound, 1))
}

// handleSummary processes a summary of another data centre. If the datagram came from
// the instance that made the summary, this instance forwards it to the other instances
// of its own data centre.
func (n *Node) handleSummary(m message, raw []byte, from netip.AddrPort, now time.Time) {
	if m.DataCentre == n.opts.DataCentre {
		return
	}
	n.opts.ReceiveSummary(m.DataCentre, m.Reports, now)
	if from != m.Address {
		return
	}
	n.mu.Lock()
	local := n.members.ordered().local
	n.mu.Unlock()
	for _, to := range local {
		n.send(raw, to)
	}
}
