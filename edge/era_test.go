package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform"
	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// Bounds of the pages: config_apply_ms and drain_ms.
const (
	configApplyTime = 2 * time.Second
	drainTime       = 2 * time.Second
)

// awaitAll waits until a condition is true at all instances, for at most limit.
func awaitAll(t *testing.T, label string, limit time.Duration, instances []*testInstance, condition func(i *testInstance) bool) {
	t.Helper()
	startTime := time.Now()
	for _, i := range instances {
		await(t, label, func() bool { return condition(i) })
	}
	if elapsed := time.Since(startTime); elapsed > limit {
		t.Errorf("%s: reached after %v, want at most %v", label, elapsed, limit)
	}
}

func hasVersion(version int64) func(i *testInstance) bool {
	return func(i *testInstance) bool { return i.catalog.Snapshot().Version == version }
}

// uses reports whether an instance sends new requests to a server.
func uses(i *testInstance, id string) bool {
	for _, server := range i.catalog.Snapshot().AvailableServers("s", time.Now()) {
		if server.ID == id {
			return true
		}
	}
	return false
}

// status returns the status of the instance's answer to a request with a key.
func (r *testInstance) status(t *testing.T, id, key string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Load().CallersAddress.String()+platformtest.PathStream, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = platformtest.Host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestStoreComesBackFromOlderCopy guards the callers of a fleet during the users' drill:
// versions and servers written again at lower revisions have to take effect, what is not
// yet written again stays in use, and a revoked key stays revoked.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	store, server := newPlatform(t)
	server.SetBehaviour(platformtest.Behaviour{Events: 1})
	store.Put("config", "main", platformtest.Configuration(1, 9000, "old", "kept"))
	store.Copy()
	second := platformtest.NewBackendServer("i-2", "s")
	t.Cleanup(second.Close)
	second.SetBehaviour(platformtest.Behaviour{Events: 1})
	for n := range 20 {
		store.Put("servers", "i-1", strings.Replace(server.Entry("ready"), `"seq":1`, fmt.Sprintf(`"seq":%d`, n+2), 1))
	}
	store.Put("config", "main", platformtest.Configuration(2, 9000, "kept"))
	store.Put("servers", "i-2", second.Entry("ready"))
	port := freePort(t, "127.0.0.2")
	instances := []*testInstance{
		startInstance(t, "127.0.0.2", port, store.URL, 3),
		startInstance(t, "127.0.0.3", port, store.URL, 3),
	}
	awaitAll(t, "version 2 and both servers", time.Minute, instances, func(i *testInstance) bool {
		return hasVersion(2)(i) && uses(i, "i-1") && uses(i, "i-2")
	})
	store.GoAway()
	time.Sleep(300 * time.Millisecond)
	lists := store.Lists("servers")
	store.ComeBack()
	time.Sleep(1500 * time.Millisecond)
	for _, i := range instances {
		if got := i.status(t, "revoked", "old"); got != http.StatusUnauthorized {
			t.Errorf("request with the revoked key after the step back: got status %d, want 401", got)
		}
		if got := i.status(t, "valid", "kept"); got != http.StatusOK {
			t.Errorf("request with the valid key after the step back: got status %d, want 200", got)
		}
		if !uses(i, "i-2") {
			t.Error("a server that is not yet written again is not used, want it used")
		}
	}
	third := startInstance(t, "127.0.0.4", port, store.URL, 3)
	instances = append(instances, third)
	awaitAll(t, "version 2 at the instance that began after the step back", time.Second, instances[2:], hasVersion(2))
	store.WriteAgain("servers")
	store.WriteAgain("config")
	store.Put("config", "main", platformtest.Configuration(3, 9000, "kept"))
	awaitAll(t, "version 3, written at a lower revision", configApplyTime, instances, hasVersion(3))
	store.Put("servers", "i-1", server.Entry("draining"))
	awaitAll(t, "i-1 leaves, at a lower revision", drainTime, instances, func(i *testInstance) bool { return !uses(i, "i-1") })
	time.Sleep(2500 * time.Millisecond)
	for _, i := range instances {
		if !uses(i, "i-2") || uses(i, "i-1") {
			t.Error("want i-2, written again, as the only server in use")
		}
	}
	// One list for each of the two instances that were there, and one of the third.
	if got := store.Lists("servers") - lists; got > 3 {
		t.Errorf("got %d lists of the servers, want at most three", got)
	}
	for n, i := range instances {
		// The third instance began after the step back.
		want := map[bool]int{true: 1, false: 0}[n < 2]
		if got := strings.Count(i.log.String(), `"msg":"store era changed","was":"1","is":"2"`); got != want {
			t.Errorf("instance %d: got %d lines on the change of the era, want %d", n, got, want)
		}
		var counted int64
		for _, r := range i.eraChanges.readings() {
			counted += r.Value
		}
		if counted != int64(want) {
			t.Errorf("instance %d: counted %d changes of the era, want %d", n, counted, want)
		}
	}
	calls := store.Calls()
	time.Sleep(2 * time.Second)
	// Two watchers, each with a call of 0.7 s.
	if got := store.Calls() - calls; got > 8 {
		t.Errorf("got %d calls in 2 s without a change, want at most 8", got)
	}
}
