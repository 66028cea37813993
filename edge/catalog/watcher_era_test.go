package catalog

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// stepBack makes the source come back as it was at a lower revision, in the next era.
func (s *fakeSource) stepBack(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = revision
	maps.DeleteFunc(s.servers, func(_ string, r Record) bool { return r.Revision > revision })
	for name, r := range s.servers {
		s.servers[name] = in(s.era, r)
	}
	s.config = in(s.era, s.config)
	if s.config.Revision > revision {
		s.config = Record{}
	}
}

// countCalls returns how many calls of each type came while f ran.
func (s *fakeSource) countCalls(f func()) map[string]int {
	s.mu.Lock()
	clear(s.calls)
	s.mu.Unlock()
	f()
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// newNumberedSource returns a source with a configuration and five servers.
func newNumberedSource() *fakeSource {
	source := newFakeSource()
	source.era = firstEra
	source.put(configurationRecord(0, 1))
	for n := range 5 {
		source.put(serverRecord(fmt.Sprint("s", n), 0, BackendServer{}))
	}
	return source
}

// TestWatcherWaitsAfterStepBack guards against a watcher that polls the servers without
// waiting, because the source's revision is below one that it has seen.
func TestWatcherWaitsAfterStepBack(t *testing.T) {
	source := newNumberedSource()
	runFakeWatcher(t, source, always, func(c *Catalog, _ *Watcher) {
		calls := source.countCalls(func() {
			source.stepBack(4)
			time.Sleep(10 * watchWait)
		})
		// The watch that was open when the source stepped back is one more.
		want := map[string]int{"list server": 1, "list configuration": 1}
		for call, n := range want {
			if calls[call] != n {
				t.Errorf("got %d calls %q, want %d", calls[call], call, n)
			}
		}
		if calls["watch server"] > 1 || calls["watch configuration"] < 9 || calls["watch configuration"] > 11 {
			t.Errorf("got the calls %v in ten waits, want about ten watches of the configuration and at most one of the servers", calls)
		}
		source.put(configurationRecord(0, 2))
		source.put(serverRecord("s9", 0, BackendServer{}))
		time.Sleep(watchWait + batchDelay + 10*time.Millisecond)
		expectEqual(t, "version", c.Snapshot().Version, "2")
		expectEqual(t, "usable", availableIDs(c, time.Now()), "[s0 s1 s9]")
	})
}

// TestWatcherListsOnceWhenRevisionHasCaughtUp guards against a watch that goes on from a
// revision of the older era, which the source has given out again meanwhile.
func TestWatcherListsOnceWhenRevisionHasCaughtUp(t *testing.T) {
	source := newNumberedSource()
	runFakeWatcher(t, source, always, func(c *Catalog, _ *Watcher) {
		calls := source.countCalls(func() {
			source.stepBack(5)
			for n := range 6 {
				source.put(serverRecord(fmt.Sprint("new", n), 0, BackendServer{}))
			}
			source.put(configurationRecord(0, 5))
			time.Sleep(watchWait + pagesReturnTime + MissingEntryGrace)
		})
		expectEqual(t, "version", c.Snapshot().Version, "5")
		expectEqual(t, "usable", availableIDs(c, time.Now()), "[new0 new1 new2 new3 new4 new5 s0 s1 s2]")
		if calls["list server"] != 1 || calls["list configuration"] != 1 {
			t.Errorf("got the calls %v, want one list of each kind", calls)
		}
	})
}

// TestEraThatFallsCountsAsUnreachable guards against an answer of an older era that is
// used, for example from a member of the store that is behind.
func TestEraThatFallsCountsAsUnreachable(t *testing.T) {
	source := newNumberedSource()
	runFakeWatcher(t, source, always, func(c *Catalog, w *Watcher) {
		source.stepBack(7)
		time.Sleep(3 * watchWait)
		source.mu.Lock()
		source.era = firstEra
		source.mu.Unlock()
		source.put(configurationRecord(0, 9))
		calls := source.countCalls(func() { time.Sleep(20 * time.Second) })
		expectEqual(t, "version", c.Snapshot().Version, "1")
		if age := w.ResponseAge(time.Now()); age < 18*time.Second {
			t.Errorf("the last response counts as %v old, want at least 18 s", age)
		}
		if calls["watch configuration"] > 40 || calls["list server"] > 0 || calls["list configuration"] > 0 {
			t.Errorf("got the calls %v in 20 s, want at most 40 watches and no lists", calls)
		}
		source.mu.Lock()
		source.era = secondEra
		source.mu.Unlock()
		source.put(configurationRecord(0, 10))
		time.Sleep(maxRetryDelay + 2*watchWait)
		expectEqual(t, "version", c.Snapshot().Version, "10")
	})
}

// TestInstanceThatDoesNotWatchMakesNoCallsAfterStepBack guards against a list by each
// instance of the fleet for each step back.
func TestInstanceThatDoesNotWatchMakesNoCallsAfterStepBack(t *testing.T) {
	source := newNumberedSource()
	runFakeWatcher(t, source, func() bool { return false }, func(c *Catalog, _ *Watcher) {
		source.stepBack(3)
		c.Merge([]Record{in(secondEra, serverRecord("s0", 3, BackendServer{}))}, time.Now())
		calls := source.countCalls(func() { time.Sleep(10 * watchWait) })
		expectEqual(t, "calls", calls, "map[]")
	})
}
