package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// buildView returns a view of the table at the time now. In the view, live
// members of unreachable data centres are suspects.
func (t *memberTable) buildView(now time.Time, unreachable []string) *View {
	v := &View{
		Revision:    t.revision,
		Self:        toMember(t.self),
		unreachable: unreachable,
		KnownCount:  1,
	}
	v.Members = append(v.Members, v.Self)
	for _, e := range t.entries {
		if e.DataCentre == t.self.DataCentre && (e.Condition != dead || e.countsAsKnown) {
			v.KnownCount++
		}
		if e.Condition == dead {
			continue
		}
		m := toMember(e.record)
		m.Damped = now.Before(e.dampedUntil)
		if m.State == Live && slices.Contains(unreachable, m.DataCentre) {
			m.State = Suspect
		}
		v.Members = append(v.Members, m)
	}
	slices.SortFunc(v.Members, compareMembers)
	return v
}

func compareMembers(a, b Member) int {
	return cmp.Or(
		strings.Compare(a.DataCentre, b.DataCentre),
		strings.Compare(a.Name, b.Name),
		a.Address.Compare(b.Address),
	)
}

func toMember(r record) Member {
	m := Member{
		Name:        r.Name,
		Address:     r.Address,
		DataCentre:  r.DataCentre,
		Incarnation: r.Incarnation,
		State:       Live,
		Ready:       r.Ready,
	}
	if r.Condition == suspected {
		m.State = Suspect
	}
	if r.Leaving {
		m.State = Leaving
	}
	return m
}
