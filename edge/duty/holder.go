package duty

import (
	"context"
	"time"

	"bergamotpin.example/bergamotpin/lease"
)

// leaseName is the name of the lease of all duties.
const leaseName = "holder"

// Term is a period in which this instance holds the duties.
type Term struct {
	// FencingToken is higher than those of all earlier terms of any instance.
	FencingToken int64
	// ValidUntil is the time on the monotonic clock at which the instance must have stopped.
	ValidUntil time.Time
	// HeldSince is when this instance learnt that its term had begun.
	HeldSince time.Time
}

// Terms returns the current term. It reports false if this instance holds no duties at the
// given time.
type Terms interface {
	Term(now time.Time) (Term, bool)
}

// HolderOptions configures a Holder. All fields are required.
type HolderOptions struct {
	Store lease.Store
	// Process names this process. No other process, also of the same instance, has the name.
	Process string
	// Machine names the machine, however often its process starts.
	Machine string
	// LeaseTime is how long a term lasts without renewal.
	LeaseTime time.Duration
	// Candidate reports whether this instance should try to become the holder.
	Candidate func() bool
	// Suspended returns for how long the machine has been suspended so far.
	Suspended func() time.Duration
	// Quiet waits for a call that is under way, and reports whether none is left that may be
	// executed later.
	Quiet func() bool
}

// Holder competes for the duties on behalf of one instance. It is safe for concurrent use.
type Holder struct {
	lease     *lease.Lease
	candidate func() bool
}

// NewHolder returns a holder that holds nothing. Run must be called for it to compete.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{candidate: o.Candidate, lease: lease.New(lease.Options{
		Store: o.Store, Name: leaseName, Holder: o.Process, Machine: o.Machine, Duration: o.LeaseTime,
		Suspended: o.Suspended, Quiet: o.Quiet,
	})}
}

// Run competes for the duties until ctx ends, and hands them over then. A holder keeps them as
// long as it can renew its term, also if it is no candidate any more.
func (h *Holder) Run(ctx context.Context) {
	h.lease.Run(ctx, func() bool {
		_, held := h.lease.CurrentTerm()
		return held || h.candidate()
	})
}

// Term returns the current term. It reports false if there is none.
func (h *Holder) Term(now time.Time) (Term, bool) {
	t, held := h.lease.CurrentTerm()
	if !held || !now.Before(t.ValidUntil) {
		return Term{}, false
	}
	return Term{FencingToken: t.FencingToken, ValidUntil: t.ValidUntil, HeldSince: t.AcquiredAt}, true
}

// Counters returns how often the lease was acquired, renewed and lost.
func (h *Holder) Counters() *lease.Counters { return &h.lease.Counters }
