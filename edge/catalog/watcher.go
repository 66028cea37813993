package catalog

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// watchWait is how long the store may hold a watch call open while there is no
	// change. If a call misses a change because the store compacted its history, only
	// the next call shows the change, so watchWait must be shorter than the time
	// within which a change has to take effect.
	watchWait = 700 * time.Millisecond
	// callTimeout bounds a call to the store. A watch call may take this time in
	// addition to the time that the store may hold it open.
	callTimeout = 1500 * time.Millisecond
	// dutyPollInterval is how often an instance that does not watch the store checks
	// whether it should watch the store.
	dutyPollInterval = 50 * time.Millisecond
	// batchDelay is the pause after a response with changes. Changes come in bursts
	// when many servers start or leave; after the pause, one call returns several.
	batchDelay = 40 * time.Millisecond
	// Bounds of the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Source is the store that records come from. Its errors are those of package
// objects.
type Source interface {
	// List returns all records of a kind and the version of the source.
	List(ctx context.Context, kind RecordKind) ([]Record, objects.Version, error)
	// Watch returns the changes of a kind after a revision, and the version of
	// the source, as soon as there is a change or wait has passed.
	Watch(ctx context.Context, kind RecordKind, after int64, wait time.Duration) ([]Record, objects.Version, error)
}

// Watcher keeps a catalog up to date with a source. It continuously watches only the
// configuration. Each response includes the revision of the source. If that revision is
// higher than the one up to which the servers are known, the watcher also requests the
// changes of the servers.
type Watcher struct {
	Catalog *Catalog
	Source  Source
	// ShouldWatch reports whether this instance should watch the source. While it
	// returns false, the watcher makes no calls once it has listed all records.
	ShouldWatch func() bool
	// SourceMoves returns how often the source got another address. A call that is under way
	// then fails. It may be nil.
	SourceMoves func() int
	// OnChange is called with the changes that each response made.
	OnChange func(source string, changes []Change)
	// OnCall is called after each call with its name and result, as used in metrics.
	OnCall func(call, result string)
	// Suspended returns for how long the machine has been suspended so far, which the steady clock
	// doesn't count. It may be nil.
	Suspended func() time.Duration
	Log       *slog.Logger

	// configurationRevision and serversRevision are the revisions up to which each
	// kind is known, or 0 if the kind must be listed. sourceRevision is the highest
	// revision of the source seen in a response. All are revisions of the same era.
	era                   objects.Era
	configurationRevision int64
	serversRevision       int64
	sourceRevision        int64
	retryDelay            time.Duration
	unreachable           bool
	// lastResponse is the source's last response, or nil if there was none.
	lastResponse atomic.Pointer[response]
	// rested is set if this instance did not watch the source before the next call.
	rested bool
	// moves is the number of the source's moves after which its records were listed.
	moves int
}

// relistAfterMove has all records listed again if the source got another address.
func (w *Watcher) relistAfterMove() {
	if moves := w.countMoves(); moves != w.moves {
		w.moves = moves
		w.configurationRevision, w.serversRevision, w.sourceRevision = 0, 0, 0
	}
}

func (w *Watcher) countMoves() int {
	if w.SourceMoves == nil {
		return 0
	}
	return w.SourceMoves()
}

// response is when the source responded. The time of day may jump, so that at is only compared
// by its steady clock, and suspended is for how long the machine had been suspended by then.
type response struct {
	at        time.Time
	suspended time.Duration
}

// ResponseAge returns how long ago the source last responded, or the longest duration if it never did. The
// parameter now must come from time.Now.
func (w *Watcher) ResponseAge(now time.Time) time.Duration {
	last := w.lastResponse.Load()
	if last == nil {
		return math.MaxInt64
	}
	return now.Sub(last.at) + w.suspended() - last.suspended
}

func (w *Watcher) suspended() time.Duration {
	if w.Suspended == nil {
		return 0
	}
	return w.Suspended()
}

// Run watches the source until ctx ends. It lists all records at the start, and again
// if the source has compacted its history, or came back from an older copy, and can
// therefore not return the changes since the last response.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.listed() && !w.ShouldWatch() {
			w.rested = true
			sleep(ctx, dutyPollInterval)
			continue
		}
		w.relistAfterMove()
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && w.countMoves() != w.moves {
			// The call ended because of the move, and says nothing about the source.
			continue
		}
		w.recordResult(err)
		switch {
		case err == nil:
		case errors.Is(err, objects.ErrCompacted):
			w.configurationRevision, w.serversRevision = 0, 0
		default:
			w.backOff(ctx)
		}
	}
}

func (w *Watcher) listed() bool { return w.configurationRevision != 0 && w.serversRevision != 0 }

