package catalog

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

// fakeSource is an in-memory source.
type fakeSource struct {
	mu       sync.Mutex
	era      objects.Era
	revision int64
	config   Record
	servers  map[string]Record
	// compacted is the lowest revision after which the source still knows all changes.
	// Watches after a lower revision fail with ErrCompacted.
	compacted int64
	err       error
	calls     map[string]int
}

func newFakeSource() *fakeSource {
	return &fakeSource{revision: 1, servers: make(map[string]Record), calls: make(map[string]int)}
}

func (s *fakeSource) put(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision, r.Era = s.revision, s.era
	if r.Kind == KindConfiguration {
		s.config = r
		return
	}
	s.servers[r.Name] = r
}

func (s *fakeSource) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *fakeSource) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

// records returns the records of a kind with a revision above after.
func (s *fakeSource) records(kind RecordKind, after int64) []Record {
	var out []Record
	if kind == KindConfiguration && s.config.Revision > after {
		out = append(out, s.config)
	}
	for _, r := range s.servers {
		if kind == KindServer && r.Revision > after {
			out = append(out, r)
		}
	}
	return out
}

func (s *fakeSource) List(_ context.Context, kind RecordKind) ([]Record, objects.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list "+kind.String()]++
	if s.err != nil {
		return nil, objects.Version{}, s.err
	}
	return s.records(kind, 0), objects.Version{Era: s.era, Revision: s.revision}, nil
}

// Watch returns only after the whole wait, like a source that failed to notify the
// watch of a change.
func (s *fakeSource) Watch(ctx context.Context, kind RecordKind, after int64, wait time.Duration) ([]Record, objects.Version, error) {
	sleep(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["watch "+kind.String()]++
	switch {
	case s.err != nil:
		return nil, objects.Version{}, s.err
	case after < s.compacted || after > s.revision:
		return nil, objects.Version{}, objects.ErrCompacted
	}
	return s.records(kind, after), objects.Version{Era: s.era, Revision: s.revision}, nil
}

// runFakeWatcher calls test while a watcher watches a fakeSource, in simulated time.
func runFakeWatcher(t *testing.T, source *fakeSource, shouldWatch func() bool, test func(catalog *Catalog, w *Watcher)) {
	t.Helper()
	runWatcher(t, source, shouldWatch, test)
}

// runWatcher calls test while a watcher watches any source, in simulated time.
func runWatcher(t *testing.T, source Source, shouldWatch func() bool, test func(catalog *Catalog, w *Watcher)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		catalog := New(plainDecoder{})
		w := &Watcher{
			Catalog: catalog, Source: source, ShouldWatch: shouldWatch, Log: slog.New(slog.DiscardHandler),
			OnChange: func(string, []Change) {}, OnCall: func(string, string) {},
		}
		var done sync.WaitGroup
		done.Go(func() { w.Run(ctx) })
		time.Sleep(time.Millisecond)
		test(catalog, w)
		cancel()
		done.Wait()
	})
}

func always() bool { return true }

// TestChangesAreAppliedInTime changes the configuration and adds a server while a watch
// call is open. Both changes must be in the catalog soon after the call returned.
func TestChangesAreAppliedInTime(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	source.put(serverRecord("a", 0, BackendServer{}))
	runFakeWatcher(t, source, always, func(catalog *Catalog, _ *Watcher) {
		expectEqual(t, "version", catalog.Snapshot().Version, "1")
		expectEqual(t, "usable", availableIDs(catalog, start), "[a]")
		source.put(configurationRecord(0, 2))
		source.put(serverRecord("b", 0, BackendServer{}))
		time.Sleep(watchWait + batchDelay + 10*time.Millisecond)
		expectEqual(t, "version", catalog.Snapshot().Version, "2")
		expectEqual(t, "usable", availableIDs(catalog, start), "[a b]")
	})
}

// TestChangeMissedByWatchIsSeenAfterCompaction makes a change that does not end the open
// watch call, and compacts the history. The change must be applied by the next call.
// When watch calls lasted longer, such a change took effect at no instance for six
// seconds.
func TestChangeMissedByWatchIsSeenAfterCompaction(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	runFakeWatcher(t, source, always, func(catalog *Catalog, _ *Watcher) {
		source.put(configurationRecord(0, 2))
		source.compact()
		time.Sleep(watchWait + 10*time.Millisecond)
		expectEqual(t, "version", catalog.Snapshot().Version, "2")
	})
}

// TestServersAreRequestedOnlyAfterRevisionChange checks that the watcher makes no calls for
// the servers while the source's revision stays the same.
func TestServersAreRequestedOnlyAfterRevisionChange(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	runFakeWatcher(t, source, always, func(*Catalog, *Watcher) {
		time.Sleep(20 * watchWait)
		source.mu.Lock()
		defer source.mu.Unlock()
		if n := source.calls["watch server"]; n > 1 {
			t.Errorf("servers were requested %d times without a change, want at most once", n)
		}
	})
}

