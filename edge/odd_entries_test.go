package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// oddSpecs are specs of another writer, none of which names a server to use. %s is the address
// of a server that runs.
var oddSpecs = map[string]string{
	"deep":         strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	"deep-member":  `{"service":"s","x":` + strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000) + "}",
	"null":         "null",
	"text":         `"servers"`,
	"bytes":        "{\"service\":\"\x00\xff\"}",
	"slots-1e400":  oddEntry("127.0.0.9:1", "v1", "dc1", "1e400"),
	"slots-1e18":   oddEntry("127.0.0.9:1", "v1", "dc1", "1000000000000000000"),
	"slots-max":    oddEntry("127.0.0.9:1", "v1", "dc1", "9223372036854775807"),
	"port-70000":   oddEntry("127.0.0.9:70000", "v1", "dc1", "64"),
	"port-0":       oddEntry("127.0.0.9:0", "v1", "dc1", "64"),
	"port-minus":   oddEntry("127.0.0.9:-1", "v1", "dc1", "64"),
	"any-address":  oddEntry("0.0.0.0:80", "v1", "dc1", "64"),
	"long-address": oddEntry(strings.Repeat("9", 70000), "v1", "dc1", "64"),
	"long-version": oddEntry("127.0.0.9:1", strings.Repeat("v", 70000), "dc1", "64"),
	"long-zone":    oddEntry("127.0.0.9:1", "v1", strings.Repeat("z", 70000), "64"),
}

func oddEntry(address, version, dataCentre, slots string) string {
	return fmt.Sprintf(`{"service":"s","address":"%s","zone":"%s","version":"%s","slots":%s,"state":"ready","warmup_left_ms":0,"seq":1,"born":1}`,
		address, dataCentre, version, slots)
}

// oddObjects are whole objects that can't be read.
var oddObjects = map[string]string{
	"no-object":    "7",
	"null-object":  "null",
	"odd-revision": `{"metadata":{"name":"odd-revision","revision":1e400},"spec":{}}`,
	"deep-status":  `{"metadata":{"name":"deep-status","revision":1},"spec":{},"status":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "}",
}

func putOddEntries(store *platformtest.Store, kind string) {
	for name, spec := range oddSpecs {
		store.Put(kind, name, spec)
	}
	store.Put(kind, strings.Repeat("n", 3000), oddSpecs["slots-1e400"])
	for name, raw := range oddObjects {
		store.PutOdd(kind, name, raw)
	}
}

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
	putOddEntries(store, "servers")
	putOddEntries(store, "config")
	putOddEntries(store, "streams")
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
}
