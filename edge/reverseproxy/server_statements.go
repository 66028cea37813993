package reverseproxy

import (
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// restSpread is the part of a time to return that is drawn at random on top of it, so that not
// all callers come back at once.
const restSpread = 0.25

// recordStatements records what a response says of its server.
func (h *Handler) recordStatements(a *balancer.Attempt, response *backendclient.Response, sentAt time.Time) {
	if platform.StatesServerMoved(response.Response) {
		// The response is that of another server.
		return
	}
	h.recordServerLimit(a, response, sentAt)
	statement, err := platform.ParseStatement(response.Response)
	if err != nil {
		h.Failures.Warn("server statement unreadable", "server", a.Server.ID, "error", err.Error())
	}
	h.States.Record(a.Key, a.Server.ID, statement, time.Now())
}

// brittleRoom is the share of a brittle server's slots that is used. The rest is for instances
// whose view of the others differs for a while.
const brittleRoom = 0.85

// notFull returns the servers that are not brittle, or have room. It refuses the request if all
// are full.
func (s *ServerSelector) notFull(servers []catalog.BackendServer, instances int) ([]catalog.BackendServer, *refusal) {
	var open []catalog.BackendServer
	for _, c := range servers {
		key := balancer.ServerKey(c)
		if !s.states.Brittle(key) || s.hasBrittleRoom(key, c.Slots, instances) {
			open = append(open, c)
		}
	}
	if len(open) > 0 || len(servers) == 0 {
		return open, nil
	}
	return nil, refuseNotRun(outcome.ServersRest, retrySoon)
}

// hasBrittleRoom reports whether this instance may send a brittle server one more request. Its
// equal share of the room needs no reports. With more instances than places, each may have one
// request there, as long as the reports of the others leave room.
func (s *ServerSelector) hasBrittleRoom(key uint64, slots, instances int) bool {
	room := brittleRoom * float64(slots)
	own, all := s.balancer.Running(key)
	if share := int(room / float64(instances)); share >= 1 {
		return own < share
	}
	return own < 1 && float64(all) < room
}

// openServers returns the servers that neither leave nor rest. It refuses the request if all do.
func (h *Handler) openServers(servers []catalog.BackendServer, now time.Time) ([]catalog.BackendServer, *refusal) {
	var open []catalog.BackendServer
	var shortest time.Duration
	for _, s := range servers {
		a := h.States.Availability(balancer.ServerKey(s), now)
		switch {
		case a.Open():
			open = append(open, s)
		case a.Leaving:
		case shortest == 0 || a.RestsFor < shortest:
			shortest = a.RestsFor
		}
	}
	if len(open) > 0 || len(servers) == 0 {
		return open, nil
	}
	if shortest == 0 {
		return nil, refuseNotRun(outcome.NoBackendServer, retrySoon)
	}
	spread := time.Duration(restSpread * rand.Float64() * float64(shortest))
	return nil, refuseNotRun(outcome.ServersRest, shortest+spread)
}
