package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// remoteCycleRounds is the number of rounds that a full rotation over the instances
	// of other data centres takes. Several rotations have to fit into LiveTimeout, so
	// that the loss of one datagram does not make the sender count as silent.
	remoteCycleRounds = 5
	// maxKnownRemote bounds how many addresses of other instances a datagram to another
	// data centre holds.
	maxKnownRemote = 2
)

// summaryTargets returns the instances to which this one sends the summary of its
// data centre: one in each other data centre, or none if this instance is not a
// representative. Representatives are the live instances whose names have the
// lowest hashes.
func (n *Node) summaryTargets() []netip.AddrPort {
	membersByDataCentre := map[string][]*member{}
	for _, peer := range n.members.all {
		if peer.Live && !peer.Leaving {
			membersByDataCentre[peer.DataCentre] = append(membersByDataCentre[peer.DataCentre], peer)
		}
	}
	index := 0
	ownHash := xxhash.Sum64String(n.opts.Name)
	for _, peer := range membersByDataCentre[n.opts.DataCentre] {
		if xxhash.Sum64String(peer.Name) < ownHash {
			index++
		}
	}
	if index >= representativeCount {
		return nil
	}
	var targets []netip.AddrPort
	for dataCentre, peers := range membersByDataCentre {
		if dataCentre == n.opts.DataCentre {
			continue
		}
		slices.SortFunc(peers, func(a, b *member) int {
			return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
		})
		targets = append(targets, peers[index%len(peers)].Address)
	}
	return targets
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
	local, remote := n.members.byDataCentre(n.opts.DataCentre)
	total := len(local) + len(remote)
	if total <= maxDirectPeers {
		order := n.members.sorted()
		return plan{complete: n.members.local.next(order, max(fanout, int(float64(total)/cycleRounds)))}
	}
	cycle := float64(remoteCycleRounds)
	if storeAge < maxWatcherStoreAge {
		// This instance counts as a watcher of the metadata store. Other data centres
		// have to notice soon when a watcher stops, so a watcher sends to them more
		// often.
		cycle = cycleRounds
	}
	p := plan{
		complete:       local,
		withoutReports: n.members.remote.next(remote, int(float64(len(remote))/cycle)+1),
	}
	if n.sequence%representativeCount == 0 {
		p.summary = n.summaryTargets()
	}
	return p
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
	local, _ := n.members.byDataCentre(n.opts.DataCentre)
	n.mu.Unlock()
	for _, to := range local {
		n.send(raw, to)
	}
}
