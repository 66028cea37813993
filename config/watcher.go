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
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 10 * time.Second
	// chosenPoll is how often a watcher asks whether it is still chosen.
	chosenPoll = time.Second
)

// Platform is what a Watcher needs of the object API.
type Platform interface {
	List(ctx context.Context, kind api.Kind) (api.List, error)
	Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error
}

// Watcher feeds a store from the platform while it is chosen. It lists only if
// the store is not complete up to any version or the platform no longer keeps
// that version; else it watches from there.
type Watcher struct {
	Store    *Store
	Platform Platform
	// ShouldWatch reports whether this instance watches.
	ShouldWatch func() bool
	// OnChange is called for each resource that a list or an event changed.
	OnChange func(ResourceKey)
	Rand     *rand.Rand

	relist bool
}

// Run watches until ctx ends. It backs off with jitter after each failure.
func (w *Watcher) Run(ctx context.Context) {
	backoff := watchBackoffMin
	for ctx.Err() == nil {
		if !w.ShouldWatch() {
			sleep(ctx, chosenPoll)
			continue
		}
		before := w.Store.CompleteVersion()
		w.runOnce(ctx)
		if w.Store.CompleteVersion() > before {
			backoff = watchBackoffMin
		}
		sleep(ctx, jitter(w.Rand, backoff))
		backoff = min(2*backoff, watchBackoffMax)
	}
}

// runOnce lists if it has to, and watches until the watch ends.
func (w *Watcher) runOnce(ctx context.Context) {
	if w.relist || w.Store.CompleteVersion() == incomplete {
		if err := w.List(ctx); err != nil {
			return
		}
		w.relist = false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.cancelUnlessChosen(ctx, cancel)
	err := w.Platform.Watch(ctx, api.ConfigKinds, w.Store.CompleteVersion(), w.handle)
	w.relist = errors.Is(err, objects.ErrCompacted)
}

func (w *Watcher) cancelUnlessChosen(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if !w.ShouldWatch() {
			cancel()
			return
		}
		sleep(ctx, chosenPoll)
	}
}

func (w *Watcher) handle(event api.WatchEvent) error {
	if w.Store.Apply(event) != Unchanged {
		w.OnChange(ResourceKey{event.Object.Kind, event.Object.Name})
	}
	return nil
}

// List takes one list of each kind of configuration into the store, and the
// copies of accepted specs, or nothing.
func (w *Watcher) List(ctx context.Context) error {
	lists, err := w.fetchLists(ctx)
	if err != nil {
		return err
	}
	changed := w.Store.ApplyLists(lists)
	changed = append(changed, w.Store.Merge(recordsOfCopies(lists[api.KindReport]))...)
	for _, key := range changed {
		w.OnChange(key)
	}
	return nil
}

// fetchLists lists all kinds of configuration, and the reports, at once, so
// that a slow platform costs the time of one call.
func (w *Watcher) fetchLists(ctx context.Context) (map[api.Kind]api.List, error) {
	kinds := append([]api.Kind{api.KindReport}, api.ConfigKinds...)
	lists := make([]api.List, len(kinds))
	results := make([]error, len(kinds))
	var group sync.WaitGroup
	for i, kind := range kinds {
		group.Go(func() { lists[i], results[i] = w.Platform.List(ctx, kind) })
	}
	group.Wait()
	byKind := make(map[api.Kind]api.List, len(lists))
	for i, kind := range kinds {
		if results[i] != nil {
			return nil, results[i]
		}
		byKind[kind] = lists[i]
	}
	return byKind, nil
}

// jitter returns a duration from half of d to d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
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
