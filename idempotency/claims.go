package idempotency

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// DefaultRetention is how long the outcome of a request is kept.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxRun is how long a request without an end may still run.
	DefaultMaxRun = 15 * time.Minute
	// MaxClockSkew bounds the difference between two instances' clocks.
	MaxClockSkew = 5 * time.Minute
	// MaxStoredBody is the longest answer that is kept, in bytes.
	MaxStoredBody = 8 << 10

	// beginAttempts bounds the creates of one Begin.
	beginAttempts = 3
	// unavailableRetry is the time to return without one from the platform.
	unavailableRetry = 2 * time.Second
	finishBackoffMin = 100 * time.Millisecond
	finishBackoffMax = 5 * time.Second
	// releaseTimeout bounds the work for a claim that was never used.
	releaseTimeout = time.Minute
	// maxReleases bounds the claims that are worked on so at a time.
	maxReleases = 64
)

// ErrStoreUnavailable reports that the platform did not confirm the claim. The
// request must not be sent. The error is a *StoreError.
var ErrStoreUnavailable = errors.New("idempotency: store unavailable")

// ErrKeyConflict reports a key that was used with another request.
var ErrKeyConflict = errors.New("idempotency: the key was used with another request")

// ErrClaimLost reports that another instance holds the key: the claim expired.
var ErrClaimLost = errors.New("idempotency: claim lost")

// StoreError says when to return and what failed.
type StoreError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error describes the failure.
func (e *StoreError) Error() string { return ErrStoreUnavailable.Error() + ": " + e.Cause.Error() }

// Is reports whether target is ErrStoreUnavailable.
func (e *StoreError) Is(target error) bool { return target == ErrStoreUnavailable }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// Store is what the claims need of the object API.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// Request identifies a caller's request.
type Request struct {
	Organisation string
	Key          string
	// Digest is a cryptographic sum of all that the request asks for.
	Digest string
}

// State is what is known of a key.
type State uint8

// The states.
const (
	// Fresh means that the key is the caller's: the request may be sent once.
	Fresh State = iota + 1
	// InProgress means that another request with the key may still run.
	InProgress
	// Completed means that the request ran. Outcome has the answer.
	Completed
	// Unknown means that the request may have run.
	Unknown
)

// Outcome is how a request ended.
type Outcome struct {
	Final outcome.Final
	// Status and Body are the answer. Body is nil if it is longer than
	// MaxStoredBody, and Truncated is then set.
	Status    int
	Body      []byte
	Truncated bool
}

// Claim is what Begin found.
type Claim struct {
	State State
	// Outcome is set if State is Completed.
	Outcome Outcome

	object api.Object
	record record
}

// Counters counts what Begin and Finish did.
type Counters struct {
	Fresh, InProgress, Completed, Unknown, Conflicts, Unavailable atomic.Int64
	Finished, FinishFailed, Released                              atomic.Int64
}

// Options sets up Claims. The zero value of a field takes its default.
type Options struct {
	Store     Store
	Retention time.Duration
	MaxRun    time.Duration
}

// Claims claims keys. It is safe for concurrent use.
type Claims struct {
	// Counters may be read at any time.
	Counters Counters

	store     Store
	retention time.Duration
	maxRun    time.Duration

	ctx       context.Context
	end       context.CancelFunc
	releases  sync.WaitGroup
	releasing chan struct{}
}

// New returns claims that are kept in a store.
func New(o Options) *Claims {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxRun <= 0 {
		o.MaxRun = DefaultMaxRun
	}
	c := &Claims{store: o.Store, retention: o.Retention, maxRun: o.MaxRun}
	c.ctx, c.end = context.WithCancel(context.Background())
	c.releasing = make(chan struct{}, maxReleases)
	return c
}

// Close ends the work for claims that were never used, and returns after it.
// No Begin may run or follow.
func (c *Claims) Close() {
	c.end()
	c.releases.Wait()
}

