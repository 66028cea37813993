package reverseproxy

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/metrics"
)

const (
	// connectionShare is the part of a server's connections that instances use
	// together: some close theirs later than others count.
	connectionShare = 0.9
	// writeSlack is how much later than its deadline an answer's last bytes may
	// be taken by its caller.
	writeSlack = 400 * time.Millisecond
)

// Options sets up a Handler. All fields are required.
type Options struct {
	Catalog  *catalog.Catalog
	Selector *ServerSelector
	Client   *backendclient.Client
	Metrics  *metrics.Metrics
	// Successes takes a line for each request that went well, Failures for each
	// that did not and for each failed attempt.
	Successes *slog.Logger
	Failures  *slog.Logger
	// Stopping reports whether connections should be closed after the answer.
	Stopping func() bool
}

// Handler is the handler of callers' requests. It is safe for concurrent use.
type Handler struct{ Options }

// New returns a front.
func New(o Options) *Handler { return &Handler{o} }

// ServeHTTP serves one request.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	c, refused := f.read(w, r)
	if refused != nil {
		f.Metrics.CountBadInput(refused.reason)
		f.finish(w, c, refused)
		return
	}
	// A writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeSlack))
	f.Selector.CountRequest(c.service.Name)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	x := &exchange{front: f, call: c, w: w, caller: r.Context(), class: f.Metrics.Class(c.className())}
	x.run(ctx)
}

// finish writes and logs an answer of the instance's own.
func (f *Handler) finish(w http.ResponseWriter, c *call, refused *refusal) {
	f.Metrics.CountRefusal(refused.reason)
	f.Failures.Warn("refused",
		"request", c.id, "path", c.path, "status", refused.status, "reason", refused.reason.String(),
		"detail", refused.message, "retry_after_ms", refused.retryAfter.Milliseconds(),
		"sends", c.sends, "ran", c.ran, "elapsed_ms", time.Since(c.arrived).Milliseconds(),
		"configuration", f.Catalog.Snapshot().Version)
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	refused.write(w)
}

// place chooses a server that was not tried. It refuses if the request is no
// longer permitted, or if there is no server.
func (f *Handler) place(c *call) (balancer.Attempt, *refusal) {
	snapshot := f.Catalog.Snapshot()
	if refused := c.permit(snapshot); refused != nil {
		return balancer.Attempt{}, refused
	}
	candidates := untried(snapshot.AvailableServers(c.service.Name, time.Now()), c.tried)
	return f.Selector.BeginAttempt(c.needs(snapshot), candidates)
}

func untried(servers []catalog.BackendServer, tried map[string]bool) []catalog.BackendServer {
	if len(tried) == 0 {
		return servers
	}
	var left []catalog.BackendServer
	for _, s := range servers {
		if !tried[s.ID] {
			left = append(left, s)
		}
	}
	return left
}

// serverOf says where an attempt goes, with this instance's share of the
// server's connections.
func (f *Handler) serverOf(c *call, a *balancer.Attempt) backendclient.Server {
	share := connectionShare * float64(c.service.MaxConnections) / float64(f.Selector.Instances())
	return backendclient.Server{Key: ServerName(a.Server), Address: a.Server.Address, MaxConnections: max(int(share), 1)}
}

// ServerName names one start of a server.
func ServerName(b catalog.BackendServer) string {
	return b.ID + "/" + strconv.FormatInt(b.StartedAtMillis, 10)
}

// className groups requests for metrics: kinds and priorities are few.
func (c *call) className() string {
	return c.route.Kind.String() + "-" + strconv.Itoa(c.priority())
}
