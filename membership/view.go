package membership

import (
	"net/netip"
	"slices"
)

// State is the state of a member as this instance sees it.
type State uint8

// The states of a member.
const (
	// Live is a member that is neither Suspect nor Leaving.
	Live State = iota + 1
	// Suspect is a member that neither this instance nor others could reach, or
	// whose data centre is unreachable.
	Suspect
	// Leaving is a member that announced that it stops; it takes no new duties.
	Leaving
)

var stateNames = [...]string{"invalid", "live", "suspect", "leaving"}

// String returns the state's name in metrics and logs.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Member is one instance in a view.
type Member struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Incarnation rises with each start of a process at the address.
	Incarnation uint64
	State       State
	Ready       bool
	// Damped is true for a while after the member rejoined too often. A damped
	// member is given no duties.
	Damped bool
}

// Eligible reports whether the member may be given duties. A suspect is
// eligible because it is often healthy. A caller that gets no response from a
// suspect tries the next instance.
func (m Member) Eligible() bool { return m.Ready && !m.Damped && m.State != Leaving }

// View is an immutable snapshot of the members, including this instance.
type View struct {
	// Revision is higher in each later view of a Group.
	Revision uint64
	Self     Member
	// Members are sorted by data centre, name and address.
	Members []Member
	// KnownCount counts the instances of the local data centre, including those
	// that died recently without announcing a leave.
	KnownCount int

	unreachable []string
}

// InDataCentre returns the members of a data centre. The caller must not change
// the slice.
func (v *View) InDataCentre(name string) []Member {
	start := slices.IndexFunc(v.Members, func(m Member) bool { return m.DataCentre == name })
	if start < 0 {
		return nil
	}
	end := start
	for end < len(v.Members) && v.Members[end].DataCentre == name {
		end++
	}
	return v.Members[start:end:end]
}

// DataCentres returns the names of the data centres that have members.
func (v *View) DataCentres() []string {
	var names []string
	for _, m := range v.Members {
		if len(names) == 0 || names[len(names)-1] != m.DataCentre {
			names = append(names, m.DataCentre)
		}
	}
	return names
}

// Reachable reports whether a data centre is reachable. A data centre becomes
// unreachable if several consecutive heartbeats to its instances get no
// response. It becomes reachable again when a message from it arrives.
func (v *View) Reachable(dataCentre string) bool {
	return !slices.Contains(v.unreachable, dataCentre)
}

// Find returns the member at the address a, and whether the view has such a
// member.
func (v *View) Find(a netip.AddrPort) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Address == a })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Standalone reports whether this instance is the only one left in its data
// centre and at least one other was there recently. Instances that announced a
// leave do not count as others.
func (v *View) Standalone() bool {
	return v.KnownCount > 1 && len(v.InDataCentre(v.Self.DataCentre)) == 1
}
