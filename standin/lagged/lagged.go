// Package lagged keeps the recent history of a value, so that a stand-in can
// respond with the value as it was some time ago.
package lagged

import "time"

// sample is a value and the time at which it became the current value.
type sample[T any] struct {
	at    time.Time
	value T
}

// History is the recent history of one value. It is not safe for concurrent
// use.
type History[T any] struct {
	retention time.Duration
	samples   []sample[T]
}

// New returns an empty history. The history keeps values for the retention time
// after their replacement.
func New[T any](retention time.Duration) *History[T] {
	return &History[T]{retention: retention}
}

// Add records a value that replaces the previous one at the given time.
func (h *History[T]) Add(now time.Time, value T) {
	h.prune(now)
	h.samples = append(h.samples, sample[T]{at: now, value: value})
}

// At returns the value that was current at time t, and the time at which it
// became current. If the history has no value from time t or earlier, At returns
// false.
func (h *History[T]) At(t time.Time) (value T, since time.Time, ok bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].value, h.samples[i].at, true
		}
	}
	return value, since, false
}

// prune drops the samples that were replaced longer ago than the retention time.
func (h *History[T]) prune(now time.Time) {
	oldest := now.Add(-h.retention)
	drop := 0
	for drop+1 < len(h.samples) && !h.samples[drop+1].at.After(oldest) {
		drop++
	}
	if drop > 0 {
		h.samples = append(h.samples[:0], h.samples[drop:]...)
	}
}
