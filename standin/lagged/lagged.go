// Package lagged keeps the recent history of a value, so that a stand-in can
// answer with the value as it was some time ago.
package lagged

import "time"

// sample is a value and the time from which it held.
type sample[T any] struct {
	at    time.Time
	value T
}

// History is the recent past of one value. It is not safe for concurrent use.
type History[T any] struct {
	keep    time.Duration
	samples []sample[T]
}

// New returns an empty history that answers for up to keep into the past.
func New[T any](keep time.Duration) *History[T] {
	return &History[T]{keep: keep}
}

// Add records that the value holds from now on.
func (h *History[T]) Add(now time.Time, value T) {
	h.prune(now)
	h.samples = append(h.samples, sample[T]{at: now, value: value})
}

// At returns the value that held at t and the time from which it held. It
// reports false if nothing was known then.
func (h *History[T]) At(t time.Time) (value T, since time.Time, ok bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].value, h.samples[i].at, true
		}
	}
	return value, since, false
}

// prune forgets the samples that no question can reach any more.
func (h *History[T]) prune(now time.Time) {
	oldest := now.Add(-h.keep)
	drop := 0
	for drop+1 < len(h.samples) && !h.samples[drop+1].at.After(oldest) {
		drop++
	}
	if drop > 0 {
		h.samples = append(h.samples[:0], h.samples[drop:]...)
	}
}
