package balancer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// KindDemand describes the recent requests of one urgency to a service.
type KindDemand struct {
	catalog.Urgency
	// PerSecond is the rate of requests. LateShare is the part of them that was expected to miss
	// the latency target because of the prompts queued ahead of them.
	PerSecond, LateShare float64
}

// ServiceDemand is what callers ask of a service, and what its servers deliver.
type ServiceDemand struct {
	// Load sums the load of all instances at the servers. ReportedLoad sums the load of this
	// instance and of those whose own reports count. Kinds describes the requests of the same
	// instances as ReportedLoad.
	Load, ReportedLoad Load
	Kinds              []KindDemand
	// Delivers holds, for each server, what it gets done compared with one of ordinary speed.
	Delivers []float64
}

// ServiceDemand returns what callers ask of a service with the given servers.
func (b *Balancer) ServiceDemand(service string, keys []uint64, now time.Time) ServiceDemand {
	d := ServiceDemand{Delivers: make([]float64, len(keys))}
	for i, key := range keys {
		d.Delivers[i] = 1
		s, ok := b.servers[key]
		if !ok {
			continue
		}
		d.Delivers[i] = (1 - s.failureProbability(now)) / max(s.slowness(now), 1)
		d.Load = d.Load.plus(s.totalLoad())
		d.ReportedLoad = d.ReportedLoad.plus(s.localLoad)
		for _, peer := range b.peers {
			d.ReportedLoad = d.ReportedLoad.plus(peer.servers[key].Load)
		}
	}
	for urgency, totals := range b.totalsByUrgency(xxhash.Sum64String(service)>>32, now) {
		d.Kinds = append(d.Kinds, KindDemand{
			Urgency: urgency, PerSecond: totals.requests * math.Ln2 / urgencyHalfLife.Seconds(), LateShare: totals.late / max(totals.requests, 1e-9),
		})
	}
	return d
}
