package edge

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
)

// reportLimitChanges logs the changes of servers' limits since the last call.
func (i *Instance) reportLimitChanges(snapshot *catalog.Snapshot, now time.Time) {
	changes := i.limits.Changes(now)
	if len(changes) == 0 {
		return
	}
	names := serverNames(snapshot)
	for _, c := range changes {
		i.log.StateChanges.Info("server limit changed", "server", names[c.Server], "was_limited", c.From.Named, "was_per_s", c.From.PerSecond,
			"is_limited", c.To.Named, "is_per_s", c.To.PerSecond,
			"share_per_s", c.SharePerSecond, "heard_here", c.Own)
	}
}

// serverNames returns the IDs of servers by the keys that stand for them between instances.
func serverNames(snapshot *catalog.Snapshot) map[uint64]string {
	names := make(map[uint64]string, len(snapshot.Servers))
	for _, server := range snapshot.Servers {
		names[balancer.ServerKey(server)] = server.ID
	}
	return names
}
