package edge

import (
	"sync"

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

// readings are the counters that the parts keep.
func (i *Instance) readings() []metrics.Reading {
	dropped := i.log.Dropped()
	out := i.storeCalls.readings()
	for n, class := range [...]string{"successes", "failures", "beliefs"} {
		out = append(out, metrics.Reading{
			Name: "log_lines_dropped", Count: dropped[n],
			Tags: [2]metrics.Tag{{Label: "class", Value: class}},
		})
	}
	return append(out,
		metrics.Reading{Name: "connections_made", Count: i.client.Counters.Connected.Load()},
		metrics.Reading{Name: "connections_reused", Count: i.client.Counters.Reused.Load()},
		metrics.Reading{Name: "foreign_answers", Count: i.client.Counters.Foreign.Load()},
	)
}
