package reverseproxy

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

// withRoom returns the candidates that take a request of this instance now. It refuses the
// request if none does, or if what limited servers take is left to more urgent requests.
func (s *ServerSelector) withRoom(r balancer.Request, candidates []catalog.BackendServer, now time.Time) ([]catalog.BackendServer, *refusal) {
	if s.limits.Count() == 0 {
		return candidates, nil
	}
	var open []catalog.BackendServer
	var perSecond float64
	limited := 0
	for _, c := range candidates {
		room, limit := s.limits.Room(balancer.ServerKey(c), now)
		if room != serverlimit.Unlimited {
			limited++
			perSecond += limit.PerSecond
		}
		if room != serverlimit.Spent {
			open = append(open, c)
		}
	}
	if limited == 0 || limited < len(candidates) || len(open) > 0 && s.balancer.AdmitLimited(r, now) {
		return open, nil
	}
	refused := refuseNotRun(outcome.ServersLimited, s.balancer.RefuseLimited(r, perSecond, now))
	refused.limited = &limitDetails{servers: limited, perSecond: perSecond}
	return nil, refused
}

// recordServerLimit records what a response states about its server's limit.
func (h *Handler) recordServerLimit(a *balancer.Attempt, response *backendclient.Response, sentAt time.Time) {
	perSecond, named, err := platform.ParseServerLimit(response.Header)
	if err != nil {
		h.Failures.Warn("server limit unreadable", "server", a.Server.ID, "error", err.Error())
		return
	}
	if !named && response.Header.Get(platform.HeaderServerStamp) == "" {
		// Something else may have given this response, which says nothing about the server.
		return
	}
	var stated serverlimit.Limit
	if named {
		stated = serverlimit.NewLimit(perSecond)
	}
	h.Limits.Record(a.Key, stated, sentAt, time.Now())
}
