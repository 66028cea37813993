package catalog

import "testing"

// TestPriorityIndexOfService checks that the index counts only the distinct priorities of
// the service's own routes.
func TestPriorityIndexOfService(t *testing.T) {
	s := newSnapshot()
	routeTo := func(service string, priority int) Route {
		return Route{Host: "h", PathPrefix: "/", Priority: priority, Targets: []Target{{Service: service, Weight: 1}}}
	}
	s.setConfiguration(Configuration{Routes: []Route{routeTo("m", 7), routeTo("m", 2), routeTo("m", 2), routeTo("m", 4), routeTo("other", 1)}}, 1)
	for _, test := range []struct {
		service       string
		priority      int
		index, levels int
	}{
		{"m", 2, 0, 3}, {"m", 4, 1, 3}, {"m", 7, 2, 3}, {"m", 3, 1, 3}, {"other", 1, 0, 1}, {"none", 1, 0, 0},
	} {
		if index, levels := s.PriorityIndex(test.service, test.priority); index != test.index || levels != test.levels {
			t.Errorf("priority %d of service %s: got index %d of %d, want index %d of %d", test.priority, test.service, index, levels, test.index, test.levels)
		}
	}
}
