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
	// DefaultDuration is the time for which a lease is taken or renewed.
	DefaultDuration = 15 * time.Second
	// DefaultMargin is how long before its end the holder stops.
	DefaultMargin = 3 * time.Second
	// renewShare is the share of the duration after which a lease is renewed.
	renewShare = 3
	// minPause bounds how often a lease that can't be had is asked for.
	minPause = 500 * time.Millisecond
	// holderUnknown is the holder in an object that some other instance may
	// count on without being named.
	holderUnknown = "unknown"
)

// Record is the spec of a lease's object.
type Record struct {
	// Holder is empty if the lease was given up.
	Holder string `json:"holder"`
	// FencingToken is the fencing number of the term. The write that began the term
	// carries none: its spec version is the number. The platform's versions
	// rise over all writes, so that a deleted lease's number never comes again.
	FencingToken int64        `json:"fence,omitempty"`
	Duration     api.Duration `json:"duration"`
	// Renewals changes with each renewal, so that the object's version rises.
	Renewals int64 `json:"renewals"`
}

// Store is what a lease needs of the object API.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
}

// Options sets up a Lease. The zero value of a field takes its default.
type Options struct {
	Store Store
	// Name is the lease, Holder is this instance. A holder's name must not be
	// used again by another process: it carries an incarnation.
	Name, Holder string
	Duration     time.Duration
	Margin       time.Duration
}

// Counters counts what a Lease did.
type Counters struct {
	Acquired, Renewed, Unanswered, Lost atomic.Int64
}

// Term is a time for which the lease is held.
type Term struct {
	// FencingToken is above the number of each earlier term.
	FencingToken int64
	// ValidUntil is when the holder stops, on the monotonic clock.
	ValidUntil time.Time
	// AcquiredAt is when the holder learnt that the term is its own.
	AcquiredAt time.Time
}

// Lease is one instance's part in a lease. It is safe for concurrent use.
type Lease struct {
	// Counters may be read at any time.
	Counters Counters

	opts Options

	mu   sync.Mutex
	term Term // zero if not held

	// The rest is used by Run alone.
	object    api.Object // as last seen, zero if there was none
	record    Record
	seenAt    time.Time // when this version was first seen
	uncertain bool      // a write of ours may have taken effect
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

// Valid returns the current term, and reports whether the lease is held now.
func (l *Lease) Valid() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term.FencingToken > 0 && time.Now().Before(l.term.ValidUntil)
}

// Run takes and renews the lease while wanted says so, until ctx ends. It then
// gives the lease up.
func (l *Lease) Run(ctx context.Context, wanted func() bool) {
	for ctx.Err() == nil {
		if wanted() {
			l.step(ctx)
		} else {
			l.giveUp(ctx)
		}
		sleep(ctx, l.pause())
	}
	l.giveUp(context.WithoutCancel(ctx))
}

// pause is the time until the next step.
func (l *Lease) pause() time.Duration {
	term, held := l.Valid()
	if !held {
		return max(minPause, l.opts.Duration/10)
	}
	renewAt := term.ValidUntil.Add(l.opts.Margin - l.opts.Duration + l.opts.Duration/renewShare)
	return max(minPause, time.Until(renewAt))
}

// step makes one attempt to take or renew the lease.
func (l *Lease) step(ctx context.Context) {
	unknown := l.object.Version == 0 || l.uncertain
	if unknown && !l.look(ctx) {
		return
	}
	if l.object.Version == 0 {
		l.makeObject(ctx)
		return
	}
	if term, held := l.Valid(); held {
		l.write(ctx, Record{FencingToken: term.FencingToken, Renewals: l.record.Renewals + 1})
		return
	}
	if l.mayTake() || l.look(ctx) && l.mayTake() {
		l.write(ctx, Record{})
	}
}

// mayTake reports whether the lease was given up, was this instance's own, or
// has stood as last seen for the whole duration.
func (l *Lease) mayTake() bool {
	if l.object.Version == 0 {
		return false
	}
	if l.record.Holder == "" || l.record.Holder == l.opts.Holder {
		return true
	}
	return time.Since(l.seenAt) >= l.record.Duration.Std()
}

// makeObject makes an object that has to be waited out like a held one: the
// lease may have been held and deleted. It takes nothing. A lease is taken only
// by an update of a version that was seen, since its absence at two moments
// would not tell what happened between them.
func (l *Lease) makeObject(ctx context.Context) {
	l.lose()
	stored, err := l.send(ctx, Record{Holder: holderUnknown, Duration: api.Duration(l.opts.Duration)})
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		l.see(stored)
	case errors.As(err, &conflict) && conflict.Current != nil:
		l.see(*conflict.Current)
	}
}

// look reads the object and reports whether that succeeded. A read may be
// stale, which only makes this instance wait longer or lose a conflict. For the
// same reason a read that finds no object does not undo what was seen: the next
// write tells.
func (l *Lease) look(ctx context.Context) bool {
	obj, err := l.opts.Store.Get(ctx, api.KindLease, l.opts.Name)
	switch {
	case errors.Is(err, objects.ErrNotFound):
	case err != nil:
		return false
	default:
		l.see(obj)
	}
	l.uncertain = false
	return true
}

// see notes a version of the object. Older ones are ignored.
func (l *Lease) see(obj api.Object) {
	if obj.Version <= l.object.Version {
		return
	}
	var rec Record
	if err := json.Unmarshal(obj.Spec, &rec); err != nil {
		// Whoever wrote this holds nothing that can be told: wait it out.
		rec = Record{Holder: holderUnknown, Duration: api.Duration(l.opts.Duration)}
	}
	l.object, l.record, l.seenAt = obj, rec, time.Now()
}

// seeNone notes that there is no object.
func (l *Lease) seeNone() {
	l.object, l.record, l.seenAt = api.Object{}, Record{}, time.Time{}
}

// write takes or renews the lease. Only an answer counts.
func (l *Lease) write(ctx context.Context, rec Record) {
	rec.Holder, rec.Duration = l.opts.Holder, api.Duration(l.opts.Duration)
	sentAt := time.Now()
	stored, err := l.send(ctx, rec)
	if err == nil {
		l.see(stored)
		l.hold(rec, stored, sentAt)
		return
	}
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		l.refused(conflict)
	case errors.Is(err, objects.ErrNotFound):
		l.lose()
		l.seeNone()
	case errors.Is(err, objects.ErrUncertain):
		l.uncertain = true
		l.Counters.Unanswered.Add(1)
	}
}

// refused notes that the object is not as it was last seen. A renewal of this
// instance's own that got no answer ends no term.
func (l *Lease) refused(conflict *objects.ConflictError) {
	if conflict.Current == nil {
		l.uncertain = true
		return
	}
	l.see(*conflict.Current)
	if l.record.Holder != l.opts.Holder {
		l.lose()
	}
}

func (l *Lease) send(ctx context.Context, rec Record) (api.Object, error) {
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

// hold notes an answered take or renewal.
func (l *Lease) hold(rec Record, stored api.Object, sentAt time.Time) {
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

// lose ends the term at once.
func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term.FencingToken > 0 {
		l.Counters.Lost.Add(1)
	}
	l.term = Term{}
}

// giveUp ends the term and tells the others, so that they need not wait. It
// makes one attempt.
func (l *Lease) giveUp(ctx context.Context) {
	term, _ := l.Valid()
	l.lose()
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
		l.see(stored)
	}
}

// sleep returns after d or at the end of ctx, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
