package catalog

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// watchWait is how long the platform may keep a watch without news. A watch
	// that missed a change before its history was dropped learns it only when it
	// is asked again, so this is under the time in which a change is in force.
	watchWait = 700 * time.Millisecond
	// answerSlack is how much longer than asked a call may take.
	answerSlack = 1500 * time.Millisecond
	// chosenPoll is the time between two looks at whether to follow.
	chosenPoll = 50 * time.Millisecond
	// gather is the pause after an answer with changes. They come in crowds, when
	// many servers start or leave, and one call brings what came meanwhile.
	gather = 40 * time.Millisecond
	// Bounds of the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = time.Second
)

// Source is where records come from. Its errors are those of package objects.
type Source interface {
	// List returns all records of a kind and the source's revision.
	List(ctx context.Context, kind Kind) ([]Record, int64, error)
	// Watch returns the changes of a kind after a revision, and the source's
	// revision, as soon as there is a change or wait has passed.
	Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) ([]Record, int64, error)
}

// Watcher keeps a table up to date with a source. It watches the
// configuration. The source's revision, which each answer tells, says whether
// servers may have changed too, so they are asked for only then.
type Watcher struct {
	Catalog *Catalog
	Source  Source
	// ShouldWatch reports whether this instance is one that follows the source once
	// it has listed it.
	ShouldWatch func() bool
	// OnChange is called with what each answer changed.
	OnChange func(source string, changes []Change)
	// OnCall is called with each call's name and result.
	OnCall func(call, result string)
	Log    *slog.Logger

	// configuration and servers are the revisions up to which each is known, or
	// 0 if a list is needed. Newest is the source's own, as last told.
	configuration int64
	servers       int64
	newest        int64
	pause         time.Duration
	lost          bool
	// answered is when the source last answered, in Unix nanoseconds.
	answered atomic.Int64
}

// LastResponse returns when the source last answered.
func (f *Watcher) LastResponse() time.Time { return time.Unix(0, f.answered.Load()) }

// Run follows the source until ctx ends. It lists once, and again only if the
// source no longer keeps what happened since.
func (f *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.listed() && !f.ShouldWatch() {
			sleep(ctx, chosenPoll)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		switch {
		case err == nil:
		case errors.Is(err, objects.ErrCompacted):
			f.configuration, f.servers = 0, 0
		default:
			f.backOff(ctx)
		}
	}
}

func (f *Watcher) listed() bool { return f.configuration != 0 && f.servers != 0 }

// step makes the next call and takes in its answer.
func (f *Watcher) step(ctx context.Context) error {
	switch {
	case f.servers == 0:
		// Before the configuration, which makes an instance ready.
		return f.list(ctx, KindServer)
	case f.configuration == 0:
		return f.list(ctx, KindConfiguration)
	case f.newest > f.servers:
		err := f.watch(ctx, KindServer, 0)
		if err == nil && f.newest > f.servers {
			// The answer is older than one before it. It won't be for long.
			sleep(ctx, chosenPoll)
		}
		return err
	}
	return f.watch(ctx, KindConfiguration, watchWait)
}

// The calls to a source, as logs and metrics name them.
const (
	callWatch = "watch"
	callList  = "list"
)

// watch asks for the changes of a kind since the last answer.
func (f *Watcher) watch(ctx context.Context, kind Kind, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	after := f.configuration
	if kind == KindServer {
		after = f.servers
	}
	records, revision, err := f.Source.Watch(callCtx, kind, after, wait)
	f.OnCall(callWatch, resultName(err))
	if err != nil {
		return err
	}
	f.take(callWatch, kind, records, revision)
	if len(records) > 0 {
		sleep(ctx, gather)
	}
	return nil
}

// list asks for all records of a kind.
func (f *Watcher) list(ctx context.Context, kind Kind) error {
	ctx, cancel := context.WithTimeout(ctx, answerSlack)
	defer cancel()
	records, revision, err := f.Source.List(ctx, kind)
	f.OnCall(callList, resultName(err))
	if err != nil {
		return err
	}
	f.take(callList, kind, records, revision)
	return nil
}

// take takes in the answer of a call.
func (f *Watcher) take(call string, kind Kind, records []Record, revision int64) {
	f.newest = max(f.newest, revision)
	now := time.Now()
	var changes []Change
	switch {
	case kind == KindConfiguration:
		changes = f.Catalog.Merge(records, now)
		f.configuration = revision
	case call == callList:
		changes = f.Catalog.MergeServerList(records, revision, now)
		f.servers = revision
	default:
		changes = f.Catalog.MergeEvents(records, revision, now)
		f.servers = revision
	}
	f.OnChange(call, changes)
}

// resultName names a call's result for metrics.
func resultName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objects.ErrCompacted):
		return "compacted"
	case errors.Is(err, objects.ErrRateLimited):
		return "rate_limited"
	}
	return "unavailable"
}

// note logs the loss of the source and its return.
func (f *Watcher) note(err error) {
	if err == nil || errors.Is(err, objects.ErrCompacted) {
		if f.lost {
			f.Log.Info("store regained", "revision", f.newest)
		}
		f.lost, f.pause = false, 0
		f.answered.Store(time.Now().UnixNano())
		return
	}
	if !f.lost {
		f.Log.Warn("store lost", "revision", f.newest, "error", err.Error())
	}
	f.lost = true
}

// backOff waits twice as long after each failure, with jitter so that instances
// don't come back in step.
func (f *Watcher) backOff(ctx context.Context) {
	f.pause = min(max(2*f.pause, minPause), maxPause)
	sleep(ctx, f.pause/2+rand.N(f.pause/2))
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
