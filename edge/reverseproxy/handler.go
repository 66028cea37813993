package reverseproxy

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/edge/serverstate"
	"bergamotpin.example/bergamotpin/edge/streamorigin"
	"bergamotpin.example/bergamotpin/memoryaccount"
	"bergamotpin.example/bergamotpin/metrics"
)

const (
	// connectionShare is the fraction of a server's connection limit that all
	// instances together use. The rest is a margin for instances that close
	// their connections late.
	connectionShare = 0.9
	// writeGrace is how long after a request's deadline the last bytes of its
	// response may still be written to the caller.
	writeGrace = 400 * time.Millisecond
)

// Options configures a Handler. All fields are required.
type Options struct {
	Catalog  *catalog.Catalog
	Selector *ServerSelector
	Client   *backendclient.Client
	Metrics  *metrics.Metrics
	// Crashes finds the requests and the parts of prompts that crash servers.
	Crashes *crashguard.Guard
	// Limits holds the limits that servers name.
	Limits *serverlimit.Table
	// States holds what servers say of themselves.
	States *serverstate.Table
	// Origins knows at which software versions streams began.
	Origins *streamorigin.Ledger
	// Hedging decides on second attempts for slow answers.
	Hedging *hedging.Controller
	// PeerRelay hands requests on while this instance reaches no server.
	PeerRelay PeerRelay
	// CountUsage counts a request of an organisation that a server began to run. It is nil if
	// nobody asks for the counts.
	CountUsage func(organisation string)
	// Successes logs each send of a request to a server, before its result is
	// known, and each request that ended with a server's response. Failures logs
	// each failed attempt, and each request that ended in another way.
	Successes *slog.Logger
	Failures  *slog.Logger
	// Memory is the account of what is held for callers.
	Memory *memoryaccount.Account
}

// ErrCut is the cause with which the context of a request ends if the instance ends it
// before its caller or its deadline does. The request gets its final response at once.
var ErrCut = errors.New("the instance ends the request")

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Options
	crashes *crashChecks
	// end is set once the instance is about to end.
	end atomic.Pointer[end]
}

// New returns a Handler with the given options. It must be closed.
func New(o Options) *Handler {
	h := &Handler{Options: o}
	h.crashes = newCrashChecks(h)
	return h
}

// Close ends what the handler does beside the requests.
func (h *Handler) Close() { h.crashes.close() }

// ServeHTTP forwards one caller's request to a backend server, or refuses it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, refused := h.readRequest(w, r)
	defer req.body.release()
	if refused != nil {
		h.Metrics.CountBadInput(refused.reason)
		closeIfUnread(w, r)
		h.writeRefusal(w, req, refused)
		return
	}
	if refused := h.refuseTooLate(r.Context(), req); refused != nil {
		h.writeRefusal(w, req, refused)
		return
	}
	// The error is ignored: only response writers in tests don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(req.writeDeadline())
	if !req.relayed {
		// The instance that handed a request on has counted it.
		h.Selector.CountRequest(req.service.Name)
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	fw := &forwarder{handler: h, request: req, w: w, callerCtx: r.Context(), class: h.Metrics.ForClass(req.className())}
	fw.run(ctx)
}

// writeRefusal counts and logs a refusal and writes it to the caller.
func (h *Handler) writeRefusal(w http.ResponseWriter, req *request, refused *refusal) {
	h.Metrics.CountRefusal(refused.reason)
	attributes := []any{
		"request", req.id, "path", req.path, "status", refused.status, "reason", refused.reason.String(),
		"detail", refused.message, "retry_after_ms", refused.retryAfter.Milliseconds(),
		"sends", req.sends, "ran", len(req.possibleRuns), "elapsed_ms", time.Since(req.arrived).Milliseconds(),
		"configuration", h.Catalog.Snapshot().Version,
	}
	if refused.suspect != nil {
		attributes = append(attributes, "suspects", suspectNames([]crashguard.Suspect{*refused.suspect}))
	}
	if l := refused.limited; l != nil {
		attributes = append(attributes, "rank", req.enginePriority(), "limited", l.servers, "per_s", l.perSecond)
	}
	attributes = append(attributes, originAttributes(req, refused.origin)...)
	h.Failures.Warn("refused", append(attributes, overloadAttributes(req, refused.overload)...)...)
	h.recordUndelivered(req, refused.status, refused.write(w, req.id))
}

