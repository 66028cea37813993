package streamorigin

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// listPatience is how long an instance that doesn't follow the store waits for another
	// one to list a new version, unless a request waits for it. Word of it comes from the
	// farthest instances within a second.
	listPatience = time.Second
	// settleTime is how long after its start an instance lists versions only for requests
	// that wait. By then it knows whether others follow the store.
	settleTime = 400 * time.Millisecond
	// tick is the longest time between two looks at what there is to do.
	tick = 100 * time.Millisecond
	// retryDelay is the time between a failed call and the next one.
	retryDelay = 200 * time.Millisecond
	// maxListTries bounds the writes of a listing that others write too.
	maxListTries = 5
	// garbageAfter is how long after its last attempt expired the object of a process is
	// deleted. It allows for clocks that differ by seconds.
	garbageAfter = 2 * time.Minute
)

// Run keeps the store up to date until ctx ends. What is not yet written then stays so, as if
// the process were killed.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	// writeTimer fires when attempts may be written that came too soon after the last write.
	writeTimer := time.NewTimer(0)
	defer writeTimer.Stop()
	var lastWrite, retryAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		case <-writeTimer.C:
		}
		now := time.Now()
		if now.Before(retryAt) {
			continue
		}
		if wait := l.options.WriteInterval() - now.Sub(lastWrite); l.hasUnwritten() && wait > 0 {
			writeTimer.Reset(wait)
		} else if l.writeAttempts(ctx, now) {
			lastWrite = now
		}
		if !l.syncListing(ctx, now) {
			retryAt = time.Now().Add(retryDelay)
		}
		l.deleteGarbage(ctx)
	}
}

func (l *Ledger) hasUnwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unwritten
}

// writeAttempts stores the attempts of services with several versions. It reports whether it
// made a call.
func (l *Ledger) writeAttempts(ctx context.Context, now time.Time) bool {
	attempts, ok := l.takeUnwritten(now)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.options.Store.WriteAttempts(ctx, attempts); err != nil {
		l.options.Log.Warn("stream origins not written", "attempts", len(attempts.Begun), "error", err.Error())
		l.mu.Lock()
		l.unwritten = true
		l.mu.Unlock()
	}
	return true
}

func (l *Ledger) takeUnwritten(now time.Time) (ProcessAttempts, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unwritten {
		return ProcessAttempts{}, false
	}
	l.unwritten = false
	l.dropExpired(now)
	attempts := ProcessAttempts{Process: l.options.Process}
	for attempt, b := range l.begun {
		if !l.versions.mixed(b.origin.Service) {
			continue
		}
		attempts.Begun = append(attempts.Begun, Begun{Attempt: attempt, Origin: b.origin})
		if b.expires.After(attempts.Expires) {
			attempts.Expires = b.expires
		}
	}
	return attempts, len(attempts.Begun) > 0
}

// syncListing reads the listing and adds what it lacks, if there is a reason to. It returns
// false if the store could not be asked.
func (l *Ledger) syncListing(ctx context.Context, now time.Time) bool {
	if !l.shouldSync(now) {
		return true
	}
	err := l.list(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = time.Time{}
	if err != nil {
		l.failedAt = now
		l.options.Log.Warn("stream versions not listed", "error", err.Error())
	}
	l.signalChanged()
	return err == nil
}

func (l *Ledger) shouldSync(now time.Time) bool {
	watcher := l.options.IsWatcher() && now.Sub(l.started) >= settleTime
	l.mu.Lock()
	defer l.mu.Unlock()
	origins, since := l.versions.unlisted(now)
	switch {
	case l.syncNow:
	case len(origins) > 0 && (watcher || now.Sub(since) >= listPatience+settleTime):
	case watcher && len(l.versions.retired(now)) > 0:
	default:
		return false
	}
	l.syncNow = false
	return true
}

// list reads the listing, and writes it if it differs from what it should be.
func (l *Ledger) list(ctx context.Context) error {
	for range maxListTries {
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		stored, err := l.reader.read(readCtx)
		cancel()
		if err != nil {
			return err
		}
		next, write := l.wanted(stored, time.Now())
		if !write {
			return nil
		}
		writeCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = l.options.Store.WriteListing(writeCtx, next, stored.Revision)
		cancel()
		if err != nil && !errors.Is(err, objects.ErrConflict) {
			return err
		}
		l.options.Log.Info("stream versions listed", "versions", next.Origins, "was", stored.Listing.Origins, "revision", stored.Revision, "conflict", err != nil)
		// What was written is read again, which also shows who was first after a conflict.
	}
	return errors.Wrap(objects.ErrConflict, "the listing changes all the time")
}

// wanted takes in what is stored, and returns what the listing should hold. write is false if
// it already does.
func (l *Ledger) wanted(stored Stored, now time.Time) (next Listing, write bool) {
	l.noteGarbage(stored, now)
	watcher := l.options.IsWatcher()
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.versions.known)
	l.versions.apply(stored, now)
	l.unwritten = l.unwritten || len(l.versions.known) > known
	l.options.OnListed()
	if l.firstEra == objects.EraUnstated {
		l.firstEra = stored.Era
	}
	next = Listing{Era: stored.Era, Origins: slices.Clone(stored.Listing.Origins)}
	origins, _ := l.versions.unlisted(now)
	if stored.ListingUnreadable {
		origins = l.versions.named()
	}
	next.Origins = append(next.Origins, origins...)
	if stored.listingMayLack() || stored.Revision == 0 && (!l.options.FirstStart || stored.Era != l.firstEra) {
		next.addUnnamed()
	}
	if watcher {
		retired := l.versions.retired(now)
		next.Origins = slices.DeleteFunc(next.Origins, func(o Origin) bool { return slices.Contains(retired, o) })
	}
	return next, stored.listingMayLack() || !slices.Equal(next.Origins, stored.Listing.Origins)
}

// addUnnamed adds versions that are not known to each service: streams may have begun there.
func (l *Listing) addUnnamed() {
	for _, o := range slices.Clone(l.Origins) {
		if unnamed := (Origin{Service: o.Service}); !slices.Contains(l.Origins, unnamed) {
			l.Origins = append(l.Origins, unnamed)
		}
	}
}

// noteGarbage notes the objects of processes whose attempts have all expired long ago.
func (l *Ledger) noteGarbage(stored Stored, now time.Time) {
	if !l.options.IsWatcher() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.garbage = nil
	for _, p := range stored.Processes {
		if now.Sub(p.Expires) > garbageAfter {
			l.garbage = append(l.garbage, p.Process)
		}
	}
}

// deleteGarbage deletes the objects that noteGarbage noted.
func (l *Ledger) deleteGarbage(ctx context.Context) {
	l.mu.Lock()
	garbage := l.garbage
	l.garbage = nil
	l.mu.Unlock()
	for _, process := range garbage {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.options.Store.DeleteAttempts(callCtx, process)
		cancel()
		if err != nil {
			l.options.Log.Warn("old stream origins not deleted", "process", process, "error", err.Error())
			return
		}
	}
}
