package balancer

// Extra attempts need room at all servers that may get them: a free server beside full ones is
// where the next ordinary requests go.

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// ServiceLoad is the load of some servers together.
type ServiceLoad struct {
	Running, Slots int
	// MeanBacklog is the mean time in which the servers read the prompts that wait.
	MeanBacklog time.Duration
}

// ServiceLoad returns the load of a service's servers from all instances, as far as they
// reported.
func (b *Balancer) ServiceLoad(service catalog.Service, servers []catalog.BackendServer, now time.Time) ServiceLoad {
	var sum ServiceLoad
	var backlogMillis float64
	for _, c := range servers {
		sum.Slots += slotsOf(service, c)
		s, ok := b.servers[ServerKey(c)]
		if !ok {
			continue
		}
		load := s.totalLoad()
		sum.Running += load.Running
		backlogMillis += prefillMillis(load.PrefillTokens) * s.slowness(now)
	}
	if len(servers) > 0 {
		sum.MeanBacklog = time.Duration(backlogMillis / float64(len(servers)) * float64(time.Millisecond))
	}
	return sum
}

// Slots returns the number of places at the attempt's server. It is 0 if that is not known.
func (a *Attempt) Slots(service catalog.Service) int { return slotsOf(service, a.Server) }

func slotsOf(service catalog.Service, s catalog.BackendServer) int {
	if service.IsEngine() {
		return service.Slots
	}
	return s.Slots
}

// Delay returns the expected time to the first event at the attempt's server.
func (a *Attempt) Delay() time.Duration { return a.delay() }
