package catalog

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/objects"
)

// scriptedSource is a source in memory.
type scriptedSource struct {
	mu       sync.Mutex
	revision int64
	config   Record
	servers  map[string]Record
	// compacted fails watches from before this revision.
	compacted int64
	err       error
	calls     map[string]int
}

func newSource() *scriptedSource {
	return &scriptedSource{revision: 1, servers: make(map[string]Record), calls: make(map[string]int)}
}

func (s *scriptedSource) put(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = s.revision
	if r.Kind == KindConfiguration {
		s.config = r
		return
	}
	s.servers[r.Name] = r
}

func (s *scriptedSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *scriptedSource) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
}

func (s *scriptedSource) records(kind Kind, after int64) []Record {
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

func (s *scriptedSource) List(_ context.Context, kind Kind) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list "+kind.String()]++
	if s.err != nil {
		return nil, 0, s.err
	}
	return s.records(kind, 0), s.revision, nil
}

// Watch returns at the end of the wait only: what happens meanwhile is heard
// late, as with a source that lost a change.
func (s *scriptedSource) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) ([]Record, int64, error) {
	sleep(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["watch "+kind.String()]++
	switch {
	case s.err != nil:
		return nil, 0, s.err
	case after < s.compacted:
		return nil, 0, objects.ErrCompacted
	}
	return s.records(kind, after), s.revision, nil
}

func follow(t *testing.T, source *scriptedSource, chosen func() bool, test func(table *Catalog, f *Watcher)) {
	t.Helper()
	followSource(t, source, chosen, test)
}

func followSource(t *testing.T, source Source, chosen func() bool, test func(table *Catalog, f *Watcher)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		table := New(plainDecoder{})
		f := &Watcher{
			Catalog: table, Source: source, ShouldWatch: chosen, Log: slog.New(slog.DiscardHandler),
			OnChange: func(string, []Change) {}, OnCall: func(string, string) {},
		}
		var done sync.WaitGroup
		done.Go(func() { f.Run(ctx) })
		time.Sleep(time.Millisecond)
		test(table, f)
		cancel()
		done.Wait()
	})
}

func always() bool { return true }

func TestChangesAreHeardInTime(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	source.put(server("a", 0, BackendServer{}))
	follow(t, source, always, func(table *Catalog, _ *Watcher) {
		expect(t, "version", table.Snapshot().Version, "1")
		expect(t, "usable", usable(table, start), "[a]")
		source.put(configuration(0, 2))
		source.put(server("b", 0, BackendServer{}))
		time.Sleep(watchWait + gather + 10*time.Millisecond)
		expect(t, "version", table.Snapshot().Version, "2")
		expect(t, "usable", usable(table, start), "[a b]")
	})
}

// TestMissedChangeIsLearntAfterACompaction makes a change that no watch hears
// and drops the history. It was in force nowhere for six seconds before watches
// became short.
func TestMissedChangeIsLearntAfterACompaction(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	follow(t, source, always, func(table *Catalog, _ *Watcher) {
		source.put(configuration(0, 2))
		source.compact()
		time.Sleep(watchWait + 10*time.Millisecond)
		expect(t, "version", table.Snapshot().Version, "2")
	})
}

func TestServersAreAskedForOnlyWhenTheRevisionMoved(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	follow(t, source, always, func(*Catalog, *Watcher) {
		time.Sleep(20 * watchWait)
		source.mu.Lock()
		defer source.mu.Unlock()
		if n := source.calls["watch server"]; n > 1 {
			t.Errorf("servers were asked for %d times without a change", n)
		}
	})
}

// staleServers tells an old revision with each answer about servers.
type staleServers struct{ *scriptedSource }

func (s staleServers) Watch(ctx context.Context, kind Kind, after int64, wait time.Duration) ([]Record, int64, error) {
	records, revision, err := s.scriptedSource.Watch(ctx, kind, after, wait)
	if kind == KindServer {
		return nil, after, err
	}
	return records, revision, err
}

func TestOldAnswersDoNotLeadToCallsWithoutPause(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	followSource(t, staleServers{source}, always, func(*Catalog, *Watcher) {
		source.put(configuration(0, 2))
		time.Sleep(watchWait + time.Second)
		source.mu.Lock()
		defer source.mu.Unlock()
		if n := source.calls["watch server"]; n > 25 {
			t.Errorf("%d calls in a second", n)
		}
	})
}

func TestInstanceThatIsNotChosenOnlyLists(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	follow(t, source, func() bool { return false }, func(table *Catalog, _ *Watcher) {
		time.Sleep(10 * watchWait)
		expect(t, "version", table.Snapshot().Version, "1")
		source.mu.Lock()
		defer source.mu.Unlock()
		expect(t, "calls", source.calls, "map[list configuration:1 list server:1]")
	})
}

func TestLostSourceIsAskedRarelyAndFoundAgain(t *testing.T) {
	source := newSource()
	source.put(configuration(0, 1))
	follow(t, source, always, func(table *Catalog, f *Watcher) {
		source.fail(errors.Wrap(objects.ErrUnavailable, "test"))
		time.Sleep(20 * time.Second)
		source.mu.Lock()
		calls := source.calls["watch configuration"]
		source.mu.Unlock()
		if calls > 40 {
			t.Errorf("%d calls in 20 s to a source that is down", calls)
		}
		if age := time.Since(f.LastResponse()); age < 18*time.Second {
			t.Errorf("the source counts as heard %v ago", age)
		}
		source.fail(nil)
		source.put(configuration(0, 2))
		time.Sleep(maxPause + 2*watchWait)
		expect(t, "version", table.Snapshot().Version, "2")
	})
}
