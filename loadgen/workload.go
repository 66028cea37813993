package loadgen

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// drawLength returns a random length of at least one token.
func (l LengthDistribution) drawLength(random *rand.Rand) int {
	tokens := int(float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64()))
	if l.Max > 0 {
		tokens = min(tokens, l.Max)
	}
	return max(tokens, 1)
}

// Mean returns the mean of the distribution in tokens, without regard to Max.
func (l LengthDistribution) Mean() float64 {
	return float64(l.Median) * math.Exp(l.Sigma*l.Sigma/2)
}

// rateAt returns the arrival rate per second at a time of the run. The time
// counts from the start of the run.
func (c *Class) rateAt(at time.Duration) float64 {
	rate := c.Rate
	for _, burst := range c.Bursts {
		if at >= burst.Start && at < burst.Start+burst.Duration {
			rate *= burst.Factor
		}
	}
	return rate
}

// peakRate returns an upper bound of the arrival rate per second.
func (c *Class) peakRate() float64 {
	peak := c.Rate
	for _, burst := range c.Bursts {
		peak *= max(burst.Factor, 1)
	}
	return peak
}

// nextArrival returns the time of the next arrival after the previous arrival.
// If no arrival comes before the end of the run, nextArrival returns the time
// of the end. It draws arrivals at the peak rate and drops some at random, so
// that the remaining arrivals follow rateAt.
func (c *Class) nextArrival(random *rand.Rand, previous, end time.Duration) time.Duration {
	peak := c.peakRate()
	if peak <= 0 {
		return end
	}
	for previous < end {
		previous += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if random.Float64()*peak < c.rateAt(previous) {
			break
		}
	}
	return min(previous, end)
}

// drawOrganisation returns a random organisation. The probability of an
// organisation is proportional to Organisation.Share.
func (w *Workload) drawOrganisation(random *rand.Rand) Organisation {
	total := 0.0
	for _, o := range w.Organisations {
		total += o.Share
	}
	at := random.Float64() * total
	for _, o := range w.Organisations {
		if at < o.Share {
			return o
		}
		at -= o.Share
	}
	return w.Organisations[len(w.Organisations)-1]
}

// Scale returns the workload with all arrival rates multiplied by factor.
func (w Workload) Scale(factor float64) Workload {
	classes := slices.Clone(w.Classes)
	for i := range classes {
		classes[i].Rate *= factor
	}
	w.Classes = classes
	return w
}

// ScaleTo returns the workload with its arrival rates scaled so that
// AnswerTokensPerSecond returns tokensPerSecond.
func (w Workload) ScaleTo(tokensPerSecond float64) Workload {
	return w.Scale(tokensPerSecond / w.AnswerTokensPerSecond())
}

// Shorten returns the workload with all lengths divided by factor, for short
// runs.
func (w Workload) Shorten(factor float64) Workload {
	classes := slices.Clone(w.Classes)
	for i := range classes {
		c := &classes[i]
		c.PromptLengths = c.PromptLengths.shorten(factor)
		c.AnswerLengths = c.AnswerLengths.shorten(factor)
		c.PrefixTokens = int(float64(c.PrefixTokens) / factor)
		c.MaxTokens = int(float64(c.MaxTokens) / factor)
	}
	w.Classes = classes
	return w
}

func (l LengthDistribution) shorten(factor float64) LengthDistribution {
	l.Median = max(int(float64(l.Median)/factor), 1)
	l.Max = int(float64(l.Max) / factor)
	return l
}

// AnswerTokensPerSecond returns the mean number of answer tokens that callers
// request per second outside of bursts. Plain services don't count.
func (w Workload) AnswerTokensPerSecond() float64 {
	total := 0.0
	for _, class := range w.Classes {
		if !class.RouteSpec.Service {
			total += class.Rate * class.AnswerLengths.Mean()
		}
	}
	return total
}
