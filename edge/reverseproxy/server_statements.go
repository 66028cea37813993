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

// brittleRoom is the share of a brittle server's slots that is used. What other instances have
// running there is known a little late.
const brittleRoom = 0.85

// notFull returns the servers that are not brittle, or have room. It refuses the request if all
// are full.
func (s *ServerSelector) notFull(servers []catalog.BackendServer) ([]catalog.BackendServer, *refusal) {
	var open []catalog.BackendServer
	for _, c := range servers {
		key := balancer.ServerKey(c)
		if !s.states.Brittle(key) || float64(s.balancer.Running(key)) < brittleRoom*float64(c.Slots) {
			open = append(open, c)
		}
	}
	if len(open) > 0 || len(servers) == 0 {
		return open, nil
	}
	return nil, refuseNotRun(outcome.ServersRest, retrySoon)
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
