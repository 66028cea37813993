package serve

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/routing"
)

// maxConfigMemory is the memory that the configuration may take in one instance
// at the target size, in bytes.
const maxConfigMemory = 128 << 20

// TestConfigurationMemoryByOrganisations checks that the configuration and its
// lookup index take at most maxConfigMemory. It also prints the memory for
// several numbers of organisations, for docs/CAPACITY.md.
func TestConfigurationMemoryByOrganisations(t *testing.T) {
	for _, organisations := range []int{10, 300, 3000} {
		before := heapInUse()
		store := config.NewStore()
		store.ApplyLists(map[api.Kind]api.List{
			api.KindServiceClass:  {Version: 1},
			api.KindRoute:         {Version: 1},
			api.KindBackendServer: {Version: 1},
			api.KindOrganisation:  {Version: int64(organisations), Items: organisationObjects(t, organisations)},
		})
		index := routing.NewIndex(store.Snapshot())
		used := heapInUse() - before
		if used > maxConfigMemory {
			t.Errorf("the configuration of %d organisations takes %.0f bytes, want at most maxConfigMemory (128 MiB)", organisations, used)
		}
		t.Logf("the configuration of %d organisations takes %.0f KB, which is %.2f KB for each organisation; limit 128 MiB in all", organisations, used/1024, used/1024/float64(organisations))
		runtime.KeepAlive(store)
		runtime.KeepAlive(index)
	}
}

func organisationObjects(t *testing.T, count int) []api.Object {
	t.Helper()
	var out []api.Object
	for n := range count {
		spec, err := json.Marshal(api.OrganisationSpec{
			KeyHashes: []string{routing.HashKey(fmt.Sprint("key-", n)), routing.HashKey(fmt.Sprint("next-", n))},
			Weight:    1,
		})
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, api.Object{
			Kind: api.KindOrganisation, Name: fmt.Sprint("organisation-", n),
			Version: int64(n + 1), SpecVersion: int64(n + 1), Spec: spec,
		})
	}
	return out
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
