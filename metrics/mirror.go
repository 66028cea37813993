package metrics

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reading is the present value of a counter that a part keeps itself.
type Reading struct {
	Name string
	// Tags tell counters of one name apart. A tag without a label is left out.
	Tags  [maxTags]Tag
	Count int64
}

// maxTags is how many tags a reading may have.
const maxTags = 2

// Tag is a label with its value.
type Tag struct{ Label, Value string }

// Mirror shows the counters that other parts keep. Their packages stay free of
// a metrics library, so that others can embed them.
type Mirror struct {
	scope tally.Scope
	read  func() []Reading
	shown map[mirrorKey]mirrored
}

type mirrorKey struct {
	name string
	tags [maxTags]Tag
}

// mirrored is a counter and how much of it was reported.
type mirrored struct {
	counter tally.Counter
	last    int64
}

// NewMirror returns a mirror of what read returns.
func (m *Metrics) NewMirror(read func() []Reading) *Mirror {
	return &Mirror{scope: m.scope, read: read, shown: make(map[mirrorKey]mirrored)}
}

// Run reports the counters until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
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

func (m *Mirror) report() {
	for _, r := range m.read() {
		key := mirrorKey{r.Name, r.Tags}
		shown, ok := m.shown[key]
		if !ok {
			shown.counter = m.counter(r)
		}
		shown.counter.Inc(r.Count - shown.last)
		shown.last = r.Count
		m.shown[key] = shown
	}
}

func (m *Mirror) counter(r Reading) tally.Counter {
	tags := make(map[string]string, maxTags)
	for _, t := range r.Tags {
		if t.Label != "" {
			tags[t.Label] = t.Value
		}
	}
	return m.scope.Tagged(tags).Counter(r.Name)
}
