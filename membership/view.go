package membership

import (
	"net/netip"
	"slices"
)

// State is what an instance is held to be.
type State uint8

// The states of a member.
const (
	// Live is a member that answers, as far as is known.
	Live State = iota + 1
	// Suspect is a member that neither answers nor is reached by others, or
	// whose data centre is unreachable.
	Suspect
	// Leaving is a member that announced its end and takes no new duties.
	Leaving
)

var stateNames = [...]string{"invalid", "live", "suspect", "leaving"}

// String returns the state's name as metrics and logs use it.
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
	// Damped marks a member that came back too often of late.
	Damped bool
}

// Eligible reports whether the member may be given duties. A suspect may: it
// is often healthy, and who is given no answer asks the next one.
func (m Member) Eligible() bool { return m.Ready && !m.Damped && m.State != Leaving }

// View is an immutable snapshot of the members, the own instance included.
type View struct {
	// Revision rises with each view of a Group.
	Revision uint64
	Self     Member
	// Members are sorted by data centre, name and address.
	Members []Member
	// Known counts the instances of the own data centre, those included that
	// died lately without announcing it.
	Known int

	unreachable []string
}

// InDataCentre returns the members of a data centre. The caller must not
// change them.
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

// Reachable reports whether a contact of the data centre answered lately.
func (v *View) Reachable(dataCentre string) bool {
	return !slices.Contains(v.unreachable, dataCentre)
}

// Find returns the member at an address.
func (v *View) Find(a netip.AddrPort) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Address == a })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Alone reports whether all other instances of the data centre are gone
// without having announced it.
func (v *View) Alone() bool {
	return v.Known > 1 && len(v.InDataCentre(v.Self.DataCentre)) == 1
}
