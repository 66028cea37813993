package edge

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/choice"
	"bergamotpin.example/bergamotpin/directory"
	"bergamotpin.example/bergamotpin/metrics"
)

// standings counts the changes of how servers and data centres are held.
type standings struct {
	mu     sync.Mutex
	counts map[choice.Standing]int64
}

func (s *standings) add(is choice.Standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[choice.Standing]int64)
	}
	s.counts[is]++
}

func (s *standings) readings() []metrics.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metrics.Reading
	for is, n := range s.counts {
		out = append(out, metrics.Count("standing_changes", "to", is.String(), n))
	}
	return out
}

// tellStandings logs and counts which servers and data centres are held
// differently than at the last look.
func (i *Instance) tellStandings(snapshot *directory.Snapshot, now time.Time) {
	changes := i.chooser.Standings(now)
	if len(changes) == 0 {
		return
	}
	names := make(map[uint64]string, len(snapshot.Servers))
	for _, b := range snapshot.Servers {
		names[choice.ServerKey(b)] = b.ID
	}
	for _, c := range changes {
		i.standings.add(c.Is)
		if c.Key == 0 {
			i.log.Beliefs.Info("data centre held", "data_centre", c.DataCentre, "was", c.Was.String(), "is", c.Is.String(),
				"silent_ms", c.Silent.Milliseconds())
			continue
		}
		i.log.Beliefs.Info("server held", "server", names[c.Key], "was", c.Was.String(), "is", c.Is.String(),
			"sends", c.Sends, "failing", c.Failing, "slowness", c.Slowness)
	}
}
