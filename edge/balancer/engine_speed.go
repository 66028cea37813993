package balancer

// The engines of a service may differ in speed by a factor of two or more, and from the engine
// type that the constants in choose.go describe. The time to the first event shows little of
// it, because most of that time is spent in queues. The gaps between events show it: most of
// them contain nothing but decode steps. So each instance learns the length of a decode step at
// each engine from the streams that it relays itself. The speed of an engine changes seldom, so
// that the few streams of one instance are enough.

import (
	"math"
	"time"
)

const (
	// usualGapQuantile is the share of the event gaps that are shorter than the one that is
	// learnt. It is below one half, because gaps with prefill are to be left out.
	usualGapQuantile = 0.35
	// firstGapStep and lastGapStep are how far, as a logarithm, the first gap and the later
	// ones move the estimate. gapStepPrior gaps count as seen before the first.
	firstGapStep = 0.6
	lastGapStep  = 0.03
	gapStepPrior = 2
	// minStepRatio and maxStepRatio bound the estimates.
	minStepRatio = 0.2
	maxStepRatio = 8.0
)

// stepRatio estimates the length of a decode step divided by that of a typical engine.
type stepRatio struct {
	// log is the logarithm of the ratio.
	log  float64
	gaps int
}

// record takes in that a gap was as many times as long as expected of a typical engine.
func (s *stepRatio) record(ratio float64) {
	step := max(firstGapStep*gapStepPrior/float64(s.gaps+gapStepPrior), lastGapStep)
	if math.Log(ratio) > s.log {
		s.log += usualGapQuantile * step
	} else {
		s.log -= (1 - usualGapQuantile) * step
	}
	s.log = min(max(s.log, math.Log(minStepRatio)), math.Log(maxStepRatio))
	s.gaps++
}

func (s *stepRatio) value() float64 { return math.Exp(s.log) }

// RecordEvent records that an event of the response arrived. RecordFirstEvent records the
// first one.
func (b *Balancer) RecordEvent(a *Attempt, now time.Time) {
	gap := now.Sub(a.lastEventAt)
	a.lastEventAt = now
	if !a.grouped || gap <= 0 {
		return
	}
	s := b.serverState(a.Key)
	ratio := millis(gap) / (float64(a.eventTokens) * decodeStepMillis(s.totalLoad(), a.Server.Slots))
	if ratio < minStepRatio {
		// The events were read at once, or it is the first event of a resumed stream once more.
		return
	}
	service := b.serviceSteps(a.Server.Service)
	if s.steps.gaps == 0 {
		s.steps.log = service.log
	}
	s.steps.record(ratio)
	service.record(ratio)
}

// serviceSteps returns the estimate over all engines of a service.
func (b *Balancer) serviceSteps(service string) *stepRatio {
	steps, ok := b.steps[service]
	if !ok {
		steps = &stepRatio{}
		b.steps[service] = steps
	}
	return steps
}

// engineSpeed describes an engine in comparison to a typical one.
type engineSpeed struct {
	// decode is the length of a decode step, and prefill the time to prefill a token, both
	// divided by those of a typical engine.
	decode, prefill float64
}

// engineSpeed returns the speed of a server of the service. An engine whose decode steps are
// longer than those of the service's other engines is as much slower to prefill.
func (b *Balancer) engineSpeed(s *server, service string, now time.Time) engineSpeed {
	slowness := s.slowness(now)
	steps := b.serviceSteps(service)
	if s.steps.gaps == 0 {
		return engineSpeed{decode: steps.value() * slowness, prefill: slowness}
	}
	return engineSpeed{decode: s.steps.value(), prefill: max(s.steps.value()/steps.value(), slowness)}
}
