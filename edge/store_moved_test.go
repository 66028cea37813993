package edge

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// writeStoreAddress writes another address of the store into the settings file.
func (r *testInstance) writeStoreAddress(t *testing.T, from, to string) {
	t.Helper()
	raw, err := os.ReadFile(r.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(raw, []byte(strings.TrimPrefix(from, "http://")), []byte(strings.TrimPrefix(to, "http://")), 1)
	if err := os.WriteFile(r.settingsPath, changed, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestMovedStoreIsFollowed guards against an instance that goes on with the store at the address of its start, and runs
// requests that the operator no longer allows.
func TestMovedStoreIsFollowed(t *testing.T) {
	before, _ := newPlatform(t)
	before.Put("config", "main", configurationText(1))
	after := platformtest.NewStore()
	t.Cleanup(after.Close)
	for range 20 {
		// Revisions go on above those of the store before.
		after.Put("other", "filler", "{}")
		after.Delete("other", "filler")
	}
	peerPort := freePort(t, "127.0.0.2")
	instances := []*testInstance{
		startInstance(t, "127.0.0.2", peerPort, before.URL, 3),
		startInstance(t, "127.0.0.3", peerPort, before.URL, 3),
	}
	for n, i := range instances {
		await(t, "ready", i.isReady)
		i.gossip.AddSeeds(instances[1-n].settings.Load().Seeds)
	}
	after.Put("config", "main", configurationText(2))
	for _, i := range instances {
		i.writeStoreAddress(t, before.URL, after.URL)
	}
	// The second instance finds the changed file without a signal.
	instances[0].reload <- struct{}{}
	for _, i := range instances {
		await(t, "the configuration of the new address", func() bool { return i.catalog.Snapshot().Version == 2 })
	}
	before.Put("config", "main", configurationText(3))
	after.Put("servers", "i-9", `{"service":"s","address":"127.0.0.9:1","zone":"z","version":"v","slots":1,"state":"ready"}`)
	for _, i := range instances {
		await(t, "a server of the new address", func() bool { _, ok := i.catalog.Snapshot().Servers["i-9"]; return ok })
		if v := i.catalog.Snapshot().Version; v != 2 {
			t.Errorf("got version %d, want 2: the address before has no say", v)
		}
	}
}

// TestSettingsThatNeedRestartAreNamed guards against a changed setting that silently has no effect.
func TestSettingsThatNeedRestartAreNamed(t *testing.T) {
	store, _ := newPlatform(t)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), store.URL, 3)
	raw, err := os.ReadFile(i.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(i.settingsPath, append(raw, "\nlimits.memory_mb=123\nbounds.retry_ratio=0.3\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	i.reload <- struct{}{}
	await(t, "the log line with both settings", func() bool {
		return strings.Contains(i.log.String(), `"need_restart":["limits.memory_mb","bounds.retry_ratio"]`)
	})
	if got := i.needRestart.Load(); got != 2 {
		t.Errorf("got %d settings that need a restart in the metrics, want 2", got)
	}
}

// TestWaitingWatchEndsWithTheMove guards against a watch that keeps an instance at the address before until it ends by itself.
func TestWaitingWatchEndsWithTheMove(t *testing.T) {
	before, _ := newPlatform(t)
	i := startInstance(t, "127.0.0.2", freePort(t, "127.0.0.2"), before.URL, 3)
	source := i.stores[0]
	moved := make(chan error, 1)
	go func() {
		_, _, err := source.Watch(t.Context(), 1, 1000, time.Minute)
		moved <- err
	}()
	time.Sleep(50 * time.Millisecond)
	source.Move(before.URL)
	select {
	case err := <-moved:
		if err == nil {
			t.Error("the watch returned no error")
		}
	case <-time.After(5 * time.Second):
		t.Error("the watch still waits 5 s after the move")
	}
}
