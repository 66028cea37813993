package reverseproxy

import (
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/platform"
)

// recordServerLimit records what a response states about its server's limit.
func (h *Handler) recordServerLimit(a *balancer.Attempt, response *backendclient.Response, sentAt time.Time) {
	if platform.StatesServerMoved(response.Response) {
		// The response is that of another server.
		return
	}
	perSecond, named, err := platform.ParseServerLimit(response.Header)
	if err != nil {
		h.Failures.Warn("server limit unreadable", "server", a.Server.ID, "error", err.Error())
		return
	}
	if !named && response.Header.Get(platform.HeaderServerStamp) == "" {
		// Something else may have given this response, which says nothing about the server.
		return
	}
	h.Limits.Record(a.Key, serverlimit.Limit{Named: named, PerSecond: perSecond}, sentAt, time.Now())
}