// staleServerSource responds to each watch of the servers without a change and with the
// revision from which the watch started, as if it knew no later revision.
type staleServerSource struct{ *fakeSource }

func (s staleServerSource) Watch(ctx context.Context, kind RecordKind, after int64, wait time.Duration) ([]Record, objects.Version, error) {
	records, version, err := s.fakeSource.Watch(ctx, kind, after, wait)
	if kind == KindServer {
		return nil, objects.Version{Era: version.Era, Revision: after}, err
	}
	return records, version, err
}

// TestStaleResponsesDoNotCauseBusyLoop has the source respond to watches of the servers
// with an old revision. The watcher calls again then, and must pause in between.
func TestStaleResponsesDoNotCauseBusyLoop(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	runWatcher(t, staleServerSource{source}, always, func(*Catalog, *Watcher) {
		source.put(configurationRecord(0, 2))
		time.Sleep(watchWait + time.Second)
		source.mu.Lock()
		defer source.mu.Unlock()
		if n := source.calls["watch server"]; n > 25 {
			t.Errorf("got %d watches of the servers within 1.7 s, want at most 25", n)
		}
	})
}

// TestInstanceThatShouldNotWatchOnlyLists checks that a watcher whose ShouldWatch returns
// false lists each kind of record once and makes no other call.
func TestInstanceThatShouldNotWatchOnlyLists(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	runFakeWatcher(t, source, func() bool { return false }, func(catalog *Catalog, _ *Watcher) {
		time.Sleep(10 * watchWait)
		expectEqual(t, "version", catalog.Snapshot().Version, "1")
		source.mu.Lock()
		defer source.mu.Unlock()
		expectEqual(t, "calls", source.calls, "map[list configuration:1 list server:1]")
	})
}

// TestUnavailableSourceIsPolledWithBackoff has the source fail for 20 s. The watcher must
// call it rarely, and apply a change soon after the source works again.
func TestUnavailableSourceIsPolledWithBackoff(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	runFakeWatcher(t, source, always, func(catalog *Catalog, w *Watcher) {
		source.setError(errors.Wrap(objects.ErrUnavailable, "test"))
		time.Sleep(20 * time.Second)
		source.mu.Lock()
		calls := source.calls["watch configuration"]
		source.mu.Unlock()
		if calls > 40 {
			t.Errorf("got %d calls in 20 s to an unavailable source, want at most 40", calls)
		}
		if age := w.ResponseAge(time.Now()); age < 18*time.Second {
			t.Errorf("got the last response %v ago, want at least 18 s ago", age)
		}
		source.setError(nil)
		source.put(configurationRecord(0, 2))
		time.Sleep(maxRetryDelay + 2*watchWait)
		expectEqual(t, "version", catalog.Snapshot().Version, "2")
	})
}

// TestAgeOfResponseDoesNotFollowTheTimeOfDay guards against an instance that counts as one which gets
// responses of the store for seconds after it got none, because its time of day jumped back, or because its
// machine was suspended.
func TestAgeOfResponseDoesNotFollowTheTimeOfDay(t *testing.T) {
	suspended := time.Duration(0)
	w := &Watcher{Suspended: func() time.Duration { return suspended }, Log: slog.New(slog.DiscardHandler)}
	w.recordResult(nil)
	if at := w.lastResponse.Load().at; at == at.Round(0) {
		t.Error("the time of the last response has no reading of the steady clock")
	}
	now := time.Now()
	before := w.ResponseAge(now)
	suspended = 5 * time.Second
	if age := w.ResponseAge(now); age != before+suspended {
		t.Errorf("got the age %v after a suspension of 5 s, want %v", age, before+suspended)
	}
}

// TestInstanceThatTakesOverAsksAtOnce guards against a server that leaves while both instances that watch
// the store are lost, and that is used for as long as a watch may last after another instance took over.
func TestInstanceThatTakesOverAsksAtOnce(t *testing.T) {
	source := newFakeSource()
	source.put(configurationRecord(0, 1))
	source.put(serverRecord("a", 0, BackendServer{}))
	var lost atomic.Bool
	runFakeWatcher(t, source, lost.Load, func(catalog *Catalog, _ *Watcher) {
		time.Sleep(time.Second)
		source.put(serverRecord("b", 0, BackendServer{}))
		lost.Store(true)
		time.Sleep(dutyPollInterval + 10*time.Millisecond)
		expectEqual(t, "usable", availableIDs(catalog, start), "[a b]")
		time.Sleep(10 * watchWait)
		source.mu.Lock()
		defer source.mu.Unlock()
		if n := source.calls["watch configuration"]; n > 12 {
			t.Errorf("got %d watches within ten times their length, want at most 12", n)
		}
	})
}
