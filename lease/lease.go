package lease

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

const (
	// DefaultDuration is how long a lease is valid after it was acquired or
	// renewed.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the end of the lease the holder stops
	// acting.
	DefaultMargin = 3 * time.Second
	// renewDivisor sets when the holder renews a lease: after the lease's
	// duration divided by renewDivisor.
	renewDivisor = 3
	// minStepInterval is the shortest time that Run waits between two steps.
	// Each step acquires, renews or releases the lease.
	minStepInterval = 500 * time.Millisecond
	// unknownHolder is the holder in a record if this instance can't learn the
	// real one. There are two such cases. If the object is new, an earlier
	// object may have been deleted while someone held the lease. If the
	// object's spec can't be decoded, the holder's name can't be read.
	unknownHolder = "unknown"
)

// Record is the spec of a lease's object.
type Record struct {
	// Holder is empty if the lease was released.
	Holder string `json:"holder"`
	// FencingToken is the fencing token of the term. The write that starts the
	// term leaves it out, because the token is that write's spec version. The
	// platform's versions rise over all writes, so the token of a deleted lease
	// is never used again.
	FencingToken int64        `json:"fence,omitempty"`
	Duration     api.Duration `json:"duration"`
	// Renewals changes with each write, so that each write gives the object a new
	// version: the platform keeps the version if a write changes nothing.
	Renewals int64 `json:"renewals"`
	// Machine is where the holder runs, or ran if the lease was released. It is empty if the
	// holder states none.
	Machine string `json:"machine,omitempty"`
	// Previous lists the machines that held the lease before Machine within the last Duration
	// or so, and released it.
	Previous []string `json:"previous,omitempty"`
}

// Store is the part of the object API that a Lease uses.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
}

// Options configures a Lease. A zero Duration selects DefaultDuration. A zero
// Margin selects DefaultMargin or a fifth of Duration, whichever is shorter.
type Options struct {
	Store Store
	// Name is the name of the lease and Holder the name of this instance. A
	// restarted process must use a new Holder, so Holder must include a value
	// that differs at each start.
	Name, Holder string
	// Duration is how long the lease is valid after it was acquired or renewed.
	// Margin is how long before the end the holder stops acting.
	Duration time.Duration
	Margin   time.Duration
	// Machine names the machine that this instance runs on, if no machine may hold the lease
	// again within Duration after another one held it in between. Otherwise it is empty.
	Machine string
	// Suspended returns for how long this machine has been suspended so far. The monotonic
	// clock does not count that time. It may be nil if the machine is never suspended.
	Suspended func() time.Duration
	// Quiet reports whether everything that was sent in this term has been received or
	// dropped. If it has not, the lease is left to expire instead of being released. It may
	// be nil if the receivers check fencing tokens.
	Quiet func() bool
}

// Counters counts what happened to a lease. Acquired counts the terms that
// began, Renewed the confirmed renewals, and Unanswered the writes without a
// response. Ended counts the terms that ended, whether the lease was lost or
// released.
type Counters struct {
	Acquired, Renewed, Unanswered, Ended atomic.Int64
}

// Term is a period in which this instance holds the lease.
type Term struct {
	// FencingToken is higher than the tokens of all earlier terms.
	FencingToken int64
	// ValidUntil is the time on the monotonic clock at which the holder must
	// stop acting, if the machine is not suspended before.
	ValidUntil time.Time
	// AcquiredAt is when the holder learnt that it had acquired the lease.
	AcquiredAt time.Time
}

// Lease competes for a lease on behalf of one instance. It is safe for
// concurrent use.
type Lease struct {
	// Counters may be read at any time.
	Counters Counters

	opts Options

	mu   sync.Mutex
	term Term // zero if the lease was never held, or was lost or released
	// suspendedBefore is the value of Suspended when the term was last extended.
	suspendedBefore time.Duration

	// The fields below are used by the goroutine of Run only.
	object      api.Object // latest version of the lease's object that was seen, zero if none is known
	record      Record     // decoded spec of object
	firstSeenAt time.Time  // when this version of object was first seen
	uncertain   bool       // object may be out of date, for example after a write without a response
}

// New returns a lease that is not held.
func New(o Options) *Lease {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Margin <= 0 {
		o.Margin = min(DefaultMargin, o.Duration/5)
	}
	return &Lease{opts: o}
}

