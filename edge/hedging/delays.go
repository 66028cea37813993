package hedging

// A fixed delay fits no server: a long prompt takes fifty times as long as a short one, and
// servers of one service differ in speed. So the delay after which an answer is among the
// slowest is learnt, as a quantile of how the delays compare with those that were expected.
// What is learnt on few answers, or long ago, is not used.

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// delayWindow is how long answers are collected in one histogram. The last one and the
	// current one are used, so that what is learnt is at most twice as old.
	delayWindow = 30 * time.Second
	// maxRatio bounds the recorded ratios of observed to expected delay, in hundredths.
	maxRatio      = 100_000
	ratioUnit     = 100
	ratioDigits   = 1
	maxHistograms = 160
	// minAnswers is the least number of answers from which a quantile is taken.
	minAnswers = 20
	// quantileAge is how long a computed quantile is used.
	quantileAge = 500 * time.Millisecond
	// largePromptTokens separates the sizes of requests. Below it, a request's delay is
	// mostly that of the queue, above it that of its own prompt.
	largePromptTokens = 4096
)

// Class is a kind of request and its size at one service.
type Class struct {
	Service string
	// Kind is the name of the route's kind.
	Kind string
	Size Size
}

// Size is how long a request's prompt is.
type Size uint8

// Sizes of requests. AnySize stands for all of them.
const (
	AnySize Size = iota
	Small
	Large
)

// SizeOf returns the size of a request by the tokens of its prompt.
func SizeOf(promptTokens int) Size {
	if promptTokens >= largePromptTokens {
		return Large
	}
	return Small
}

// delayKey selects a histogram. A server of 0 stands for all servers, and a class with only a
// service for all its requests.
type delayKey struct {
	class  Class
	server uint64
}

// keysOf returns the histograms that hold a send's delay, the most specific one first.
func keysOf(s *Send) [4]delayKey {
	kind := Class{Service: s.Service, Kind: s.Kind}
	return [4]delayKey{{s.Class, s.Server}, {class: s.Class}, {class: kind}, {class: Class{Service: s.Service}}}
}

// delayTable holds the histograms of delays by class and server, at most maxHistograms.
type delayTable struct {
	histograms map[delayKey]*rotating
}

// rotating is a pair of histograms, of which the older one is dropped after each window.
type rotating struct {
	window            int64
	current, previous *hdrhistogram.Histogram
	lastUsed          time.Duration
	cached            cachedQuantiles
}

// cachedQuantiles are the quantile q and the median, computed at a time.
type cachedQuantiles struct {
	q                float64
	at               time.Duration
	quantile, median float64
}

func newRatios() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, ratioDigits) }

// at drops what has left the windows.
func (r *rotating) at(now time.Duration) {
	window := int64(now / delayWindow)
	switch {
	case window <= r.window:
		return
	case window == r.window+1:
		r.previous, r.current = r.current, r.previous
		r.current.Reset()
	default:
		r.previous.Reset()
		r.current.Reset()
	}
	r.window = window
}

func (r *rotating) count() int64 { return r.current.TotalCount() + r.previous.TotalCount() }

// quantiles returns a quantile and the median of the ratios in both histograms, as of
// quantileAge ago at most.
func (r *rotating) quantiles(q float64, now time.Duration) (quantile, median float64) {
	if c := r.cached; c.q != q || now-c.at >= quantileAge {
		both := newRatios()
		// Histograms of one size drop nothing.
		_ = both.Merge(r.previous)
		_ = both.Merge(r.current)
		r.cached = cachedQuantiles{q, now, float64(both.ValueAtQuantile(100*q)) / ratioUnit, float64(both.ValueAtQuantile(50)) / ratioUnit}
	}
	return r.cached.quantile, r.cached.median
}

// record records the ratio of a send's observed delay to that expected at its server.
func (t *delayTable) record(s *Send, observed time.Duration, now time.Duration) {
	ratio := int64(ratioUnit * observed.Seconds() / max(s.expected().Seconds(), minExpected.Seconds()))
	for _, key := range keysOf(s) {
		h := t.histogram(key, now)
		// The value is within the histogram's bounds.
		_ = h.current.RecordValue(min(max(ratio, 1), maxRatio))
	}
}

// histogram returns the histograms of a key, in place of the longest unused ones if there are
// too many.
func (t *delayTable) histogram(key delayKey, now time.Duration) *rotating {
	r, ok := t.histograms[key]
	if !ok {
		if len(t.histograms) >= maxHistograms {
			r = t.takeOldest()
		} else {
			r = &rotating{current: newRatios(), previous: newRatios()}
		}
		t.histograms[key] = r
	}
	r.at(now)
	r.lastUsed = now
	return r
}

// takeOldest removes the longest unused histograms and empties them. Those of all servers go
// last: a busy service has more servers than there are histograms, and would drop them for any
// service with few requests.
func (t *delayTable) takeOldest() *rotating {
	var oldest delayKey
	last, general := time.Duration(math.MaxInt64), true
	for key, r := range t.histograms {
		ofAll := key.server == 0
		if general && !ofAll || general == ofAll && r.lastUsed < last {
			oldest, last, general = key, r.lastUsed, ofAll
		}
	}
	r := t.histograms[oldest]
	delete(t.histograms, oldest)
	r.current.Reset()
	r.previous.Reset()
	r.cached = cachedQuantiles{}
	return r
}

// learntDelay is what is known of the delays of a send's like. The given share of them stays
// below delay.
type learntDelay struct {
	delay        time.Duration
	typicalRatio float64
}

// learnt returns the delay that the share q of a send's like stays below. It is false while too
// few answers are known.
func (t *delayTable) learnt(s *Send, q float64, now time.Duration) (learntDelay, bool) {
	// The quantile of n answers is not known beyond the largest of them.
	need := max(minAnswers, int64(1/(1-q)))
	for _, key := range keysOf(s) {
		r, ok := t.histograms[key]
		if !ok {
			continue
		}
		r.at(now)
		if r.count() < need {
			continue
		}
		expected := max(s.expected(), minExpected)
		ratio, typical := r.quantiles(q, now)
		return learntDelay{time.Duration(ratio * float64(expected)), typical}, true
	}
	return learntDelay{}, false
}
