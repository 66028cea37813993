package memoryaccount

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrShort reports that there was no memory.
var ErrShort = errors.New("the memory for requests is in use")

// Reservation is what one request or connection holds of one kind. It must not be used by two
// goroutines at the same time. Release must be called.
type Reservation struct {
	account *Account
	kind    Kind
	party   Party
	// number is the place in the order of all reservations.
	number uint64
	// bytes is guarded by the account's lock.
	bytes int64
}

// Reserve returns a reservation that holds nothing yet.
func (a *Account) Reserve(kind Kind, party Party) *Reservation {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastNumber++
	return &Reservation{account: a, kind: kind, party: party, number: a.lastNumber}
}

// TryGrow takes more bytes, or returns false if they are not there.
func (r *Reservation) TryGrow(bytes int64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(r, bytes) {
		a.refused[r.kind]++
		return false
	}
	a.add(r, bytes)
	return true
}

// Force takes more bytes, whether or not they are there.
func (r *Reservation) Force(bytes int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.add(r, bytes)
}

// Grow takes more bytes. If they are not there it waits, and returns ErrShort if the reservation
// is the one that is refused, or if the time until is over.
func (r *Reservation) Grow(bytes int64, until time.Time) error {
	a := r.account
	a.mu.Lock()
	if a.fits(r, bytes) {
		a.add(r, bytes)
		a.mu.Unlock()
		return nil
	}
	w := a.await(r, bytes, false)
	a.mu.Unlock()
	return w.wait(a, until)
}

// GrowPatiently takes more bytes. If they are not there it waits until they are, or until ctx ends,
// and then returns the context's error. It is for work that was passed on already. Each time that
// maxWait is over, the oldest that waits may take all that is free.
func (r *Reservation) GrowPatiently(ctx context.Context, bytes int64) error {
	a := r.account
	a.mu.Lock()
	if a.fits(r, bytes) {
		a.add(r, bytes)
		a.mu.Unlock()
		return nil
	}
	w := a.await(r, bytes, true)
	a.mu.Unlock()
	ticker := time.NewTicker(a.maxWait)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return nil
		case <-ticker.C:
			a.favourOldest(w)
		case <-ctx.Done():
			if a.giveUp(w) {
				r.Shrink(bytes)
			}
			return ctx.Err()
		}
	}
}

// wait waits until the ask is granted or refused, at most to the time until. Each time that maxWait
// is over, one of those that wait is refused. It may be another one for as long as newer ones come.
func (w *waiter) wait(a *Account, until time.Time) error {
	timer := time.NewTimer(min(a.maxWait, time.Until(until)))
	defer timer.Stop()
	for {
		select {
		case granted := <-w.done:
			return refusedUnless(granted)
		case <-timer.C:
		}
		left := time.Until(until)
		if left <= 0 {
			return refusedUnless(a.refuse(w))
		}
		a.refuseOneBeside(w)
		timer.Reset(min(a.maxWait, left))
	}
}

func refusedUnless(granted bool) error {
	if granted {
		return nil
	}
	return ErrShort
}

// Shrink gives some of the bytes back.
func (r *Reservation) Shrink(bytes int64) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.account.add(r, -bytes)
	r.account.grantWaiting()
}

// Release gives all bytes back.
func (r *Reservation) Release() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.bytes == 0 {
		return
	}
	r.account.add(r, -r.bytes)
	r.account.grantWaiting()
}
