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
	// ErrConflict reports a conditional write that failed because the object
	// already exists or has another version. A Client returns this error as a
	// *ConflictError.
	ErrConflict = errors.New("objects: conflict")
	// ErrCompacted reports a watch from a version after which the platform no
	// longer keeps all events. The caller has to list the objects again.
	ErrCompacted = errors.New("objects: version compacted")
	// ErrRateLimited reports a call that the platform refused because of too many
	// calls. The call was not executed. A Client returns this error as a
	// *RateLimitedError.
	ErrRateLimited = errors.New("objects: rate limited")
	// ErrUnavailable reports a read that got no readable response, or a write that
	// was not executed because the platform could not be reached or refused it.
	// It also reports a watch that broke or timed out.
	ErrUnavailable = errors.New("objects: unavailable")
	// ErrUncertain reports a write that got no readable response. The write may
	// have taken effect, or may still take effect.
	ErrUncertain = errors.New("objects: no response, the write may have taken effect")
	// ErrEra reports a response whose era is no number, or is lower than one that was
	// known. Nothing else in the response may be used.
	ErrEra = errors.New("objects: invalid era of the store")
	// ErrInvalid reports a call that is invalid, so that a retry does not help.
	ErrInvalid = errors.New("objects: invalid")
)

// ConflictError reports a conditional write that failed because the object already
// exists or has another version. It matches ErrConflict.
type ConflictError struct {
	// Current is the object as the platform stores it, or nil if the response did
	// not include it.
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

// RateLimitedError reports a call that the platform refused because of too many
// calls. It matches ErrRateLimited.
type RateLimitedError struct {
	// RetryAfter is the time to wait before the next call. It is never zero.
	RetryAfter time.Duration
}

// Error describes the refusal and the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrRateLimited, e.RetryAfter)
}

// Is reports whether target is ErrRateLimited.
func (e *RateLimitedError) Is(target error) bool { return target == ErrRateLimited }
