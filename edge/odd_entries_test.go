package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// TestOddEntryKeepsInstancesFromFollowingServers guards against one entry of another writer for
// which all others can't be read: instances that run no longer follow the servers, and those that
// start never become ready.
func TestOddEntryKeepsInstancesFromFollowingServers(t *testing.T) {
	store, _ := newPlatform(t)
	store.Put("config", "main", configurationText(1))
	port := freePort(t, "127.0.0.2")
	instances := []*testInstance{startInstance(t, "127.0.0.2", port, store.URL, 3), startInstance(t, "127.0.0.3", port, store.URL, 3)}
	for _, i := range instances {
		await(t, "ready", i.isReady)
	}
	for _, kind := range []string{"servers", "config", "streams"} {
		store.PutOddEntries(kind)
	}
	// Each of them is written again, so that all instances read it more than once.
	store.PutOddEntries("servers")
	joined := platformtest.NewBackendServer("i-2", "s")
	t.Cleanup(joined.Close)
	joined.SetBehaviour(platformtest.Behaviour{Events: 2})
	store.Put("servers", "i-2", joined.Entry("ready"))
	store.Delete("servers", "i-1")
	follows := func(i *testInstance) func() bool {
		return func() bool {
			servers := i.catalog.Snapshot().Servers
			_, known := servers["i-2"]
			left, listed := servers["i-1"]
			return known && (!listed || left.EntryMissing)
		}
	}
	for _, i := range instances {
		await(t, "an instance that runs follows the servers", follows(i))
	}
	started := startInstance(t, "127.0.0.4", port, store.URL, 3)
	await(t, "an instance that starts is ready", started.isReady)
	await(t, "an instance that starts knows the servers", follows(started))
	store.FailWith(http.StatusServiceUnavailable)
	taught := startInstance(t, "127.0.0.5", port, store.URL, 3)
	await(t, "an instance that only peers teach is ready", taught.isReady)
	await(t, "an instance that only peers teach knows the servers", follows(taught))
	for n, i := range append(instances, started, taught) {
		if got := len(i.catalog.Snapshot().Servers); got > 2 {
			t.Errorf("instance %d takes %d entries for servers, want i-2, and i-1 for a while", n, got)
		}
		if got := i.roundTrip(testRequest{path: platformtest.PathStream, id: fmt.Sprint("after", n)}); got.status != http.StatusOK {
			t.Errorf("instance %d: got status %d, want 200", n, got.status)
		}
	}
	log := instances[0].log.String()
	if got := strings.Count(log, `"kind":"server","name":"deep"`); got != 1 {
		t.Errorf("the deep entry is logged %d times, want once", got)
	}
	for line := range strings.Lines(log) {
		const maxLine = 1000
		if len(line) > maxLine {
			t.Errorf("a log line of %d bytes begins %q, want %d at most", len(line), line[:100], maxLine)
		}
	}
}
