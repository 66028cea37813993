package lease

import (
	"slices"
	"time"
)

// maxPrevious bounds the machines in a record. Beyond it, a released lease is acquired only after
// its duration, which empties the list.
const maxPrevious = 8

// mayFollow reports whether this instance may acquire a released lease at once. It may not if its
// machine held the lease shortly before the one that released it: the receivers would see two
// holders act by turns.
func (l *Lease) mayFollow() bool {
	if l.opts.Machine == "" {
		return true
	}
	return len(l.record.Previous) < maxPrevious && !slices.Contains(l.record.Previous, l.opts.Machine)
}

// previousAtAcquisition returns the machines that may have acted within the lease's duration before
// this instance acquires it. If the lease expired, that is the last holder, which may have acted
// until its term ended; if it was released that long ago, it is nobody.
func (l *Lease) previousAtAcquisition() []string {
	if l.opts.Machine == "" || l.record.Holder == "" && l.hasExpired() {
		return nil
	}
	var previous []string
	if !l.hasExpired() {
		previous = slices.Clone(l.record.Previous)
	}
	if m := l.record.Machine; m != "" && m != l.opts.Machine && !slices.Contains(previous, m) {
		previous = append(previous, m)
	}
	return previous
}

// previousAtRenewal returns what a renewal, or a release, keeps of the list: nothing if the term
// has lasted for the lease's duration, since the others last acted before it began.
func (l *Lease) previousAtRenewal(term Term) []string {
	if time.Since(term.AcquiredAt) >= l.opts.Duration {
		return nil
	}
	return l.record.Previous
}
