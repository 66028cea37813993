package membership

import (
	"net/netip"
	"slices"
)

// State is the state of a member as this instance sees it.
type State uint8

// The states of a member.
const (
	// Live is a member that is not known to be unresponsive.
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
	// Damped is true for a while after the member rejoined too often; it is
	// then given no duties.
	Damped bool
}

// Eligible reports whether the member may be given duties. A suspect may,
// because it is often healthy; a caller that gets no response from it tries the
// next instance.
func (m Member) Eligible() bool { return m.Ready && !m.Damped && m.State != Leaving }

// View is an immutable snapshot of the members, including this instance.
type View struct {
	// Revision is higher in each later view of a Group.
	Revision uint64
	Self     Member
	// Members are sorted by data centre, name and address.
	Members []Member
	// Known counts the instances of the local data centre, including those that
	// died recently without announcing a leave.
	Known int

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

// Reachable reports whether a data centre is reachable. It is unreachable after
// several consecutive heartbeats to its instances got no response, until a
// message from it arrives.
func (v *View) Reachable(dataCentre string) bool {
	return !slices.Contains(v.unreachable, dataCentre)
}

// Find returns the member at an address, and whether there is one.
func (v *View) Find(a netip.AddrPort) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Address == a })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Alone reports whether this is the only instance left in its data centre
// although others that announced no leave were there recently.
func (v *View) Alone() bool {
	return v.Known > 1 && len(v.InDataCentre(v.Self.DataCentre)) == 1
}
