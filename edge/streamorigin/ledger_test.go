package streamorigin_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// process is a running ledger.
type process struct {
	*streamorigin.Ledger
	kill context.CancelFunc
}

var (
	old   = streamorigin.Origin{Service: "s", Version: "v1"}
	newer = streamorigin.Origin{Service: "s", Version: "v2"}
)

// startProcess starts a ledger over the store. firstStart is set for the first one of a system.
func startProcess(t *testing.T, store *platformtest.Store, name string, firstStart bool) process {
	t.Helper()
	l := streamorigin.New(streamorigin.Options{
		Process: name, Store: &platform.MetadataStore{BaseURL: store.URL, HTTP: http.DefaultClient}, FirstStart: firstStart,
		IsWatcher: func() bool { return true }, WriteInterval: func() time.Duration { return time.Millisecond },
		OnListed: func() {}, Log: slog.New(slog.DiscardHandler),
	})
	ctx, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	go l.Run(ctx)
	return process{l, kill}
}

func newStore(t *testing.T) *platformtest.Store {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	return store
}

// begin begins a stream at the origin, once that is allowed.
func (p process) begin(t *testing.T, attempt string, o streamorigin.Origin) {
	t.Helper()
	p.AwaitListed(context.Background(), []streamorigin.Origin{o})
	if !p.MayBegin(o) {
		t.Fatalf("no stream may begin at %v", o)
	}
	p.Begin(attempt, o, time.Now().Add(time.Minute))
}

// expect checks what is found of the attempt within half a second.
func (p process) expect(t *testing.T, attempt string, want streamorigin.Source, origin streamorigin.Origin) {
	t.Helper()
	var got streamorigin.Found
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got = p.Find(context.Background(), "s", attempt); got.Source == want && got.Origin == origin {
			return
		}
	}
	t.Errorf("the origin of %q is %v, known by %v, error %v; want %v, known by %v", attempt, got.Origin, got.Source, got.Err, origin, want)
}

// TestStreamOfOnlyVersionIsKnownAfterRestart guards against refusing all take-ups while there
// is one version, of which nothing is written for each stream.
func TestStreamOfOnlyVersionIsKnownAfterRestart(t *testing.T) {
	store := newStore(t)
	first := startProcess(t, store, "a", true)
	first.begin(t, "1", old)
	first.expect(t, "1", streamorigin.OwnMemory, old)
	first.kill()
	second := startProcess(t, store, "b", false)
	second.expect(t, "1", streamorigin.SingleVersion, old)
	second.expect(t, "", streamorigin.SingleVersion, old)
}

// TestStreamOfVersionThatLeftIsKnownAfterRestart guards against taking the version that serves
// now for the one that began a stream.
func TestStreamOfVersionThatLeftIsKnownAfterRestart(t *testing.T) {
	store := newStore(t)
	first := startProcess(t, store, "a", true)
	first.begin(t, "1", old)
	first.begin(t, "2", newer)
	watched := startProcess(t, store, "b", false)
	watched.expect(t, "1", streamorigin.StoredAttempt, old)
	watched.expect(t, "2", streamorigin.StoredAttempt, newer)
	first.kill()
	second := startProcess(t, store, "c", false)
	second.begin(t, "3", newer)
	second.expect(t, "1", streamorigin.StoredAttempt, old)
	second.expect(t, "4", streamorigin.Unknown, streamorigin.Origin{})
	second.expect(t, "", streamorigin.Unknown, streamorigin.Origin{})
}

// TestNothingBeginsAtUnlistedVersion guards against streams of a version that no instance
// could learn of after all were killed.
func TestNothingBeginsAtUnlistedVersion(t *testing.T) {
	store := newStore(t)
	p := startProcess(t, store, "a", true)
	p.begin(t, "1", old)
	store.FailWith(http.StatusServiceUnavailable)
	p.AwaitListed(context.Background(), []streamorigin.Origin{newer})
	if p.MayBegin(newer) {
		t.Error("a stream may begin at a version that the store could not be told of")
	}
	if !p.MayBegin(old) {
		t.Error("no stream may begin at a listed version while the store is away")
	}
	began := time.Now()
	other := startProcess(t, store, "b", false)
	if got := other.Find(context.Background(), "s", "1"); got.Source != streamorigin.Unknown || got.Err == nil {
		t.Errorf("without the store the origin is known by %v, error %v; want it unknown, with the error", got.Source, got.Err)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("that took %v, want an answer at once", took)
	}
}

// TestPeerTellsWhatIsListed guards against instances that serve no new streams because the
// store turns them away.
func TestPeerTellsWhatIsListed(t *testing.T) {
	store := newStore(t)
	p := startProcess(t, store, "a", true)
	p.begin(t, "1", old)
	away := newStore(t)
	away.FailWith(http.StatusServiceUnavailable)
	cut := startProcess(t, away, "b", false)
	cut.Learn(p.Listed())
	if cut.MayBegin(old) {
		t.Error("a stream may begin at a version without servers")
	}
	cut.Observe([]streamorigin.Origin{old}, time.Now())
	cut.Learn(p.Listed())
	if !cut.MayBegin(old) {
		t.Error("no stream may begin at a version that a peer knows to be listed")
	}
}

// TestListingOfOlderCopyIsNotTrusted guards against a listing that lacks a version because the
// store came back from an older copy.
func TestListingOfOlderCopyIsNotTrusted(t *testing.T) {
	store := newStore(t)
	first := startProcess(t, store, "a", true)
	first.begin(t, "1", old)
	store.Copy()
	first.begin(t, "2", newer)
	first.kill()
	store.GoAway()
	store.ComeBack()
	second := startProcess(t, store, "b", false)
	second.expect(t, "2", streamorigin.Unknown, streamorigin.Origin{})
	second.begin(t, "3", old)
	second.expect(t, "2", streamorigin.Unknown, streamorigin.Origin{})
}

// TestManyProcessesListAtOnce guards against writes of one listing that undo each other.
func TestManyProcessesListAtOnce(t *testing.T) {
	store := newStore(t)
	const count = 12
	done := make(chan process)
	for n := range count {
		go func() {
			p := startProcess(t, store, fmt.Sprint("p", n), true)
			p.AwaitListed(context.Background(), []streamorigin.Origin{{Service: "s", Version: fmt.Sprint("v", n%3)}})
			done <- p
		}()
	}
	var p process
	for range count {
		p = <-done
	}
	if got := p.Find(context.Background(), "s", "x"); got.Versions != 3 {
		t.Errorf("the listing holds %d versions, want 3", got.Versions)
	}
}

// TestUnreadableListingIsWrittenAgain guards against a listing of another writer, which nobody can
// read: no stream could begin at a new version, for good. What it held is not guessed.
func TestUnreadableListingIsWrittenAgain(t *testing.T) {
	for _, odd := range []string{strings.Repeat("[", 20000) + strings.Repeat("]", 20000), `{"versions":7}`, "null", `{"era":1e400}`} {
		store := newStore(t)
		first := startProcess(t, store, "a", true)
		first.begin(t, "1", old)
		first.kill()
		store.Put("streams", "versions", odd)
		store.Put("streams", "attempts.odd", odd)
		second := startProcess(t, store, "b", false)
		second.expect(t, "1", streamorigin.Unknown, streamorigin.Origin{})
		second.begin(t, "2", newer)
		second.expect(t, "1", streamorigin.Unknown, streamorigin.Origin{})
		second.expect(t, "2", streamorigin.OwnMemory, newer)
	}
}
