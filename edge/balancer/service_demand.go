package balancer

import (
	"math"
	"time"

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
	// Load sums the load of all instances at the servers.
	Load Load
	// PrefillPerSecond sums the prompt tokens a second that servers had to read for the requests
	// of some of the instances. PrefillRunning counts the running requests of these.
	PrefillPerSecond float64
	PrefillRunning   int
	// Kinds describes the requests of this instance and of those whose own reports count.
	Kinds []KindDemand
	// Delivers holds, for each server, what it gets done compared with one of ordinary speed.
	Delivers []float64
}

// ServiceDemand returns what callers ask of a service with the given servers.
func (b *Balancer) ServiceDemand(service string, keys []uint64, now time.Time) ServiceDemand {
	d := ServiceDemand{Delivers: make([]float64, len(keys))}
	hash := serviceHash(service)
	own, _ := prefillOf(b.PrefillReports(now), hash)
	d.PrefillPerSecond = own
	of := make(map[uint64]bool, len(keys))
	for i, key := range keys {
		of[key] = true
		d.Delivers[i] = 1
		if s, ok := b.servers[key]; ok {
			d.Delivers[i] = (1 - s.failureProbability(now)) / max(s.slowness(now), 1)
			d.Load = d.Load.plus(s.totalLoad())
			d.PrefillRunning += s.localLoad.Running
		}
	}
	for _, peer := range b.peers {
		perSecond, stated := prefillOf(peer.prefill, hash)
		if !stated {
			// It has no requests, or it is of a version that states no rate.
			continue
		}
		d.PrefillPerSecond += perSecond
		for key, report := range peer.servers {
			if of[key] {
				d.PrefillRunning += report.Load.Running
			}
		}
	}
	for urgency, totals := range b.totalsByUrgency(hash, now) {
		d.Kinds = append(d.Kinds, KindDemand{
			Urgency: urgency, PerSecond: totals.requests * math.Ln2 / urgencyHalfLife.Seconds(), LateShare: totals.late / max(totals.requests, 1e-9),
		})
	}
	return d
}
