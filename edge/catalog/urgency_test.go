package catalog

import "testing"

// TestUrgencyOrdersByOrganisationThenRoute checks that the organisation's priority goes
// before the route's, and that the route's decides between equal ones.
func TestUrgencyOrdersByOrganisationThenRoute(t *testing.T) {
	urgent := Route{Host: "h", PathPrefix: "/a/", Priority: 0, Targets: []Target{{Service: "m", Weight: 1}}}
	idle := Route{Host: "h", PathPrefix: "/b/", Priority: 2, Targets: []Target{{Service: "m", Weight: 1}}}
	public := Route{Host: "h", PathPrefix: "/c/", Priority: 1, Public: true, Targets: []Target{{Service: "m", Weight: 1}}}
	first := Organisation{Name: "first", Keys: []string{"1"}, HasPriority: true}
	second := Organisation{Name: "second", Keys: []string{"2"}, Priority: 1, HasPriority: true}
	unranked := Organisation{Name: "unranked", Keys: []string{"3"}}
	s := newSnapshot()
	s.setConfiguration(Configuration{Routes: []Route{idle, public, urgent}, Organisations: []Organisation{second, unranked, first}}, 1)
	const wantLevels = 6
	for _, test := range []struct {
		route *Route
		org   Organisation
		want  int
	}{
		{&urgent, first, 0}, {&urgent, unranked, 0}, {&idle, first, 1}, {&urgent, second, 2}, {&public, Organisation{}, 3}, {&idle, second, 4}, {&idle, unranked, 5},
	} {
		if index, levels := s.UrgencyIndex("m", test.route, test.org); index != test.want || levels != wantLevels {
			t.Errorf("route with priority %d, organisation %q: got index %d of %d, want %d of %d",
				test.route.Priority, test.org.Name, index, levels, test.want, wantLevels)
		}
	}
}
