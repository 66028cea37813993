package edge

import (
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// originWriteShare is the share of the store's writing calls that all instances together
	// may use for the origins of streams.
	originWriteShare = 0.25
	// minOriginWriteInterval is the least time between two such writes of one instance.
	minOriginWriteInterval = 50 * time.Millisecond
)

// newOrigins returns the ledger of the streams' origins.
func (i *Instance) newOrigins(s platform.Settings) *streamorigin.Ledger {
	return streamorigin.New(streamorigin.Options{
		Process:    s.Name + "." + strconv.FormatInt(time.Now().UnixMilli(), 10),
		Store:      i.newStore(s.StoreAddress),
		FirstStart: s.FirstStart,
		IsWatcher:  func() bool { return i.gossip.ShouldWatchStore(time.Now()) },
		WriteInterval: func() time.Duration {
			perInstance := originWriteShare * s.StoreWritesPerSecond / float64(i.selector.Instances())
			return max(time.Duration(float64(time.Second)/perInstance), minOriginWriteInterval)
		},
		OnListed: func() { i.gossip.SendNow() },
		Log:      i.log.StateChanges,
	})
}

// observeOrigins tells the ledger which software versions have servers.
func (i *Instance) observeOrigins(snapshot *catalog.Snapshot, now time.Time) {
	seen := make(map[streamorigin.Origin]bool)
	for _, s := range snapshot.Servers {
		seen[streamorigin.Origin{Service: s.Service, Version: s.Version}] = true
	}
	origins := make([]streamorigin.Origin, 0, len(seen))
	for o := range seen {
		origins = append(origins, o)
	}
	i.origins.Observe(origins, now)
}

// originReadings returns how many streams were taken up, by how their origin was known.
func (i *Instance) originReadings() []metrics.Reading {
	var out []metrics.Reading
	for source, n := range i.origins.Counts() {
		out = append(out, metrics.CounterReading("stream_origins", "known_by", streamorigin.Source(source).String(), n))
	}
	return out
}
