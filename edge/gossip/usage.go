package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/edge/usage"
)

const (
	// usageSlack allows for rounds that come a little early.
	usageSlack = interval / 2
	// maxDeputies is how many instances beside the holder of the duties get the sums.
	maxDeputies = 3
)

// usageNotice returns what the instance's datagrams state about the duties.
func (n *Node) usageNotice(now time.Time) usage.Message {
	if n.opts.Usage == nil {
		return usage.Message{}
	}
	return usage.Message{Notice: n.opts.Usage.Notice(now)}
}

// sendUsageIfDue sends the sums of usage if the last ones were sent long enough ago. final is set
// if the instance counts no more.
func (n *Node) sendUsageIfDue(now time.Time, final bool) {
	if n.opts.Usage == nil {
		return
	}
	n.mu.Lock()
	due := now.Sub(n.usageSentAt) >= usage.SumsInterval(len(n.members.all))-usageSlack
	if !due && !final {
		n.mu.Unlock()
		return
	}
	n.usageSentAt = now
	holder := n.opts.Usage.Holder()
	targets := n.usageTargets(holder)
	n.mu.Unlock()
	for _, m := range n.opts.Usage.OwnSums(now, final) {
		n.sendUsage(m, targets)
	}
	if holder.IsValid() && holder != n.opts.Address {
		for _, m := range n.opts.Usage.SilentSums(now) {
			n.sendUsage(m, []netip.AddrPort{holder})
		}
	}
}

// usageTargets returns the holder of the duties and its deputies: the live instance with the
// lowest hash in each data centre, and then those with the lowest hashes of all. So most of them
// stay the same, and the loss of a data centre leaves some.
func (n *Node) usageTargets(holder netip.AddrPort) []netip.AddrPort {
	lowest := make(map[string]*member)
	var chosen []*member
	for _, peer := range n.members.all {
		if !peer.Live || peer.Leaving || peer.Address == holder {
			continue
		}
		if best := lowest[peer.DataCentre]; best == nil || peer.nameHash < best.nameHash {
			lowest[peer.DataCentre] = peer
		}
	}
	for _, peer := range lowest {
		chosen = append(chosen, peer)
	}
	chosen = lowestHashes(chosen, maxDeputies)
	if len(chosen) < maxDeputies {
		chosen = n.fillDeputies(chosen, holder)
	}
	targets := make([]netip.AddrPort, 0, maxDeputies+1)
	if holder.IsValid() && holder != n.opts.Address {
		targets = append(targets, holder)
	}
	for _, peer := range chosen {
		targets = append(targets, peer.Address)
	}
	return targets
}

// fillDeputies adds the live instances with the lowest hashes that are not chosen yet.
func (n *Node) fillDeputies(chosen []*member, holder netip.AddrPort) []*member {
	var others []*member
	for _, peer := range n.members.all {
		if peer.Live && !peer.Leaving && peer.Address != holder && !slices.Contains(chosen, peer) {
			others = append(others, peer)
		}
	}
	return append(chosen, lowestHashes(others, maxDeputies-len(chosen))...)
}

// lowestHashes returns the n members with the lowest name hashes.
func lowestHashes(all []*member, n int) []*member {
	slices.SortFunc(all, func(a, b *member) int { return cmp.Compare(a.nameHash, b.nameHash) })
	return all[:min(n, len(all))]
}

func (n *Node) sendUsage(m usage.Message, targets []netip.AddrPort) {
	first, moved := n.cluster.stated()
	n.sendAll(message{
		Cluster: first, Moved: moved, Name: n.opts.Name, Started: n.started, Address: n.opts.Address,
		DataCentre: n.opts.DataCentre, Usage: m,
	}, targets)
}

// receiveUsage takes in what a datagram says about the duties. It reports whether that is all
// that the datagram holds.
func (n *Node) receiveUsage(m message, now time.Time) (only bool) {
	if len(m.Usage.Sums) > 0 {
		if n.opts.Usage != nil {
			n.opts.Usage.ReceiveSums(m.Name, m.Usage.Sums, now)
		}
		return true
	}
	if n.opts.Usage != nil && m.Usage.Notice.UnixMs > 0 {
		n.opts.Usage.ReceiveNotice(m.Name, m.Usage.Notice, now)
	}
	return false
}
