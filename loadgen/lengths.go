package loadgen

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// draw returns a length of at least one token.
func (l Lengths) draw(random *rand.Rand) int {
	tokens := int(float64(l.Median) * math.Exp(l.Sigma*random.NormFloat64()))
	if l.Max > 0 {
		tokens = min(tokens, l.Max)
	}
	return max(tokens, 1)
}

// Mean returns the distribution's mean in tokens, its bound left out.
func (l Lengths) Mean() float64 {
	return float64(l.Median) * math.Exp(l.Sigma*l.Sigma/2)
}

// rateAt returns the class's rate at a time since the start.
func (c *Class) rateAt(at time.Duration) float64 {
	rate := c.Rate
	for _, burst := range c.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// peakRate returns a bound on the class's rate.
func (c *Class) peakRate() float64 {
	peak := c.Rate
	for _, burst := range c.Bursts {
		peak *= max(burst.Factor, 1)
	}
	return peak
}

// nextArrival returns the arrival after at, or end if there is none before it.
// It thins a process of the peak rate.
func (c *Class) nextArrival(random *rand.Rand, at, end time.Duration) time.Duration {
	peak := c.peakRate()
	if peak <= 0 {
		return end
	}
	for at < end {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if random.Float64()*peak < c.rateAt(at) {
			break
		}
	}
	return min(at, end)
}

// pick returns an organisation by its share.
func (w *Workload) pick(random *rand.Rand) Organisation {
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

// Scale returns the workload with all rates multiplied.
func (w Workload) Scale(factor float64) Workload {
	classes := slices.Clone(w.Classes)
	for i := range classes {
		classes[i].Rate *= factor
	}
	w.Classes = classes
	return w
}

// ScaleTo returns the workload with its rates multiplied so that
// AnswerTokensPerSecond becomes the given one.
func (w Workload) ScaleTo(tokensPerSecond float64) Workload {
	return w.Scale(tokensPerSecond / w.AnswerTokensPerSecond())
}

// Shorten returns the workload with all lengths divided, for short runs.
func (w Workload) Shorten(factor float64) Workload {
	classes := slices.Clone(w.Classes)
	for i := range classes {
		c := &classes[i]
		c.Prompt = c.Prompt.shorten(factor)
		c.Answer = c.Answer.shorten(factor)
		c.PrefixTokens = int(float64(c.PrefixTokens) / factor)
		c.MaxTokens = int(float64(c.MaxTokens) / factor)
	}
	w.Classes = classes
	return w
}

func (l Lengths) shorten(factor float64) Lengths {
	l.Median = max(int(float64(l.Median)/factor), 1)
	l.Max = int(float64(l.Max) / factor)
	return l
}

// AnswerTokensPerSecond returns the mean rate of answers' tokens that the
// workload asks for outside bursts.
func (w Workload) AnswerTokensPerSecond() float64 {
	total := 0.0
	for _, class := range w.Classes {
		if !class.RouteSpec.Service {
			total += class.Rate * class.Answer.Mean()
		}
	}
	return total
}