// CurrentTerm returns the current term and reports whether the lease is held
// now.
func (l *Lease) CurrentTerm() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	term := l.term
	term.ValidUntil = term.ValidUntil.Add(l.suspendedBefore - l.suspended())
	return term, term.FencingToken > 0 && time.Now().Before(term.ValidUntil)
}

func (l *Lease) suspended() time.Duration {
	if l.opts.Suspended == nil {
		return 0
	}
	return l.opts.Suspended()
}

// Run acquires and renews the lease while shouldHold returns true, and releases
// it otherwise. When ctx ends, Run releases the lease and returns.
func (l *Lease) Run(ctx context.Context, shouldHold func() bool) {
	for ctx.Err() == nil {
		if shouldHold() {
			l.acquireOrRenew(ctx)
		} else {
			l.release(ctx)
		}
		sleep(ctx, l.untilNextStep())
	}
	l.release(context.WithoutCancel(ctx))
}

// untilNextStep returns how long Run waits before it next acquires, renews or
// releases the lease.
func (l *Lease) untilNextStep() time.Duration {
	term, held := l.CurrentTerm()
	if !held {
		return max(minStepInterval, l.opts.Duration/10)
	}
	renewAt := term.ValidUntil.Add(l.opts.Margin - l.opts.Duration + l.opts.Duration/renewDivisor)
	return max(minStepInterval, time.Until(renewAt))
}

// acquireOrRenew makes one attempt to acquire or renew the lease.
func (l *Lease) acquireOrRenew(ctx context.Context) {
	mustRead := l.object.Version == 0 || l.uncertain
	if mustRead && !l.readObject(ctx) {
		return
	}
	if l.object.Version == 0 {
		l.createObject(ctx)
		return
	}
	if term, held := l.CurrentTerm(); held {
		l.writeRecord(ctx, Record{FencingToken: term.FencingToken, Renewals: l.record.Renewals + 1, Previous: l.previousAtRenewal(term)})
		return
	}
	if l.mayAcquire() || l.readObject(ctx) && l.mayAcquire() {
		l.writeRecord(ctx, Record{Renewals: l.record.Renewals + 1, Previous: l.previousAtAcquisition()})
	}
}

// mayAcquire reports whether this instance may acquire the lease: the lease was
// released, belongs to this instance, or has expired. A lease has expired if
// this instance saw the latest version of its object for the first time at
// least the lease's duration ago.
func (l *Lease) mayAcquire() bool {
	if l.object.Version == 0 {
		return false
	}
	if l.record.Holder == l.opts.Holder {
		return true
	}
	if l.record.Holder == "" && l.mayFollow() {
		return true
	}
	return l.hasExpired()
}

// hasExpired reports whether the latest version has not changed for the lease's duration.
func (l *Lease) hasExpired() bool { return time.Since(l.firstSeenAt) >= l.record.Duration.Std() }

// createObject creates the lease's object without acquiring the lease. An
// earlier object may have been deleted while an instance held the lease. So all
// instances must wait for the lease's duration, as if the lease were held now.
// An instance acquires a lease only by updating an object that it saw before.
// An instance that finds no object twice can't tell whether another one held
// the lease in between.
func (l *Lease) createObject(ctx context.Context) {
	l.endTerm()
	stored, err := l.sendRecord(ctx, Record{Holder: unknownHolder, Duration: api.Duration(l.opts.Duration)})
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		l.observe(stored)
	case errors.As(err, &conflict) && conflict.Current != nil:
		l.observe(*conflict.Current)
	}
}

// readObject reads the object and reports whether the read succeeded. A read
// that finds no object succeeds too. Reads may be stale. A stale read only
// makes this instance wait longer or fail with a conflict. If a read finds no
// object, readObject keeps the object that was seen before, and the next write
// shows whether the object exists.
func (l *Lease) readObject(ctx context.Context) bool {
	obj, err := l.opts.Store.Get(ctx, api.KindLease, l.opts.Name)
	switch {
	case errors.Is(err, objects.ErrNotFound):
	case err != nil:
		return false
	default:
		l.observe(obj)
	}
	l.uncertain = false
	return true
}

