package chaos

import (
	"net/netip"

	"bergamotpin.example/bergamotpin/demo"
)

// link is the path of messages from one instance to another.
type link struct{ from, to *demo.Instance }

// linkState holds the links that a step has cut and the instances that it has
// frozen.
type linkState struct {
	cut    map[link]bool
	frozen map[*demo.Instance]bool
}

func newLinkState() linkState {
	return linkState{cut: make(map[link]bool), frozen: make(map[*demo.Instance]bool)}
}

// connected reports whether two instances can exchange messages in both
// directions.
func (l linkState) connected(a, b *demo.Instance) bool {
	return !l.frozen[a] && !l.frozen[b] && !l.cut[link{a, b}] && !l.cut[link{b, a}]
}

// reachable returns the instances that a message from the given instance can
// reach, directly or through other instances. The given instance is included.
func (l linkState) reachable(sender *demo.Instance, instances []*demo.Instance) map[*demo.Instance]bool {
	reached := map[*demo.Instance]bool{sender: true}
	for queue := []*demo.Instance{sender}; len(queue) > 0; queue = queue[1:] {
		for _, instance := range instances {
			if !reached[instance] && l.connected(queue[0], instance) {
				reached[instance] = true
				queue = append(queue, instance)
			}
		}
	}
	return reached
}

// cutOneWay drops all messages from one instance to another.
func (s *step) cutOneWay(from, to *demo.Instance) {
	s.run.network.CutOneWay(peerAddress(from), peerAddress(to))
	s.links.cut[link{from, to}] = true
}

// cutBothWays drops all messages between two instances.
func (s *step) cutBothWays(a, b *demo.Instance) {
	s.cutOneWay(a, b)
	s.cutOneWay(b, a)
}

// freeze stops an instance's exchange of messages with the other instances.
func (s *step) freeze(instance *demo.Instance) {
	s.run.network.Freeze(peerAddress(instance))
	s.links.frozen[instance] = true
}

func peerAddress(instance *demo.Instance) netip.AddrPort { return instance.Current().PeerAddress() }
