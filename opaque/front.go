package opaque

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/backend"
	"bergamotpin.example/bergamotpin/choice"
	"bergamotpin.example/bergamotpin/directory"
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

// Options sets up a Front. All fields are required.
type Options struct {
	Table   *directory.Table
	Chooser *Chooser
	Client  *backend.Client
	Metrics *metrics.Metrics
	// Successes takes a line for each request that went well, Failures for each
	// that did not and for each failed attempt.
	Successes *slog.Logger
	Failures  *slog.Logger
	// Stopping reports whether connections should be closed after the answer.
	Stopping func() bool
}

// Front is the handler of callers' requests. It is safe for concurrent use.
type Front struct{ Options }

// New returns a front.
func New(o Options) *Front { return &Front{o} }

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	c, refused := f.read(w, r)
	if refused != nil {
		f.Metrics.BadInput(refused.reason)
		f.finish(w, c, refused)
		return
	}
	// A writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeSlack))
	f.Chooser.CountRequest(c.service.Name)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	x := &exchange{front: f, call: c, w: w, caller: r.Context(), class: f.Metrics.Class(c.className())}
	x.run(ctx)
}

// finish writes and logs an answer of the instance's own.
func (f *Front) finish(w http.ResponseWriter, c *call, refused *refusal) {
	f.Metrics.Refused(refused.reason)
	f.Failures.Warn("refused",
		"request", c.id, "path", c.path, "status", refused.status, "reason", refused.reason.String(),
		"detail", refused.message, "retry_after_ms", refused.retryAfter.Milliseconds(),
		"sends", c.sends, "ran", c.ran, "elapsed_ms", time.Since(c.arrived).Milliseconds(),
		"configuration", f.Table.Snapshot().Version)
	if f.Stopping() {
		w.Header().Set("Connection", "close")
	}
	refused.write(w)
}

// place chooses a server that was not tried. It refuses if the request is no
// longer permitted, or if there is no server.
func (f *Front) place(c *call) (choice.Attempt, *refusal) {
	snapshot := f.Table.Snapshot()
	if refused := c.permit(snapshot); refused != nil {
		return choice.Attempt{}, refused
	}
	candidates := untried(snapshot.Usable(c.service.Name, time.Now()), c.tried)
	return f.Chooser.Begin(c.needs(snapshot), candidates)
}

func untried(servers []directory.BackendServer, tried map[string]bool) []directory.BackendServer {
	if len(tried) == 0 {
		return servers
	}
	var left []directory.BackendServer
	for _, s := range servers {
		if !tried[s.ID] {
			left = append(left, s)
		}
	}
	return left
}

// serverOf says where an attempt goes, with this instance's share of the
// server's connections.
func (f *Front) serverOf(c *call, a *choice.Attempt) backend.Server {
	share := connectionShare * float64(c.service.MaxConnections) / float64(f.Chooser.Instances())
	return backend.Server{Key: ServerName(a.Server), Address: a.Server.Address, MaxConnections: max(int(share), 1)}
}

// ServerName names one start of a server.
func ServerName(b directory.BackendServer) string {
	return b.ID + "/" + strconv.FormatInt(b.Born, 10)
}

// className groups requests for metrics: kinds and priorities are few.
func (c *call) className() string {
	return c.route.Kind.String() + "-" + strconv.Itoa(c.priority())
}
