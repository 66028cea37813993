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
	// DefaultDuration is the time for which a lease is acquired or renewed.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before the end of the lease the holder stops
	// acting.
	DefaultMargin = 3 * time.Second
	// renewDivisor sets when a lease is renewed: after the duration divided by
	// renewDivisor.
	renewDivisor = 3
	// minStepInterval is the shortest time between two calls of Run to acquire,
	// renew or release a lease.
	minStepInterval = 500 * time.Millisecond
	// unknownHolder stands for a holder whose name this instance can't learn:
	// in a new object, since the lease may have been held before its old object
	// was deleted, and for an object whose spec can't be decoded.
	unknownHolder = "unknown"
)

// Record is the spec of a lease's object.
type Record struct {
	// Holder is empty if the lease was released.
	Holder string `json:"holder"`
	// FencingToken is the fencing token of the term. It is absent from the
	// write that starts the term, because the token is that write's spec
	// version. The platform's versions rise over all writes, so the token of a
	// deleted lease is never used again.
	FencingToken int64        `json:"fence,omitempty"`
	Duration     api.Duration `json:"duration"`
	// Renewals changes with each renewal, so that each renewal gives the object
	// a new version.
	Renewals int64 `json:"renewals"`
}

// Store is the part of the object API that a Lease uses.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
}

// Options configures a Lease. A zero Duration or Margin selects its default.
type Options struct {
	Store Store
	// Name is the name of the lease and Holder the name of this instance. A
	// restarted process must use a different holder name, so the name must
	// include an incarnation.
	Name, Holder string
	Duration     time.Duration
	Margin       time.Duration
}

// Counters counts the terms that began, the confirmed renewals, the writes that
// got no response, and the terms that were ended, by a release as well.
type Counters struct {
	Acquired, Renewed, Unanswered, Lost atomic.Int64
}

// Term is a period in which this instance holds the lease.
type Term struct {
	// FencingToken is higher than the tokens of all earlier terms.
	FencingToken int64
	// ValidUntil is when the holder must stop acting, on the monotonic clock.
	ValidUntil time.Time
	// AcquiredAt is when the holder learnt that it has acquired the lease.
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

	// The fields below are used by the goroutine of Run only.
	object      api.Object // latest version seen of the lease's object, zero if there is none
	record      Record
	firstSeenAt time.Time // when that version was first seen
	uncertain   bool      // a write without a response may have taken effect
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

// Valid returns the current term and reports whether the lease is held now.
func (l *Lease) Valid() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term.FencingToken > 0 && time.Now().Before(l.term.ValidUntil)
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

// untilNextStep returns how long Run waits before it acquires, renews or
// releases the lease again.
func (l *Lease) untilNextStep() time.Duration {
	term, held := l.Valid()
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
	if term, held := l.Valid(); held {
		l.writeRecord(ctx, Record{FencingToken: term.FencingToken, Renewals: l.record.Renewals + 1})
		return
	}
	if l.mayAcquire() || l.readObject(ctx) && l.mayAcquire() {
		l.writeRecord(ctx, Record{})
	}
}

// mayAcquire reports whether the lease was released, belongs to this instance,
// or has expired: its object has not changed for the lease's whole duration
// after this instance first saw it in its present version.
func (l *Lease) mayAcquire() bool {
	if l.object.Version == 0 {
		return false
	}
	if l.record.Holder == "" || l.record.Holder == l.opts.Holder {
		return true
	}
	return time.Since(l.firstSeenAt) >= l.record.Duration.Std()
}

// createObject creates the lease's object without acquiring the lease. The
// lease may have been held until its object was deleted, so all instances must
// wait for its duration as if it were held now. A lease is acquired only by
// updating a version that was seen before: an instance that twice found no
// object can't tell whether the lease was held in between.
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

// readObject reads the object and reports whether that succeeded. A stale read
// only makes this instance wait longer or fail with a conflict. Since reads may
// be stale, a read that finds no object does not discard what was seen before.
// The next write shows whether the object exists.
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

// observe records a version of the object. Older versions are ignored.
func (l *Lease) observe(obj api.Object) {
	if obj.Version <= l.object.Version {
		return
	}
	var rec Record
	if err := json.Unmarshal(obj.Spec, &rec); err != nil {
		// The spec can't be decoded, so the holder is unknown and its lease
		// must be waited out.
		rec = Record{Holder: unknownHolder, Duration: api.Duration(l.opts.Duration)}
	}
	l.object, l.record, l.firstSeenAt = obj, rec, time.Now()
}

// observeAbsence records that the object does not exist.
func (l *Lease) observeAbsence() {
	l.object, l.record, l.firstSeenAt = api.Object{}, Record{}, time.Time{}
}

// writeRecord acquires or renews the lease. The write counts only if the
// platform responds.
func (l *Lease) writeRecord(ctx context.Context, rec Record) {
	rec.Holder, rec.Duration = l.opts.Holder, api.Duration(l.opts.Duration)
	sentAt := time.Now()
	stored, err := l.sendRecord(ctx, rec)
	if err == nil {
		l.observe(stored)
		l.recordTerm(rec, stored, sentAt)
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

// handleConflict records that the object was changed after this instance last
// saw it. If the change is the instance's own renewal, which got no response,
// the term continues.
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

// sendRecord writes rec to the lease's object, which it creates if no version
// was seen.
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

// recordTerm starts a term or extends the current one after a confirmed write.
func (l *Lease) recordTerm(rec Record, stored api.Object, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.FencingToken == 0 {
		l.term = Term{FencingToken: stored.SpecVersion, AcquiredAt: time.Now()}
		l.Counters.Acquired.Add(1)
	} else {
		l.Counters.Renewed.Add(1)
	}
	l.term.ValidUntil = sentAt.Add(l.opts.Duration - l.opts.Margin)
}

// endTerm ends the term at once.
func (l *Lease) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term.FencingToken > 0 {
		l.Counters.Lost.Add(1)
	}
	l.term = Term{}
}

// release ends the term and makes one attempt to mark the lease as released, so
// that other instances don't have to wait for its end.
func (l *Lease) release(ctx context.Context) {
	term, _ := l.Valid()
	l.endTerm()
	if term.FencingToken == 0 || l.uncertain {
		return
	}
	raw, err := json.Marshal(Record{Duration: api.Duration(l.opts.Duration), Renewals: l.record.Renewals + 1})
	if err != nil {
		return
	}
	obj := l.object
	obj.Spec = raw
	if stored, err := l.opts.Store.Update(ctx, obj); err == nil {
		l.observe(stored)
	}
}

// sleep returns after d or when ctx ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
