package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
)

const (
	// The pause after the end of a watch begins at watchBackoffMin. It doubles
	// after each watch that received nothing new, up to watchBackoffMax. Jitter
	// shortens each pause by up to half.
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 10 * time.Second
	// dutyPollInterval is how often a watcher checks ShouldWatch.
	dutyPollInterval = time.Second
)

// ObjectReader is the part of the object API that a Watcher and a
// StatusReporter read from.
type ObjectReader interface {
	List(ctx context.Context, kind api.Kind) (api.List, error)
	Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error
}

// Watcher updates a store from the platform while ShouldWatch returns true. It
// watches from the store's complete version. If the store has no complete version
// or the platform no longer keeps all events after that version, the Watcher first
// lists the resources.
type Watcher struct {
	Store    *Store
	Platform ObjectReader
	// ShouldWatch reports whether this instance has the duty to watch.
	ShouldWatch func() bool
	// OnChange is called for each resource that a list or an event changed.
	OnChange func(ResourceKey)
	Rand     *rand.Rand

	mustRelist bool // the platform no longer keeps all events after the store's complete version
}

// Run watches until ctx ends. It pauses after each watch, with a backoff and
// jitter. A watch that raised the store's complete version resets the backoff.
func (w *Watcher) Run(ctx context.Context) {
	backoff := watchBackoffMin
	for ctx.Err() == nil {
		if !w.ShouldWatch() {
			sleep(ctx, dutyPollInterval)
			continue
		}
		before := w.Store.CompleteVersion()
		w.listAndWatch(ctx)
		if w.Store.CompleteVersion() > before {
			backoff = watchBackoffMin
		}
		sleep(ctx, jitter(w.Rand, backoff))
		backoff = min(2*backoff, watchBackoffMax)
	}
}

// listAndWatch lists the resources if necessary, and then watches until the watch
// ends.
func (w *Watcher) listAndWatch(ctx context.Context) {
	if w.mustRelist || w.Store.CompleteVersion() == noCompleteVersion {
		if err := w.List(ctx); err != nil {
			return
		}
		w.mustRelist = false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.cancelWhenDutyEnds(ctx, cancel)
	err := w.Platform.Watch(ctx, api.ConfigKinds, w.Store.CompleteVersion(), w.applyEvent)
	w.mustRelist = errors.Is(err, objects.ErrCompacted)
}

// cancelWhenDutyEnds calls cancel as soon as ShouldWatch returns false. It returns
// when ctx ends.
func (w *Watcher) cancelWhenDutyEnds(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if !w.ShouldWatch() {
			cancel()
			return
		}
		sleep(ctx, dutyPollInterval)
	}
}

func (w *Watcher) applyEvent(event api.WatchEvent) error {
	if w.Store.Apply(event) != ApplyUnchanged {
		w.OnChange(ResourceKey{event.Object.Kind, event.Object.Name})
	}
	return nil
}

// List fetches the lists of all kinds of configuration and of the copies of
// accepted specs, and applies them to the store. If one list can't be fetched, List
// applies none.
func (w *Watcher) List(ctx context.Context) error {
	lists, err := w.fetchLists(ctx)
	if err != nil {
		return err
	}
	changed := w.Store.ApplyLists(lists)
	changed = append(changed, w.Store.Merge(recordsFromCopies(lists[api.KindReport]))...)
	for _, key := range changed {
		w.OnChange(key)
	}
	return nil
}

// fetchLists lists all kinds of configuration and the reports in parallel. So it
// takes the time of one call only, even with a slow platform.
func (w *Watcher) fetchLists(ctx context.Context) (map[api.Kind]api.List, error) {
	kinds := append([]api.Kind{api.KindReport}, api.ConfigKinds...)
	lists := make([]api.List, len(kinds))
	errs := make([]error, len(kinds))
	var group sync.WaitGroup
	for i, kind := range kinds {
		group.Go(func() { lists[i], errs[i] = w.Platform.List(ctx, kind) })
	}
	group.Wait()
	byKind := make(map[api.Kind]api.List, len(lists))
	for i, kind := range kinds {
		if errs[i] != nil {
			return nil, errs[i]
		}
		byKind[kind] = lists[i]
	}
	return byKind, nil
}

// jitter returns a random duration from half of d to d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}

// sleep returns after d or when ctx ends, whichever comes first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
