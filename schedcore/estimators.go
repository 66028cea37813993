package schedcore

import (
	"math"
	"math/bits"
	"time"
)

// random is the splitmix64 generator.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// float returns a number from 0 up to 1.
func (r *random) float() float64 { return float64(r.next()>>11) / (1 << 53) }

// meanMemory is the number of samples that a mean remembers.
const meanMemory = 128

// mean is an average that forgets old samples.
type mean struct {
	value  float64
	weight float64
}

func (m *mean) add(v, weight float64) {
	if weight <= 0 {
		return
	}
	m.weight = min(m.weight+weight, meanMemory)
	m.value += (v - m.value) * min(1, weight/m.weight)
}

// or returns the average, or d before the first sample.
func (m *mean) or(d float64) float64 {
	if m.weight == 0 {
		return d
	}
	return m.value
}

// line is a straight line through samples that forgets old ones. Its slope tends
// to a given one while the samples differ little in x.
type line struct {
	slope                float64 // before the samples tell
	weight, x, y, xx, xy float64
	// spread is the mean distance of the samples from the line.
	spread mean
}

func (l *line) add(x, y float64) {
	if l.weight > 0 {
		l.spread.add(math.Abs(y-l.at(x)), 1)
	}
	l.weight = min(l.weight+1, meanMemory)
	step := 1 / l.weight
	dx, dy := x-l.x, y-l.y
	l.x += dx * step
	l.y += dy * step
	l.xx += (dx*(x-l.x) - l.xx) * step
	l.xy += (dx*(y-l.y) - l.xy) * step
}

// slopeVariance is the variance in x from which the samples count more for the
// slope than the given one.
const slopeVariance = 30 * 30

// at returns the line's value. It does not fall with x and is not negative.
func (l *line) at(x float64) float64 {
	slope := max((l.xy+slopeVariance*l.slope)/(l.xx+slopeVariance), 0)
	return max(l.y+slope*(x-l.x), 0)
}

// rateMemory is the time that a rate remembers.
const rateMemory = 5 * time.Second

// rate measures events per second.
type rate struct {
	count float64
	at    time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.count += n
}

func (r *rate) decay(now time.Duration) {
	if now > r.at {
		r.count *= math.Exp(-float64(now-r.at) / float64(rateMemory))
		r.at = now
	}
}

func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.count / rateMemory.Seconds()
}

// Sizes of a histogram: four buckets for each power of two.
const (
	bucketsPerPower = 4
	bucketCount     = 24 * bucketsPerPower
	histogramMemory = 2000
	histogramEnough = 20
)

// histogram counts token numbers in buckets that grow geometrically.
type histogram struct {
	counts [bucketCount]float64
	total  float64
}

func bucketOf(v int) int {
	if v < bucketsPerPower {
		return max(v, 0)
	}
	power := bits.Len(uint(v)) - 1
	part := v >> (power - 2) & (bucketsPerPower - 1)
	return min((power-1)*bucketsPerPower+part, bucketCount-1)
}

// upperOf returns the first value above the bucket.
func upperOf(bucket int) int {
	if bucket < bucketsPerPower {
		return bucket + 1
	}
	power := bucket/bucketsPerPower + 1
	part := bucket % bucketsPerPower
	return (bucketsPerPower + part + 1) << (power - 2)
}

func (h *histogram) add(v int) {
	h.counts[bucketOf(v)]++
	h.total++
	if h.total >= histogramMemory {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
}

// quantile returns an upper bound of the q quantile, or zero while there are
// too few samples.
func (h *histogram) quantile(q float64) int {
	if h.total < histogramEnough {
		return 0
	}
	left := q * h.total
	for i, n := range h.counts {
		left -= n
		if left <= 0 {
			return upperOf(i)
		}
	}
	return upperOf(bucketCount - 1)
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(s float64) time.Duration {
	if s >= farFuture.Seconds() {
		return farFuture
	}
	return time.Duration(s * float64(time.Second))
}
