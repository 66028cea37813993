package reverseproxy

import (
	"context"
	"time"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/outcome"
)

// originDetails says why a stream can't go on, or begin: what is known of its origin, and the
// servers that there are.
type originDetails struct {
	found   streamorigin.Found
	servers []catalog.BackendServer
}

func originOf(s catalog.BackendServer) streamorigin.Origin {
	return streamorigin.Origin{Service: s.Service, Version: s.Version}
}

func originsOf(servers []catalog.BackendServer) []streamorigin.Origin {
	var origins []streamorigin.Origin
	for n, s := range servers {
		if n == 0 || s.Version != servers[n-1].Version {
			origins = append(origins, originOf(s))
		}
	}
	return origins
}

// bindStream finds out at which software version the stream of a request began that takes one
// up. It refuses the request if that is not known. For a new stream it waits, if it must, until
// streams may begin at a version that there is.
func (h *Handler) bindStream(ctx context.Context, req *request) *refusal {
	if !req.route.IsResumable() {
		return nil
	}
	if !req.takesUp() {
		h.awaitVersion(ctx, req)
		return nil
	}
	found := h.Origins.Find(ctx, req.service.Name, req.resumes)
	if found.Source == streamorigin.Unknown {
		refused := refuseNotRun(outcome.StreamOriginUnknown, retrySoon)
		refused.origin = &originDetails{found: found}
		return refused
	}
	h.Successes.Info("stream taken up", "request", req.id, "resumes", req.resumes, "after_event", req.lastEventID,
		"service", found.Origin.Service, "version", found.Origin.Version, "known_by", found.Source.String(), "age_ms", found.Age.Milliseconds())
	req.origin = &found.Origin
	return nil
}

// awaitVersion waits until a stream may begin at one of the service's servers.
func (h *Handler) awaitVersion(ctx context.Context, req *request) {
	servers := h.Catalog.Snapshot().AvailableServers(req.service.Name, time.Now())
	if len(servers) > 0 && len(h.mayBegin(servers)) == 0 {
		h.Origins.AwaitListed(ctx, originsOf(servers))
	}
}

// mayBegin returns the servers at which a stream may begin.
func (h *Handler) mayBegin(servers []catalog.BackendServer) []catalog.BackendServer {
	var open []catalog.BackendServer
	may := false
	for n, s := range servers {
		if n == 0 || s.Version != servers[n-1].Version {
			may = h.Origins.MayBegin(originOf(s))
		}
		if may {
			open = append(open, s)
		}
	}
	return open
}

// fittingVersions returns the servers whose software version may begin the request's stream,
// or go on with it. It refuses the request if there are only others, or if a new configuration has made
// its route resumable, or no longer so, since its stream's origin was looked up.
func (h *Handler) fittingVersions(req *request, servers []catalog.BackendServer) ([]catalog.BackendServer, *refusal) {
	resumable := req.route.IsResumable()
	switch {
	case !resumable && req.origin == nil:
		return servers, nil
	case !resumable, req.origin == nil && req.takesUp():
		refused := refuseNotRun(outcome.StreamOriginUnknown, retrySoon)
		refused.origin = &originDetails{servers: servers}
		return nil, refused
	}
	var fitting []catalog.BackendServer
	reason := outcome.VersionNotListed
	if req.origin == nil {
		fitting = h.mayBegin(servers)
	} else {
		reason = outcome.NoBackendServer
		for _, s := range servers {
			if originOf(s) == *req.origin {
				fitting = append(fitting, s)
			}
		}
	}
	if len(fitting) > 0 || len(servers) == 0 {
		return fitting, nil
	}
	refused := refuseNotRun(reason, retrySoon)
	refused.origin = &originDetails{servers: servers}
	return nil, refused
}

// recordOrigin records where a stream began, when its first event goes to the caller.
func (h *Handler) recordOrigin(req *request, a *balancer.Attempt) {
	if !req.route.IsResumable() || req.origin != nil {
		return
	}
	origin := originOf(a.Server)
	req.origin = &origin
	h.Origins.Begin(req.id, origin, req.callerWaits)
}

// originAttributes returns the log attributes of a refusal because of a stream's version.
func originAttributes(req *request, o *originDetails) []any {
	if o == nil {
		return nil
	}
	attributes := []any{
		"route", req.route.Name, "resumes", req.resumes, "after_event", req.lastEventID, "known_by", o.found.Source.String(),
		"versions_listed", o.found.Versions, "servers", len(o.servers),
	}
	if req.origin != nil {
		attributes = append(attributes, "version", req.origin.Version)
	}
	if o.found.Err != nil {
		attributes = append(attributes, "error", o.found.Err.Error())
	}
	return attributes
}
