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
	// DefaultMaxRunTime is how long after its claim a request without a stored
	// outcome is assumed to be running.
	DefaultMaxRunTime = 15 * time.Minute
	// MaxClockSkew bounds the difference between the clocks of two instances.
	MaxClockSkew = 5 * time.Minute
	// MaxStoredBody is the size of the largest response body that is stored, in
	// bytes.
	MaxStoredBody = 8 << 10

	// beginAttempts bounds the write attempts of one Begin call.
	beginAttempts = 3
	// unavailableRetryAfter is the Retry-After time if the platform names none.
	unavailableRetryAfter = 2 * time.Second
	// finishBackoffMin and finishBackoffMax are the first and the longest wait
	// between two attempts to finish or release a claim.
	finishBackoffMin = 100 * time.Millisecond
	finishBackoffMax = 5 * time.Second
	// releaseTimeout bounds the time spent on releasing a claim whose creation
	// the platform did not confirm. If the claim exists nevertheless, it blocks
	// the key although the request was never sent.
	releaseTimeout = time.Minute
	// maxReleases is the largest number of releases that run at the same time.
	// Each of them deletes a claim that the platform did not confirm.
	maxReleases = 64
)

// ErrStoreUnavailable reports that the platform did not confirm the claim. The
// request must not be sent. The returned error has type *StoreError, and
// errors.Is reports that it matches ErrStoreUnavailable.
var ErrStoreUnavailable = errors.New("idempotency: store unavailable")

// ErrKeyConflict reports that the key was used with another request.
var ErrKeyConflict = errors.New("idempotency: the key was used with another request")

// ErrClaimLost reports that the claim expired, and was then deleted or replaced
// by another instance's claim.
var ErrClaimLost = errors.New("idempotency: claim lost")

// StoreError holds the cause of a store failure and the time after which the
// caller should retry.
type StoreError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error returns the message with the cause.
func (e *StoreError) Error() string { return ErrStoreUnavailable.Error() + ": " + e.Cause.Error() }

// Is reports whether target is ErrStoreUnavailable.
func (e *StoreError) Is(target error) bool { return target == ErrStoreUnavailable }

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// Store is the part of the object API that Claims uses.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
}

// Request identifies a caller's request by its organisation and its key.
type Request struct {
	Organisation string
	Key          string
	// Digest is a cryptographic hash of the whole request. A key must not be
	// used again with a different digest.
	Digest string
}

// State is the state of a key.
type State uint8

// Key states.
const (
	// Fresh means that the caller of Begin claimed the key and may send the
	// request once.
	Fresh State = iota + 1
	// InProgress means that another request with the key may still be running.
	InProgress
	// Completed means that the request ran. Claim.Outcome holds its response.
	Completed
	// Unknown means that the request may have run.
	Unknown
)

// Outcome is how a request ended, with its response.
type Outcome struct {
	Final outcome.Final
	// Status and Body are the response. A body longer than MaxStoredBody is not
	// stored: Body is then nil and Truncated is set.
	Status    int
	Body      []byte
	Truncated bool
}

// Claim is the result of Begin.
type Claim struct {
	State State
	// Outcome is set if State is Completed.
	Outcome Outcome

	// object is the claim's object as stored, and record its decoded spec.
	object api.Object
	record record
}

// Counters counts results. Fresh to Unavailable count the results of Begin.
// Finished and FinishFailed count the results of Finish. Released counts the
// unconfirmed claims that were released.
type Counters struct {
	Fresh, InProgress, Completed, Unknown, Conflicts, Unavailable atomic.Int64
	Finished, FinishFailed, Released                              atomic.Int64
}

// Options configures Claims. A zero Retention or MaxRunTime selects its
// default.
type Options struct {
	Store Store
	// Retention is how long a claim is kept after its creation. MaxRunTime is
	// how long a claim without a stored outcome is InProgress.
	Retention  time.Duration
	MaxRunTime time.Duration
}

// Claims claims idempotency keys. It is safe for concurrent use.
type Claims struct {
	// Counters may be read at any time.
	Counters Counters

	store     Store
	retention time.Duration
	maxRun    time.Duration

	// ctx is the context of all releases. Close cancels it. releaseSlots has
	// one element for each running release.
	ctx          context.Context
	cancel       context.CancelFunc
	releases     sync.WaitGroup
	releaseSlots chan struct{}
}

