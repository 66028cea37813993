package reverseproxy

import (
	"slices"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
)

// This file decides whether one more server may run a request that earlier ones may have run. A new
// configuration may change the request's route between two sends, so the routes of all of them count.

// binding is what the configuration made of a request when it was last looked up.
type binding struct {
	route   *catalog.Route
	org     catalog.Organisation
	service catalog.Service
	// urgencyIndex is the number of urgencies of the service's requests that are more
	// urgent than this request, urgencyLevels the number of all urgencies.
	urgencyIndex, urgencyLevels int
}

// mayRunBy reports whether one more server may run the request, by the given route. Servers that
// were asked before may have run it, and those of the open attempts may run it now: if there are any, the
// next route and the routes of them all must allow one more.
func (req *request) mayRunBy(next *catalog.Route, open ...*sending) bool {
	routes := slices.Clone(req.possibleRuns)
	for _, s := range open {
		routes = append(routes, s.binding.route)
	}
	if len(routes) == 0 {
		return true
	}
	runs := len(routes)
	return !slices.ContainsFunc(append(routes, next), func(r *catalog.Route) bool {
		return !r.MayRetry() || runs >= r.MaxServers
	})
}

// mayRunBeside reports whether another server may run the request while the attempt is open, as
// far as its route says.
func (req *request) mayRunBeside(s *sending) bool { return req.mayRunBy(s.binding.route, s) }

// recordPossibleRun records that the server of an attempt that has ended may have run the request.
func (req *request) recordPossibleRun(by *catalog.Route) {
	req.possibleRuns = append(req.possibleRuns, by)
}

// refuseFurtherRun logs that a further send is not made because of the routes, and refuses it.
func (h *Handler) refuseFurtherRun(req *request, open []*sending) *refusal {
	var ranBy []string
	for _, r := range req.possibleRuns {
		ranBy = append(ranBy, r.Name)
	}
	for _, s := range open {
		ranBy = append(ranBy, s.binding.route.Name)
	}
	h.Failures.Info("not sent again", "request", req.id, "route", req.route.Name, "kind", req.route.Kind.String(),
		"may_have_run_by", ranBy, "sends", req.sends, "configuration", h.Catalog.Snapshot().Version)
	return refuseNotRun(outcome.NoBackendServer, retrySoon)
}
