package metrics

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reading is the present value of a counter or gauge that a part keeps itself.
type Reading struct {
	Name string
	// Tags tell readings of one name apart. A tag without a label is left out.
	Tags [maxTags]Tag
	// Count is a sum since the start, or a present level if Gauge is set.
	Count int64
	Gauge bool
}

// CounterReading returns the reading of a sum since the start, with one tag. An empty label
// leaves the tag out.
func CounterReading(name, label, value string, count int64) Reading {
	return Reading{Name: name, Tags: [maxTags]Tag{{Label: label, Value: value}}, Count: count}
}

// GaugeReading returns the reading of a present level, with one tag like CounterReading.
func GaugeReading(name, label, value string, level int64) Reading {
	r := CounterReading(name, label, value, level)
	r.Gauge = true
	return r
}

// maxTags is how many tags a reading may have.
const maxTags = 2

// Tag is a label with its value.
type Tag struct{ Label, Value string }

// Collector shows the counters that other parts keep. Their packages stay free of
// a metrics library, so that others can embed them.
type Collector struct {
	scope tally.Scope
	read  func() []Reading
	shown map[mirrorKey]*mirrored
}

type mirrorKey struct {
	name string
	tags [maxTags]Tag
}

// mirrored is a counter and how much of it was reported, or a gauge.
type mirrored struct {
	counter tally.Counter
	gauge   tally.Gauge
	last    int64
}

// show reports what is new of a reading.
func (m *mirrored) show(r Reading) {
	if r.Gauge {
		m.gauge.Update(float64(r.Count))
		return
	}
	m.counter.Inc(r.Count - m.last)
	m.last = r.Count
}

// NewCollector returns a collector of what read returns.
func (m *Metrics) NewCollector(read func() []Reading) *Collector {
	return &Collector{scope: m.scope, read: read, shown: make(map[mirrorKey]*mirrored)}
}

// Run reports the counters until ctx ends.
func (m *Collector) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		m.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Collector) report() {
	for _, r := range m.read() {
		key := mirrorKey{r.Name, r.Tags}
		shown, ok := m.shown[key]
		if !ok {
			shown = m.open(r)
			m.shown[key] = shown
		}
		shown.show(r)
	}
}

// open returns what a reading is shown in.
func (m *Collector) open(r Reading) *mirrored {
	tags := make(map[string]string, maxTags)
	for _, t := range r.Tags {
		if t.Label != "" {
			tags[t.Label] = t.Value
		}
	}
	scope := m.scope.Tagged(tags)
	if r.Gauge {
		return &mirrored{gauge: scope.Gauge(r.Name)}
	}
	return &mirrored{counter: scope.Counter(r.Name)}
}
