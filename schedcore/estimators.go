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

// unitFloat returns a number in [0, 1).
func (r *random) unitFloat() float64 { return float64(r.next()>>11) / (1 << 53) }

// meanMaxWeight is the greatest total weight of the samples in a mean. Beyond
// this weight, each new sample reduces the influence of the older samples.
const meanMaxWeight = 128

// decayingMean is an average in which old samples fade.
type decayingMean struct {
	value  float64
	weight float64
}

func (m *decayingMean) add(v, weight float64) {
	if weight <= 0 {
		return
	}
	m.weight = min(m.weight+weight, meanMaxWeight)
	m.value += (v - m.value) * min(1, weight/m.weight)
}

// valueOr returns the average, or the default value d before the first sample.
func (m *decayingMean) valueOr(d float64) float64 {
	if m.weight == 0 {
		return d
	}
	return m.value
}

// decayingLine is a straight line fitted to samples, in which old samples
// fade. Its slope stays near priorSlope while the samples vary little in x.
type decayingLine struct {
	priorSlope                                  float64 // slope assumed before there are samples
	weight, meanX, meanY, varianceX, covariance float64
	// deviation is the mean absolute distance of the samples from the line.
	deviation decayingMean
}

func (l *decayingLine) add(x, y float64) {
	if l.weight > 0 {
		l.deviation.add(math.Abs(y-l.predict(x)), 1)
	}
	l.weight = min(l.weight+1, meanMaxWeight)
	step := 1 / l.weight
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += dx * step
	l.meanY += dy * step
	l.varianceX += (dx*(x-l.meanX) - l.varianceX) * step
	l.covariance += (dx*(y-l.meanY) - l.covariance) * step
}

// priorVariance is a variance in x. If the samples have this variance, the
// samples and priorSlope have the same influence on the slope.
const priorVariance = 30 * 30

// predict returns the line's value at x. The value is never negative and never
// falls as x rises.
func (l *decayingLine) predict(x float64) float64 {
	slope := max((l.covariance+priorVariance*l.priorSlope)/(l.varianceX+priorVariance), 0)
	return max(l.meanY+slope*(x-l.meanX), 0)
}

// rateTimeConstant is the time constant of a rate's exponential decay.
const rateTimeConstant = 5 * time.Second

// decayingRate measures events per second.
type decayingRate struct {
	count     float64       // number of events, reduced by exponential decay
	updatedAt time.Duration // time up to which count has decayed
}

func (r *decayingRate) add(now time.Duration, n float64) {
	r.decay(now)
	r.count += n
}

func (r *decayingRate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.count *= math.Exp(-float64(now-r.updatedAt) / float64(rateTimeConstant))
		r.updatedAt = now
	}
}

func (r *decayingRate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.count / rateTimeConstant.Seconds()
}

// Dimensions of histogram, with four buckets for each power of two.
const (
	bucketsPerPower     = 4
	bucketCount         = 24 * bucketsPerPower
	histogramMaxSamples = 2000 // at this number all counts are halved, so that old samples fade
	histogramMinSamples = 20   // with fewer samples, quantile returns 0
)

// histogram counts numbers of tokens in buckets that grow geometrically.
type histogram struct {
	counts [bucketCount]float64
	total  float64
}

func bucketOf(v int) int {
	if v < bucketsPerPower {
		return max(v, 0)
	}
	power := bits.Len(uint(v)) - 1
	quarter := v >> (power - 2) & (bucketsPerPower - 1)
	return min((power-1)*bucketsPerPower+quarter, bucketCount-1)
}

// bucketEnd returns the first value above the bucket.
func bucketEnd(bucket int) int {
	if bucket < bucketsPerPower {
		return bucket + 1
	}
	power := bucket/bucketsPerPower + 1
	quarter := bucket % bucketsPerPower
	return (bucketsPerPower + quarter + 1) << (power - 2)
}

func (h *histogram) add(v int) {
	h.counts[bucketOf(v)]++
	h.total++
	if h.total >= histogramMaxSamples {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
}

// quantile returns an upper bound of the q-quantile of the samples. The argument
// q is a number from 0 to 1. If there are fewer than histogramMinSamples samples,
// quantile returns 0.
func (h *histogram) quantile(q float64) int {
	if h.total < histogramMinSamples {
		return 0
	}
	remaining := q * h.total
	for i, n := range h.counts {
		remaining -= n
		if remaining <= 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(bucketCount - 1)
}

func seconds(d time.Duration) float64 { return d.Seconds() }

func duration(s float64) time.Duration {
	if s >= farFuture.Seconds() {
		return farFuture
	}
	return time.Duration(s * float64(time.Second))
}