// New returns a Claims that keeps its claims in o.Store.
func New(o Options) *Claims {
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.MaxRunTime <= 0 {
		o.MaxRunTime = DefaultMaxRunTime
	}
	c := &Claims{store: o.Store, retention: o.Retention, maxRun: o.MaxRunTime}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.releaseSlots = make(chan struct{}, maxReleases)
	return c
}

// Close cancels the running releases of unconfirmed claims and waits until they
// have ended. Begin must neither be running nor be called again.
func (c *Claims) Close() {
	c.cancel()
	c.releases.Wait()
}

// Begin claims the request's key. The caller may send the request only if the
// claim is Fresh, and must then call Finish. If Begin fails, with
// ErrKeyConflict or ErrStoreUnavailable, the request must not be sent.
func (c *Claims) Begin(ctx context.Context, req Request) (Claim, error) {
	claim, err := c.begin(ctx, req)
	c.count(claim.State, err)
	return claim, err
}

func (c *Claims) begin(ctx context.Context, req Request) (Claim, error) {
	own := record{Nonce: rand.Text(), Digest: req.Digest, State: stateClaimed, MadeAt: time.Now().UTC()}
	obj := own.object(req)
	uncertain := false
	var err error
	for range beginAttempts {
		var stored api.Object
		stored, err = c.write(ctx, obj)
		if err == nil {
			return Claim{State: Fresh, object: stored, record: own}, nil
		}
		uncertain = uncertain || errors.Is(err, objects.ErrUncertain)
		if current := conflictingObject(err); current != nil {
			existing, decodeErr := decodeRecord(*current)
			if decodeErr != nil {
				return Claim{}, c.unavailable(decodeErr)
			}
			if !c.expired(existing) || existing.Nonce == own.Nonce {
				return c.resolveExisting(*current, existing, own)
			}
		}
		if !prepareRetry(err, &obj) {
			break
		}
	}
	if uncertain {
		c.startRelease(obj, own.Nonce)
	}
	return Claim{}, c.unavailable(err)
}

// conflictingObject returns the current object that a write conflict contains.
// It returns nil if err is another error or the conflict contains no object.
func conflictingObject(err error) *api.Object {
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	return conflict.Current
}

// prepareRetry reports whether a failed write of a claim should be retried, and
// updates obj for the retry.
func prepareRetry(err error, obj *api.Object) bool {
	if current := conflictingObject(err); current != nil {
		// Replace the expired claim, unless another instance does so first.
		obj.Version = current.Version
		return true
	}
	if errors.Is(err, objects.ErrNotFound) {
		// The expired claim was deleted by a sweep in the meantime.
		obj.Version = 0
		return true
	}
	return errors.Is(err, objects.ErrUncertain)
}

// write creates the object, or updates it if it has a version.
func (c *Claims) write(ctx context.Context, obj api.Object) (api.Object, error) {
	if obj.Version == 0 {
		return c.store.Create(ctx, obj)
	}
	return c.store.Update(ctx, obj)
}

// resolveExisting returns the result of Begin if the key is already claimed. If
// existing has the nonce of own, the same call made the claim in an earlier
// write that got no response. Otherwise another call made the claim.
func (c *Claims) resolveExisting(obj api.Object, existing, own record) (Claim, error) {
	if existing.Nonce == own.Nonce {
		return Claim{State: Fresh, object: obj, record: existing}, nil
	}
	if existing.Digest != own.Digest {
		return Claim{}, ErrKeyConflict
	}
	claim := Claim{State: Unknown, object: obj, record: existing}
	switch {
	case existing.State == stateCompleted:
		claim.State = Completed
		claim.Outcome = existing.outcome()
	case existing.State == stateClaimed && time.Since(existing.MadeAt) < c.maxRun:
		claim.State = InProgress
	}
	return claim, nil
}

// expired reports whether a claim is so old that its key counts as new at every
// instance, even if the instances' clocks differ by MaxClockSkew.
func (c *Claims) expired(r record) bool {
	return time.Since(r.MadeAt) > c.retention+MaxClockSkew
}

// unavailable returns the error of Begin for a claim that the platform did not
// confirm.
func (c *Claims) unavailable(cause error) error {
	var limited *objects.RateLimitedError
	if errors.As(cause, &limited) {
		return &StoreError{RetryAfter: limited.RetryAfter, Cause: cause}
	}
	return &StoreError{RetryAfter: unavailableRetryAfter, Cause: cause}
}

// count counts the result of a call of Begin.
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
