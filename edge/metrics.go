package edge

import (
	"slices"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/metrics"
)

// storeCall is one kind of call to the store and its result.
type storeCall struct{ call, result string }

// storeCalls counts the calls to the store.
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
	for k, n := range s.counts {
		out = append(out, metrics.Reading{
			Name: "store_calls", Count: n,
			Tags: [2]metrics.Tag{{Label: "call", Value: k.call}, {Label: "result", Value: k.result}},
		})
	}
	return out
}

// readings are the counters and gauges that the parts keep.
func (i *Instance) readings() []metrics.Reading {
	now := time.Now()
	out := slices.Concat(i.storeCalls.readings(), i.logReadings(), i.peerReadings(), i.standings.readings())
	for _, left := range i.chooser.RetriesLeft(now) {
		out = append(out, metrics.GaugeReading("retries_left", "service", left.Service, int64(left.Sends)))
	}
	return append(out,
		metrics.GaugeReading("configuration_version", "", "", int64(i.table.Snapshot().Version)),
		metrics.GaugeReading("configuration_age_ms", "", "", i.beacon.ConfigurationAge(now).Milliseconds()),
		metrics.GaugeReading("requests_open", "", "", int64(i.open.open())),
		metrics.CounterReading("connections_made", "", "", i.client.Counters.Connected.Load()),
		metrics.CounterReading("connections_reused", "", "", i.client.Counters.Reused.Load()),
		metrics.CounterReading("foreign_answers", "", "", i.client.Counters.Mismatched.Load()),
	)
}

func (i *Instance) logReadings() []metrics.Reading {
	var out []metrics.Reading
	dropped := i.log.Dropped()
	for n, class := range [...]string{"successes", "failures", "beliefs"} {
		out = append(out, metrics.CounterReading("log_lines_dropped", "class", class, dropped[n]))
	}
	return out
}

func (i *Instance) peerReadings() []metrics.Reading {
	counts := i.beacon.Counts()
	return []metrics.Reading{
		metrics.GaugeReading("peers", "state", "live", int64(counts.Live)),
		metrics.GaugeReading("peers", "state", "leaving", int64(counts.Leaving)),
		metrics.GaugeReading("peers", "state", "silent", int64(counts.Silent)),
		metrics.GaugeReading("peers", "state", "unheard", int64(counts.Unconfirmed)),
	}
}
