package edge

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/metrics"
)

// standings counts the changes of how servers and data centres are held.
type standings struct {
	mu     sync.Mutex
	counts map[balancer.Health]int64
}

func (s *standings) add(is balancer.Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[balancer.Health]int64)
	}
	s.counts[is]++
}

func (s *standings) readings() []metrics.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metrics.Reading
	for is, n := range s.counts {
		out = append(out, metrics.CounterReading("standing_changes", "to", is.String(), n))
	}
	return out
}

// tellStandings logs and counts which servers and data centres are held
// differently than at the last look.
func (i *Instance) tellStandings(snapshot *catalog.Snapshot, now time.Time) {
	changes := i.chooser.HealthChanges(now)
	if len(changes) == 0 {
		return
	}
	names := make(map[uint64]string, len(snapshot.Servers))
	for _, b := range snapshot.Servers {
		names[balancer.ServerKey(b)] = b.ID
	}
	for _, c := range changes {
		i.standings.add(c.To)
		if c.Key == 0 {
			i.log.StateChanges.Info("data centre held", "data_centre", c.DataCentre, "was", c.From.String(), "is", c.To.String(),
				"silent_ms", c.SilentFor.Milliseconds())
			continue
		}
		i.log.StateChanges.Info("server held", "server", names[c.Key], "was", c.From.String(), "is", c.To.String(),
			"sends", c.Sends, "failing", c.FailureProbability, "slowness", c.Slowness)
	}
}
