package edge

import (
	"strings"
	"sync/atomic"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/metrics"
)

// eraChanges counts the changes of the store's era by where this instance learnt of them.
type eraChanges struct{ fromStore, fromPeers atomic.Int64 }

func (e *eraChanges) readings() []metrics.Reading {
	return []metrics.Reading{
		metrics.CounterReading("store_era_changes", "source", "store", e.fromStore.Load()),
		metrics.CounterReading("store_era_changes", "source", "peer", e.fromPeers.Load()),
	}
}

// eraChanged logs and counts that the store came back from an older copy.
func (i *Instance) eraChanged(source string, c catalog.Change) {
	if strings.HasPrefix(source, "peer ") {
		i.eraChanges.fromPeers.Add(1)
	} else {
		i.eraChanges.fromStore.Add(1)
	}
	i.origins.StoreCameBack()
	i.log.StateChanges.Warn("store era changed", "was", c.Previous.Era.String(), "is", c.Current.Era.String(),
		"revision_was", c.Previous.Revision, "revision", c.Current.Revision, "source", source)
}
