package edge

import (
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/metrics"
)

// storeCall is a type of call to the metadata store together with its result.
type storeCall struct{ call, result string }

// storeCalls counts the calls to the metadata store by type and result.
type storeCalls struct {
	mu     sync.Mutex
	counts map[storeCall]int64
}

func (s *storeCalls) add(call, result string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[storeCall]int64)
	}
	s.counts[storeCall{call, result}]++
}

func (s *storeCalls) readings() []metrics.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []metrics.Reading
	for key, n := range s.counts {
		out = append(out, metrics.Reading{
			Name: "store_calls", Value: n,
			Tags: [2]metrics.Tag{{Label: "call", Value: key.call}, {Label: "result", Value: key.result}},
		})
	}
	return out
}

// readings returns the current values of the counters and gauges that the instance's
// components maintain.
func (i *Instance) readings() []metrics.Reading {
	now := time.Now()
	out := slices.Concat(i.storeCalls.readings(), i.logReadings(), i.peerReadings(), i.healthChanges.readings(), i.eraChanges.readings(), i.originReadings(), i.unreadable.readings(), i.memoryReadings())
	for _, remaining := range i.selector.RetryBudgetsLeft(now) {
		out = append(out, metrics.GaugeReading("retries_left", "service", remaining.Service, int64(remaining.Retries)))
	}
	leaving, resting := i.states.Counts()
	return append(out,
		metrics.GaugeReading("servers_that_leave", "", "", int64(leaving)),
		metrics.GaugeReading("servers_that_ask_for_time", "", "", int64(resting)),
		metrics.GaugeReading("configuration_version", "", "", int64(i.catalog.Snapshot().Version)),
		metrics.GaugeReading("configuration_age_ms", "", "", i.gossip.ConfigurationAge(now).Milliseconds()),
		metrics.GaugeReading("servers_limited", "", "", int64(i.limits.Count())),
		metrics.GaugeReading("cut_off_from_servers", "", "", boolGauge(i.reach.CutOff())),
		metrics.GaugeReading("settings_that_need_restart", "", "", i.needRestart.Load()),
		metrics.GaugeReading("requests_open", "", "", int64(i.connections.OpenRequests())),
		metrics.CounterReading("connections_made", "", "", i.client.Counters.Connected.Load()),
		metrics.CounterReading("connections_reused", "", "", i.client.Counters.Reused.Load()),
		metrics.CounterReading("foreign_answers", "", "", i.client.Counters.Mismatched.Load()),
	)
}

// logReadings returns how many log lines of each class were dropped.
func (i *Instance) logReadings() []metrics.Reading {
	var out []metrics.Reading
	dropped := i.log.Dropped()
	for n, class := range [...]string{"successes", "failures", "beliefs"} {
		out = append(out, metrics.CounterReading("log_lines_dropped", "class", class, dropped[n]))
	}
	return out
}

// peerReadings returns the number of other instances in each state.
func (i *Instance) peerReadings() []metrics.Reading {
	counts := i.gossip.PeerCounts()
	return []metrics.Reading{
		metrics.GaugeReading("peers", "state", "live", int64(counts.Live)),
		metrics.GaugeReading("peers", "state", "leaving", int64(counts.Leaving)),
		metrics.GaugeReading("peers", "state", "silent", int64(counts.Silent)),
		metrics.GaugeReading("peers", "state", "unheard", int64(counts.Unconfirmed)),
	}
}
