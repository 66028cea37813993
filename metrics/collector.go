package metrics

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reading is the current value of a counter or gauge that another package maintains.
type Reading struct {
	Name string
	// Tags distinguish the readings of one name. A tag with an empty label is left
	// out.
	Tags [maxTags]Tag
	// Value is the total since the start of the process, or the current value
	// if Gauge is set.
	Value int64
	Gauge bool
}

// CounterReading returns the reading of a counter with one tag. count is the total
// since the start of the process. With an empty label there is no tag.
func CounterReading(name, label, value string, count int64) Reading {
	return Reading{Name: name, Tags: [maxTags]Tag{{Label: label, Value: value}}, Value: count}
}

// GaugeReading returns the reading of a gauge with one tag. With an empty label there
// is no tag.
func GaugeReading(name, label, value string, current int64) Reading {
	r := CounterReading(name, label, value, current)
	r.Gauge = true
	return r
}

// maxTags is the maximum number of tags of a reading.
const maxTags = 2

// Tag is a label with its value.
type Tag struct{ Label, Value string }

// Collector exports the counters and gauges that other packages maintain. These
// packages don't depend on a metrics library, so that other programs can embed them.
type Collector struct {
	scope    tally.Scope
	read     func() []Reading
	exported map[readingKey]*exportedMetric
}

type readingKey struct {
	name string
	tags [maxTags]Tag
}

// exportedMetric is either a gauge, or a counter together with its last reported total.
type exportedMetric struct {
	counter   tally.Counter
	gauge     tally.Gauge
	lastTotal int64
}

// update reports a reading: the value of a gauge, or the increase of a counter.
func (m *exportedMetric) update(r Reading) {
	if r.Gauge {
		m.gauge.Update(float64(r.Value))
		return
	}
	m.counter.Inc(r.Value - m.lastTotal)
	m.lastTotal = r.Value
}

// NewCollector returns a collector that exports the readings that read returns.
func (m *Metrics) NewCollector(read func() []Reading) *Collector {
	return &Collector{scope: m.scope, read: read, exported: make(map[readingKey]*exportedMetric)}
}

// Run reports the readings every reportInterval until ctx ends.
func (c *Collector) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		c.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Collector) report() {
	for _, r := range c.read() {
		key := readingKey{r.Name, r.Tags}
		metric, ok := c.exported[key]
		if !ok {
			metric = c.newMetric(r)
			c.exported[key] = metric
		}
		metric.update(r)
	}
}

// newMetric creates the counter or gauge for a reading.
func (c *Collector) newMetric(r Reading) *exportedMetric {
	tags := make(map[string]string, maxTags)
	for _, t := range r.Tags {
		if t.Label != "" {
			tags[t.Label] = t.Value
		}
	}
	scope := c.scope.Tagged(tags)
	if r.Gauge {
		return &exportedMetric{gauge: scope.Gauge(r.Name)}
	}
	return &exportedMetric{counter: scope.Counter(r.Name)}
}
