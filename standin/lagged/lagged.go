// Package lagged keeps the recent history of a value, so that a stand-in can
// respond with the value as it was some time ago.
package lagged

import "time"

// sample is a value and the time from which it applied.
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

// New returns an empty history that keeps the values of the last retention.
func New[T any](retention time.Duration) *History[T] {
	return &History[T]{retention: retention}
}

// Add records that the value applies from now on.
func (h *History[T]) Add(now time.Time, value T) {
	h.prune(now)
	h.samples = append(h.samples, sample[T]{at: now, value: value})
}

// At returns the value that applied at t, and the time from which it applied.
// It returns false if no value was recorded until t.
func (h *History[T]) At(t time.Time) (value T, since time.Time, ok bool) {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].value, h.samples[i].at, true
		}
	}
	return value, since, false
}

// prune drops the samples that are too old for any t within the retention.
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