// Begin claims the request's key. The caller sends the request only if the
// claim is Fresh, and then calls Finish. It fails with ErrKeyConflict, or with
// ErrStoreUnavailable; in both cases nothing may be sent.
func (c *Claims) Begin(ctx context.Context, req Request) (Claim, error) {
	claim, err := c.begin(ctx, req)
	c.count(claim.State, err)
	return claim, err
}

func (c *Claims) begin(ctx context.Context, req Request) (Claim, error) {
	rec := record{Nonce: rand.Text(), Digest: req.Digest, State: stateClaimed, MadeAt: time.Now().UTC()}
	obj := rec.object(req)
	uncertain := false
	var err error
	for range beginAttempts {
		var stored api.Object
		stored, err = c.write(ctx, obj)
		if err == nil {
			return Claim{State: Fresh, object: stored, record: rec}, nil
		}
		uncertain = uncertain || errors.Is(err, objects.ErrUncertain)
		if current := conflicting(err); current != nil {
			held, decodeErr := decodeRecord(*current)
			if decodeErr != nil {
				return Claim{}, c.unavailable(decodeErr)
			}
			if !c.expired(held) || held.Nonce == rec.Nonce {
				return c.heldBy(*current, held, rec)
			}
		}
		if !prepareRetry(err, &obj) {
			break
		}
	}
	if uncertain {
		c.startRelease(obj, rec.Nonce)
	}
	return Claim{}, c.unavailable(err)
}

// conflicting returns the object that stood in the way of a write, or nil.
func conflicting(err error) *api.Object {
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	return conflict.Current
}

// prepareRetry reports whether a failed write of a claim is worth another
// attempt, and makes obj ready for it.
func prepareRetry(err error, obj *api.Object) bool {
	if current := conflicting(err); current != nil {
		// Replaces the expired claim, unless another instance does first.
		obj.Version = current.Version
		return true
	}
	if errors.Is(err, objects.ErrNotFound) {
		// The expired claim was swept meanwhile.
		obj.Version = 0
		return true
	}
	return errors.Is(err, objects.ErrUncertain)
}

// write creates the object, or updates it if it names a version.
func (c *Claims) write(ctx context.Context, obj api.Object) (api.Object, error) {
	if obj.Version == 0 {
		return c.store.Create(ctx, obj)
	}
	return c.store.Update(ctx, obj)
}

// heldBy tells what a claim that stands in the way means for ours.
func (c *Claims) heldBy(obj api.Object, held, ours record) (Claim, error) {
	if held.Nonce == ours.Nonce {
		return Claim{State: Fresh, object: obj, record: held}, nil
	}
	if held.Digest != ours.Digest {
		return Claim{}, ErrKeyConflict
	}
	claim := Claim{State: Unknown, object: obj, record: held}
	switch {
	case held.State == stateCompleted:
		claim.State = Completed
		claim.Outcome = held.outcome()
	case held.State == stateClaimed && time.Since(held.MadeAt) < c.maxRun:
		claim.State = InProgress
	}
	return claim, nil
}

// expired reports whether the key counts as new, whichever instance's clock is
// ahead.
func (c *Claims) expired(r record) bool {
	return time.Since(r.MadeAt) > c.retention+MaxClockSkew
}

func (c *Claims) unavailable(cause error) error {
	var limited *objects.RateLimitedError
	if errors.As(cause, &limited) {
		return &StoreError{RetryAfter: limited.RetryAfter, Cause: cause}
	}
	return &StoreError{RetryAfter: unavailableRetry, Cause: cause}
}

func (c *Claims) count(s State, err error) {
	switch {
	case errors.Is(err, ErrKeyConflict):
		c.Counters.Conflicts.Add(1)
	case err != nil:
		c.Counters.Unavailable.Add(1)
	case s == Fresh:
		c.Counters.Fresh.Add(1)
	case s == InProgress:
		c.Counters.InProgress.Add(1)
	case s == Completed:
		c.Counters.Completed.Add(1)
	default:
		c.Counters.Unknown.Add(1)
	}
}
