package gossip

import (
	"math/rand/v2"
	"net/netip"
)

// Relay is an instance to which requests can be handed on.
type Relay struct {
	Name string
	// Callers is where the instance takes callers' requests.
	Callers netip.AddrPort
}

// Relays returns the live instances that reach backend servers, in random order. Those of this
// data centre come first, unless most instances there are cut off: the few others would then
// get the requests of all of them. Instances with an older configuration than this one's are
// left out, so that no caller sees it go back.
func (n *Node) Relays() []Relay {
	own := n.opts.Catalog.Digest().Configuration
	n.mu.Lock()
	defer n.mu.Unlock()
	var local, remote []Relay
	localCutOff := 1
	for _, peer := range n.members.all {
		isLocal := peer.DataCentre == n.opts.DataCentre
		switch {
		case !peer.Live || peer.Leaving || !peer.Callers.IsValid(), own.After(peer.Digest.Configuration):
		case peer.CutOff && isLocal:
			localCutOff++
		case peer.CutOff:
		case isLocal:
			local = append(local, Relay{Name: peer.Name, Callers: peer.Callers})
		default:
			remote = append(remote, Relay{Name: peer.Name, Callers: peer.Callers})
		}
	}
	if localCutOff > len(local) {
		return shuffle(append(local, remote...))
	}
	return append(shuffle(local), shuffle(remote)...)
}

func shuffle(relays []Relay) []Relay {
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays
}
