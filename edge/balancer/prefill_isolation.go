package balancer

// A chat streams its answer for a second or two, and its caller sees each pause. While an
// engine prefills prompts, each of its decode steps carries a chunk of them, and an event of a
// stream takes several steps. So a chat that was sent to an idle engine is late all the same if
// prompts arrive there while it runs. The queue at the time of the choice shows nothing of it.
// So the pauses to come count in the cost of an engine: they follow from the rate at which
// requests arrive there, from the length of the prompts that engines of its group get, and from
// the engine's speed. Urgent requests thus stay away from engines that get long prompts, and
// spread over the others, long before any of them has a queue.

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is the time in which recorded prompts lose half of their weight. It
	// is about as long as a burst takes to begin.
	arrivalHalfLife = 2 * time.Second
	// minArrivals is the decayed number of recorded prompts below which no pauses are
	// expected.
	minArrivals = 1.0
	// responseSeconds is about how long a response takes, in seconds.
	responseSeconds = 1.5
	// Most engines slow down now and then, for some tenths of a second. momentShare is the
	// share of these moments in the time, momentSlowness how much longer a step then takes.
	momentShare    = 0.15
	momentSlowness = 2.5
	// maxPrefillShare bounds the share of its time that an engine is expected to prefill.
	maxPrefillShare = 0.9
)

// prefillArrivals describes the prompts that this instance recently sent to one group of
// engines of a service: those that are reserved for one priority, or those that are not
// reserved.
type prefillArrivals struct {
	decayedAt time.Time
	// prompts counts the prompts, tokens sums their tokens that had to be prefilled. Both
	// decay over time.
	prompts, tokens float64
}

func (p *prefillArrivals) decay(now time.Time) {
	if age := now.Sub(p.decayedAt); age > 0 {
		weight := math.Exp2(-age.Seconds() / arrivalHalfLife.Seconds())
		p.prompts *= weight
		p.tokens *= weight
		p.decayedAt = now
	}
}

// engineGroup names a group of engines of a service. level is the priority index for which
// the engines are reserved.
type engineGroup struct {
	service string
	level   int
}

// recordPrefill records that an attempt adds a prompt to an engine.
func (b *Balancer) recordPrefill(a *Attempt, r Request, now time.Time) {
	if !a.grouped {
		return
	}
	group := engineGroup{r.Service.Name, a.level}
	arrivals, ok := b.prefills[group]
	if !ok {
		arrivals = &prefillArrivals{decayedAt: now}
		b.prefills[group] = arrivals
	}
	arrivals.decay(now)
	arrivals.prompts++
	arrivals.tokens += float64(a.prefillTokens)
}

// meanPrefills returns how many tokens of a prompt have to be prefilled at the groups of a
// service's engines, by level. It is nil if no engines are reserved, or if the request has no
// target for its event gaps.
func (b *Balancer) meanPrefills(r Request, reserved reservation, now time.Time) []float64 {
	if len(reserved) == 0 || r.MaxEventGap <= 0 {
		return nil
	}
	means := make([]float64, r.PriorityLevels)
	for level := range means {
		arrivals, ok := b.prefills[engineGroup{r.Service.Name, level}]
		if !ok {
			continue
		}
		arrivals.decay(now)
		if arrivals.prompts >= minArrivals {
			means[level] = arrivals.tokens / arrivals.prompts
		}
	}
	return means
}

// arrivalsPerSecond estimates how many requests of all instances the server gets in a second:
// those that ended count for as long as their statistics, those that run for their duration.
func (s *server) arrivalsPerSecond(now time.Time) float64 {
	s.localStats.decay(now)
	s.peerStats.decay(now)
	ended := s.localStats.sends + s.peerStats.sends
	return (ended + float64(s.totalLoad().Running)) / (statsHalfLife.Seconds()/math.Ln2 + responseSeconds)
}

// prefillPressure is what the prompts that arrive at an engine mean for its streams.
type prefillPressure struct {
	// perSecond is how many prompts arrive in a second, meanTokens how many of their tokens
	// have to be prefilled.
	perSecond, meanTokens float64
}

// pauseProbability returns how likely the prompts that arrive while the request runs make one
// of its event gaps longer than the target. Busy times of the engine begin at random and have
// exponentially distributed lengths.
func (p prefillPressure) pauseProbability(r Request, load Load, speed engineSpeed) float64 {
	if p.meanTokens == 0 {
		return 0
	}
	eventTokens := float64(r.Service.EventTokens)
	step := decodeStepMillis(load, r.Service.Slots) * speed.decode
	tokensPerMs := prefillTokensPerMs / speed.prefill
	prefillShare := min(p.perSecond*p.meanTokens/tokensPerMs/1000, maxPrefillShare)
	busyTokens := p.meanTokens / (1 - prefillShare)
	exceeds := func(slowness float64) float64 {
		allowed := (millis(r.MaxEventGap)/slowness - eventTokens*step) * tokensPerMs
		if allowed >= eventTokens*prefillChunkTokens {
			return 0
		}
		return math.Exp(-max(allowed, 0) / busyTokens)
	}
	tooLong := (1-momentShare)*exceeds(1) + momentShare*exceeds(momentSlowness)
	runningSeconds := float64(r.AnswerTokens) * step / (1 - prefillShare) / 1000
	busyTimes := p.perSecond * (1 - prefillShare) * runningSeconds
	return 1 - math.Exp(-busyTimes*tooLong)
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return d.Seconds() * 1000 }