// overloadAttributes returns the log attributes of a refusal because of the
// servers' load: the request's urgency, the server it would have gone to, and what
// this instance knew of the load.
func overloadAttributes(req *request, o *overloadDetails) []any {
	if o == nil {
		return nil
	}
	a := &o.attempt
	return []any{
		"route", req.route.Name, "rank", req.enginePriority(), "route_rank", req.route.Priority, "objective_ms", req.route.LatencyTarget.Milliseconds(),
		"server", a.Server.ID, "data_centre", a.Server.DataCentre, "prompt", req.prompt.Tokens, "kept", a.CachedTokens,
		"expected_ms", a.ExpectedDelay.Milliseconds(), "fastest_ms", a.FastestDelay.Milliseconds(), "slowness", a.Slowness,
		"running", a.Load.Running, "own_running", a.OwnLoad.Running, "unread", a.Load.PrefillTokens, "own_unread", a.OwnLoad.PrefillTokens,
		"held_back_for_ms", a.HeldBackFor.Milliseconds(), "less_urgent_admitted_ms", a.AdmittedDelay.Milliseconds(),
		"candidates", a.Candidates, "peers", o.reports.Peers, "summaries", o.reports.DataCentres, "oldest_report_ms", o.reports.Oldest.Milliseconds(),
	}
}

// beginAttempt chooses a server that this request has not been sent to yet, while the open
// attempts go on. It refuses the request if the current configuration no longer accepts it or allows no
// further run, if a part of its prompt is withheld, or if begin does. Each send goes through here.
func (h *Handler) beginAttempt(req *request, begin beginFunc, open []*sending) (balancer.Attempt, *refusal) {
	snapshot := h.Catalog.Snapshot()
	if refused := req.resolveRoute(snapshot); refused != nil {
		return balancer.Attempt{}, refused
	}
	if !req.mayRunBy(req.route, open...) {
		return balancer.Attempt{}, h.refuseFurtherRun(req, open)
	}
	if refused := h.refuseWithheld(req); refused != nil {
		return balancer.Attempt{}, refused
	}
	candidates, refused := h.fittingVersions(req, serversNotTried(snapshot.AvailableServers(req.service.Name, time.Now()), req.tried))
	if refused == nil {
		candidates, refused = h.openServers(candidates, time.Now())
	}
	if refused != nil {
		h.returnTry(req)
		return balancer.Attempt{}, refused
	}
	a, refused := begin(req.balancerRequest(snapshot), candidates)
	if refused != nil {
		h.returnTry(req)
	}
	return a, refused
}

func serversNotTried(servers []catalog.BackendServer, tried map[string]bool) []catalog.BackendServer {
	if len(tried) == 0 {
		return servers
	}
	var remaining []catalog.BackendServer
	for _, s := range servers {
		if !tried[s.ID] {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

// connectionTarget returns the attempt's server in the client's type. Its
// MaxConnections is this instance's share of the server's connection limit.
func (h *Handler) connectionTarget(req *request, a *balancer.Attempt) backendclient.Server {
	share := connectionShare * float64(req.service.MaxConnections) / float64(h.Selector.Instances())
	return backendclient.Server{Key: ServerKey(a.Server), Address: a.Server.Address, MaxConnections: max(int(share), 1)}
}

// ServerKey returns a name for one run of a server process. The name consists of
// the server's ID and its start time.
func ServerKey(b catalog.BackendServer) string {
	return b.ID + "/" + strconv.FormatInt(b.StartedAtMillis, 10)
}

// className is the metrics label of the request. The number of labels stays
// small, because there are few route kinds and priorities.
func (req *request) className() string {
	return req.route.Kind.String() + "-" + strconv.Itoa(req.priority())
}