// observe records a version of the object, unless this version or a newer one
// was seen before.
func (l *Lease) observe(obj api.Object) {
	if obj.Version <= l.object.Version {
		return
	}
	var rec Record
	if err := json.Unmarshal(obj.Spec, &rec); err != nil {
		// The holder is unknown, so this instance must wait for the lease's
		// full duration.
		rec = Record{Holder: unknownHolder, Duration: api.Duration(l.opts.Duration)}
	}
	l.object, l.record, l.firstSeenAt = obj, rec, time.Now()
}

// observeAbsence records that the object does not exist.
func (l *Lease) observeAbsence() {
	l.object, l.record, l.firstSeenAt = api.Object{}, Record{}, time.Time{}
}

// writeRecord acquires or renews the lease. It changes the term only if the
// platform responds.
func (l *Lease) writeRecord(ctx context.Context, rec Record) {
	rec.Holder, rec.Duration, rec.Machine = l.opts.Holder, api.Duration(l.opts.Duration), l.opts.Machine
	sentAt, suspended := time.Now(), l.suspended()
	stored, err := l.sendRecord(ctx, rec)
	if err == nil {
		l.observe(stored)
		l.recordTerm(rec, stored, sentAt, suspended)
		return
	}
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		l.handleConflict(conflict)
	case errors.Is(err, objects.ErrNotFound):
		l.endTerm()
		l.observeAbsence()
	case errors.Is(err, objects.ErrUncertain):
		l.uncertain = true
		l.Counters.Unanswered.Add(1)
	}
}

// handleConflict handles a write that failed because the object had changed. If
// this instance is no longer the holder, its term ends. If it still is, the
// change was its own earlier write without a response, and the term continues.
func (l *Lease) handleConflict(conflict *objects.ConflictError) {
	if conflict.Current == nil {
		l.uncertain = true
		return
	}
	l.observe(*conflict.Current)
	if l.record.Holder != l.opts.Holder {
		l.endTerm()
	}
}

// sendRecord writes rec to the lease's object. If no version of the object is
// known, sendRecord creates the object.
func (l *Lease) sendRecord(ctx context.Context, rec Record) (api.Object, error) {
	raw, err := json.Marshal(rec)
	if err != nil {
		return api.Object{}, errors.Wrap(err, "encode lease")
	}
	obj := l.object
	obj.Kind, obj.Name, obj.Spec = api.KindLease, l.opts.Name, raw
	if obj.Version == 0 {
		return l.opts.Store.Create(ctx, obj)
	}
	return l.opts.Store.Update(ctx, obj)
}

// recordTerm starts a term or extends the current one after a confirmed write. sentAt is when
// the write was sent, and suspended is for how long the machine had been suspended by then.
func (l *Lease) recordTerm(rec Record, stored api.Object, sentAt time.Time, suspended time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.FencingToken == 0 {
		l.term = Term{FencingToken: stored.SpecVersion, AcquiredAt: time.Now()}
		l.Counters.Acquired.Add(1)
	} else {
		l.Counters.Renewed.Add(1)
	}
	l.term.ValidUntil = sentAt.Add(l.opts.Duration - l.opts.Margin)
	l.suspendedBefore = suspended
}

// endTerm ends the term at once.
func (l *Lease) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term.FencingToken > 0 {
		l.Counters.Ended.Add(1)
	}
	l.term = Term{}
}

// release ends the term and makes one attempt to mark the lease as released.
// Other instances then don't have to wait until the lease expires.
func (l *Lease) release(ctx context.Context) {
	term, _ := l.CurrentTerm()
	l.endTerm()
	if l.record.Holder != l.opts.Holder {
		// The term expired, and another instance has acquired the lease since.
		return
	}
	if term.FencingToken == 0 || l.uncertain || l.opts.Quiet != nil && !l.opts.Quiet() {
		return
	}
	raw, err := json.Marshal(Record{
		Duration: api.Duration(l.opts.Duration), Renewals: l.record.Renewals + 1,
		Machine: l.opts.Machine, Previous: l.previousAtRenewal(term),
	})
	if err != nil {
		return
	}
	obj := l.object
	obj.Spec = raw
	if stored, err := l.opts.Store.Update(ctx, obj); err == nil {
		l.observe(stored)
	}
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