// step makes the next call and applies its response.
func (w *Watcher) step(ctx context.Context) error {
	switch {
	case w.serversRevision == 0:
		// Servers are listed before the configuration, because the instance counts as
		// ready for requests as soon as it has a configuration.
		return w.list(ctx, KindServer)
	case w.configurationRevision == 0:
		return w.list(ctx, KindConfiguration)
	case w.sourceRevision > w.serversRevision:
		err := w.watch(ctx, KindServer, 0)
		if err == nil && w.sourceRevision > w.serversRevision {
			// The response has a lower revision than an earlier one, so the next step
			// makes the same call again. The pause prevents a busy loop.
			sleep(ctx, dutyPollInterval)
		}
		return err
	}
	return w.watchConfiguration(ctx)
}

// watchConfiguration watches the configuration. An instance that takes over from others that were lost
// asks at once for what has changed meanwhile: the store would hold the call open if only servers have.
func (w *Watcher) watchConfiguration(ctx context.Context) error {
	if !w.rested {
		return w.watch(ctx, KindConfiguration, watchWait)
	}
	err := w.watch(ctx, KindConfiguration, 0)
	w.rested = err != nil
	return err
}

// Names of the calls to a source in logs and metrics.
const (
	callWatch = "watch"
	callList  = "list"
)

// watch requests the changes of a kind since the last response.
func (w *Watcher) watch(ctx context.Context, kind RecordKind, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	after := w.configurationRevision
	if kind == KindServer {
		after = w.serversRevision
	}
	records, version, err := w.Source.Watch(callCtx, kind, after, wait)
	err = w.checkEra(&version, err)
	w.OnCall(callWatch, resultName(err))
	if err != nil {
		return err
	}
	if version.Era != w.era {
		// The changes are those since a revision of the new era, so they are not complete.
		w.enterEra(version)
		w.OnChange(callWatch, w.Catalog.EnterEra(version, time.Now()))
		return nil
	}
	w.applyResponse(callWatch, kind, records, version)
	if len(records) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// list requests all records of a kind.
func (w *Watcher) list(ctx context.Context, kind RecordKind) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, version, err := w.Source.List(ctx, kind)
	err = w.checkEra(&version, err)
	w.OnCall(callList, resultName(err))
	if err != nil {
		return err
	}
	if version.Era != w.era {
		w.enterEra(version)
	}
	w.applyResponse(callList, kind, records, version)
	return nil
}

// checkEra sets the era of a response that states none, and returns an error if the era
// is lower than the one that is known.
func (w *Watcher) checkEra(version *objects.Version, err error) error {
	if err != nil {
		return err
	}
	known := w.Catalog.Era()
	if version.Era == objects.EraUnstated {
		version.Era = known
	}
	if version.Era < known {
		return errors.Wrapf(objects.ErrEra, "the era fell from %v to %v", known, version.Era)
	}
	return nil
}

// enterEra has both kinds listed again, because the source came back from an older copy.
func (w *Watcher) enterEra(version objects.Version) {
	w.era, w.sourceRevision = version.Era, version.Revision
	w.configurationRevision, w.serversRevision = 0, 0
}

// applyResponse merges the records of a response into the catalog.
func (w *Watcher) applyResponse(call string, kind RecordKind, records []Record, version objects.Version) {
	w.sourceRevision = max(w.sourceRevision, version.Revision)
	now := time.Now()
	var changes []Change
	switch {
	case kind == KindConfiguration:
		changes = w.Catalog.Merge(stampEra(records, version.Era), now)
		w.configurationRevision = version.Revision
	case call == callList:
		changes = w.Catalog.MergeServerList(records, version, now)
		w.serversRevision = version.Revision
	default:
		changes = w.Catalog.MergeEvents(records, version, now)
		w.serversRevision = version.Revision
	}
	w.OnChange(call, changes)
}

// resultName returns the metric label for a call's result.
func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objects.ErrCompacted):
		return "compacted"
	case errors.Is(err, objects.ErrRateLimited):
		return "rate_limited"
	case errors.Is(err, objects.ErrEra):
		return "invalid_era"
	}
	return "unavailable"
}

// recordResult records whether a call reached the source, and logs when the source
// becomes unreachable or reachable again.
func (w *Watcher) recordResult(err error) {
	if err == nil || errors.Is(err, objects.ErrCompacted) {
		if w.unreachable {
			w.Log.Info("store is reachable again", "revision", w.sourceRevision)
		}
		w.unreachable, w.retryDelay = false, 0
		w.lastResponse.Store(&response{at: time.Now(), suspended: w.suspended()})
		return
	}
	if !w.unreachable {
		w.Log.Warn("store became unreachable", "revision", w.sourceRevision, "error", err.Error())
	}
	w.unreachable = true
}

// backOff waits with exponential backoff and jitter, so that instances don't all
// call again at the same moment.
func (w *Watcher) backOff(ctx context.Context) {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	sleep(ctx, w.retryDelay/2+rand.N(w.retryDelay/2))
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
