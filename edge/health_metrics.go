package edge

import (
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/metrics"
)

// healthChangeCounts counts the health changes of servers and data centres by the
// new health.
type healthChangeCounts struct {
	mu     sync.Mutex
	counts map[balancer.Health]int64
}

// add counts one change after which the health is newHealth.
func (h *healthChangeCounts) add(newHealth balancer.Health) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = make(map[balancer.Health]int64)
	}
	h.counts[newHealth]++
}

func (h *healthChangeCounts) readings() []metrics.Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []metrics.Reading
	for health, n := range h.counts {
		out = append(out, metrics.CounterReading("standing_changes", "to", health.String(), n))
	}
	return out
}

// reportHealthChanges logs and counts the health changes of servers and data centres
// since the last call.
func (i *Instance) reportHealthChanges(snapshot *catalog.Snapshot, now time.Time) {
	changes := i.selector.HealthChanges(now)
	if len(changes) == 0 {
		return
	}
	names := serverNames(snapshot)
	for _, c := range changes {
		i.healthChanges.add(c.To)
		if c.Key == 0 {
			i.log.StateChanges.Info("data centre health changed", "data_centre", c.DataCentre, "was", c.From.String(), "is", c.To.String(),
				"silent_ms", c.SilentFor.Milliseconds())
			continue
		}
		i.log.StateChanges.Info("server health changed", "server", names[c.Key], "was", c.From.String(), "is", c.To.String(),
			"sends", c.Attempts, "failing", c.FailureProbability, "slowness", c.Slowness)
	}
}
