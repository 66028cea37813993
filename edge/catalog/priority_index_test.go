package catalog

import "testing"

func TestPositionAmongTheRanksOfAService(t *testing.T) {
	s := newSnapshot()
	to := func(service string, rank int) Route {
		return Route{Host: "h", PathPrefix: "/", Priority: rank, Targets: []Target{{Service: service, Weight: 1}}}
	}
	s.setConfiguration(Configuration{Routes: []Route{to("m", 7), to("m", 2), to("m", 2), to("m", 4), to("other", 1)}}, 1)
	for _, c := range []struct {
		service         string
		rank            int
		position, ranks int
	}{
		{"m", 2, 0, 3}, {"m", 4, 1, 3}, {"m", 7, 2, 3}, {"m", 3, 1, 3}, {"other", 1, 0, 1}, {"none", 1, 0, 0},
	} {
		if position, ranks := s.PriorityIndex(c.service, c.rank); position != c.position || ranks != c.ranks {
			t.Errorf("rank %d of %s: position %d of %d, want %d of %d", c.rank, c.service, position, ranks, c.position, c.ranks)
		}
	}
}
