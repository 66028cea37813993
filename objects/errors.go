package objects

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
)

var (
	// ErrNotFound reports an object that does not exist.
	ErrNotFound = errors.New("objects: not found")
	// ErrConflict reports a condition that does not hold: the object exists, or
	// has another version. The error is a *ConflictError.
	ErrConflict = errors.New("objects: conflict")
	// ErrCompacted reports a watch from a version that the platform no longer
	// keeps. The caller lists again.
	ErrCompacted = errors.New("objects: version compacted")
	// ErrRateLimited reports a call refused for its rate. The error is a
	// *RateLimitedError. The call was not done.
	ErrRateLimited = errors.New("objects: rate limited")
	// ErrUnavailable reports that the platform could not be reached or refused
	// the call. The call was not done.
	ErrUnavailable = errors.New("objects: unavailable")
	// ErrUncertain reports a write that got no readable answer. It may have
	// taken effect, or may do so later.
	ErrUncertain = errors.New("objects: no answer, the write may have taken effect")
	// ErrInvalid reports a call that the platform refuses however often it is
	// repeated.
	ErrInvalid = errors.New("objects: invalid")
)

// ConflictError carries the object that stood in the way of a conditional
// write.
type ConflictError struct {
	// Current is the object as the platform holds it, or nil if the answer
	// carried none.
	Current *api.Object
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return ErrConflict.Error()
	}
	return fmt.Sprintf("%v: %s %q is at version %d", ErrConflict, e.Current.Kind, e.Current.Name, e.Current.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// RateLimitedError says when to call again.
type RateLimitedError struct {
	// RetryAfter is the time to wait. It is never zero.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Is reports whether target is ErrRateLimited.
func (e *RateLimitedError) Is(target error) bool { return target == ErrRateLimited }
