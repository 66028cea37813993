package streamorigin

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 700 * time.Millisecond
	// findTimeout bounds the wait for the store while a caller waits, and awaitTimeout that
	// for a new version to be listed.
	findTimeout  = 500 * time.Millisecond
	awaitTimeout = 500 * time.Millisecond
	// An attempt that is not stored yet is looked for once more, writeMargin after the time
	// between two writes, at most maxWriteWait later.
	writeMargin  = 20 * time.Millisecond
	maxWriteWait = 250 * time.Millisecond
	// expiryMargin is how much longer than its caller may wait an attempt is remembered.
	expiryMargin = time.Second
	// maxBegun bounds the attempts that are remembered. Beyond it, the origin of further
	// ones is unknown if they are taken up.
	maxBegun = 8192
)

// Options configures a Ledger. All fields are required.
type Options struct {
	// Process names this process. No other process, also of the same instance, has the name.
	Process string
	Store   Store
	// FirstStart is set if no process of the system ran before this start, so that no
	// stream can have begun unlisted.
	FirstStart bool
	// IsWatcher reports whether this instance is one of the few that follow the store. They
	// list new versions first, and clean up.
	IsWatcher func() bool
	// WriteInterval is the least time between two writes of attempts.
	WriteInterval func() time.Duration
	// OnListed is called when this instance learns that versions are listed.
	OnListed func()
	Log      *slog.Logger
}

// Ledger records the origins of this instance's streams, and finds those of streams that
// callers take up. It is safe for concurrent use.
type Ledger struct {
	options Options
	started time.Time
	reader  reader

	mu       sync.Mutex
	versions versions
	begun    map[uint64]begun
	// unwritten is set if the stored attempts of this process lack some.
	unwritten bool
	// syncNow is set if the listing must be read in any case.
	syncNow bool
	// failedAt is when the last call for the listing failed, or zero if it did not.
	failedAt time.Time
	// changed is closed, and replaced, when versions become listed or a call for it fails.
	changed chan struct{}
	wake    chan struct{}
	// firstEra is the first era that the store stated.
	firstEra objects.Era
	garbage  []string
	found    FoundCounts
}

// begun is an attempt of this process.
type begun struct {
	origin  Origin
	at      time.Time
	expires time.Time
}

// New returns a ledger that knows nothing. Run must be called for it to use the store.
func New(o Options) *Ledger {
	return &Ledger{
		options: o, started: time.Now(), reader: reader{store: o.Store}, versions: versions{known: make(map[Origin]*version)},
		begun: make(map[uint64]begun), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Observe takes in the origins of the servers that there are now.
func (l *Ledger) Observe(present []Origin, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.versions.known)
	for _, o := range present {
		l.versions.see(o, now)
	}
	l.unwritten = l.unwritten || len(l.versions.known) > known
	l.versions.forget(now)
	l.dropExpired(now)
	if origins, _ := l.versions.unlisted(now); len(origins) > 0 {
		l.wakeUp()
	}
}

// StoreCameBack has the listing read again, because the store lost what was written last.
func (l *Ledger) StoreCameBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncNow, l.unwritten = true, true
	l.wakeUp()
}

// MayBegin reports whether a stream may begin at a server of the origin.
func (l *Ledger) MayBegin(o Origin) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions.mayBegin(o, time.Now())
}

// AwaitListed waits until a stream may begin at one of the origins. It returns early if the
// store can't be asked.
func (l *Ledger) AwaitListed(ctx context.Context, origins []Origin) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		l.mu.Lock()
		now := time.Now()
		for _, o := range origins {
			l.versions.see(o, now)
			if l.versions.mayBegin(o, now) {
				l.mu.Unlock()
				return
			}
		}
		changed, failed := l.changed, !l.failedAt.IsZero()
		l.syncNow = true
		l.wakeUp()
		l.mu.Unlock()
		if failed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Begin records the origin of a stream whose first event was just received. After callerWaits
// the caller doesn't come back.
func (l *Ledger) Begin(attempt string, o Origin, callerWaits time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.begun) >= maxBegun {
		l.options.Log.Warn("stream origin not recorded", "request", attempt, "recorded", len(l.begun))
		return
	}
	l.begun[attemptHash(attempt)] = begun{origin: o, at: time.Now(), expires: callerWaits.Add(expiryMargin)}
	if l.versions.mixed(o.Service) {
		l.unwritten = true
		l.wakeUp()
	}
}

func (l *Ledger) dropExpired(now time.Time) {
	for attempt, b := range l.begun {
		if now.After(b.expires) {
			delete(l.begun, attempt)
		}
	}
}

// Listed returns hashes of the origins that this instance knows to be listed, for its peers.
func (l *Ledger) Listed() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hashes []uint64
	for o, known := range l.versions.known {
		if known.listed {
			hashes = append(hashes, o.hash())
		}
	}
	return hashes
}

// Learn takes in what a peer knows to be listed.
func (l *Ledger) Learn(hashes []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.versions.learn(hashes, time.Now()) {
		l.signalChanged()
	}
}

func (l *Ledger) signalChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Ledger) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
