package chaos

import (
	"net/netip"

	"bergamotpin.example/bergamotpin/demo"
)

// link is a pair of instances, in either order.
type link struct{ a, b *demo.Instance }

// links notes which links between instances a step has broken.
type links struct {
	cut    map[link]bool
	frozen map[*demo.Instance]bool
}

func newLinks() links {
	return links{cut: make(map[link]bool), frozen: make(map[*demo.Instance]bool)}
}

// stands reports whether two instances reach each other both ways.
func (l links) stands(a, b *demo.Instance) bool {
	return !l.frozen[a] && !l.frozen[b] && !l.cut[link{a, b}] && !l.cut[link{b, a}]
}

// reached returns the instances that word from one of them gets to.
func (l links) reached(from *demo.Instance, instances []*demo.Instance) map[*demo.Instance]bool {
	seen := map[*demo.Instance]bool{from: true}
	for queue := []*demo.Instance{from}; len(queue) > 0; queue = queue[1:] {
		for _, n := range instances {
			if !seen[n] && l.stands(queue[0], n) {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return seen
}

// cutOneWay loses what goes from one instance to the other.
func (s *step) cutOneWay(from, to *demo.Instance) {
	s.run.network.CutOneWay(peerAddress(from), peerAddress(to))
	s.links.cut[link{from, to}] = true
}

// cutBothWays loses all between two instances.
func (s *step) cutBothWays(a, b *demo.Instance) {
	s.cutOneWay(a, b)
	s.cutOneWay(b, a)
}

// freeze stops an instance's exchange with the others.
func (s *step) freeze(n *demo.Instance) {
	s.run.network.Freeze(peerAddress(n))
	s.links.frozen[n] = true
}

func peerAddress(n *demo.Instance) netip.AddrPort { return n.Current().PeerAddress() }
