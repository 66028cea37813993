package drain

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/config"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/peer"
)

const (
	// Interval is the time between two counts.
	Interval = 500 * time.Millisecond
	// WriteInterval is the shortest time between two writes of a server's
	// status while it isn't empty.
	WriteInterval = 10 * time.Second
	// DefaultVanishedTimeout is how long an instance that vanished may run requests.
	DefaultVanishedTimeout = 15 * time.Minute
)

// The reasons in the Drained condition.
const (
	ReasonEmpty       = "Empty"
	ReasonInFlight    = "InFlight"
	ReasonUnreachable = "InstancesUnreachable"
	ReasonNotInForce  = "NotInForceEverywhere"
	ReasonNotDraining = "NotDraining"
)

// Options sets up a Reporter. The zero value of VanishedTimeout takes its default.
type Options struct {
	Transport peer.Transport
	Local     LocalCount
	// Peers lists the other live instances of all data centres.
	Peers func() []netip.AddrPort
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	Status   objects.Writer
	// ShouldReport reports whether this instance writes the status.
	ShouldReport    func() bool
	VanishedTimeout time.Duration
}

// Reporter counts and reports. Its methods are safe for concurrent use.
type Reporter struct {
	opts Options

	mu   sync.Mutex
	seen map[netip.AddrPort]time.Time // when a peer was last listed

	written map[string]written
}

// written is what a server's status says.
type written struct {
	server    Server
	condition api.Condition
	inFlight  int
	at        time.Time
}

// NewReporter returns a reporter. It also serves the counts of this instance.
func NewReporter(o Options) *Reporter {
	if o.VanishedTimeout <= 0 {
		o.VanishedTimeout = DefaultVanishedTimeout
	}
	HandleCounts(o.Transport, o.Local)
	return &Reporter{opts: o, seen: make(map[netip.AddrPort]time.Time), written: make(map[string]written)}
}

// InstanceLeft says that an instance has ended all its requests, as one does that
// announced its leave.
func (r *Reporter) InstanceLeft(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.seen, a)
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		peers := r.instances(time.Now())
		if r.opts.ShouldReport() {
			r.step(ctx, peers)
		} else {
			clear(r.written)
		}
		sleep(ctx, Interval)
	}
}

// instances returns the peers that are listed or vanished a short time ago.
func (r *Reporter) instances(now time.Time) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.opts.Peers() {
		r.seen[p] = now
	}
	var out []netip.AddrPort
	for p, at := range r.seen {
		if now.Sub(at) > r.opts.VanishedTimeout {
			delete(r.seen, p)
			continue
		}
		out = append(out, p)
	}
	return out
}

func (r *Reporter) step(ctx context.Context, peers []netip.AddrPort) {
	servers := Draining(r.opts.Snapshot())
	r.clearOthers(ctx, servers)
	if len(servers) == 0 {
		return
	}
	totals := ask(ctx, r.opts.Transport, peers, servers, r.opts.Local)
	for i, s := range servers {
		r.report(ctx, s, totals[i])
	}
}

// Draining lists the servers with Drain set, by name.
func Draining(s *config.Snapshot) []Server {
	var out []Server
	for name, entry := range s.BackendServers {
		if entry.Spec.Drain {
			out = append(out, Server{Name: name, SpecVersion: entry.SpecVersion})
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (r *Reporter) report(ctx context.Context, s Server, t total) {
	condition := conditionOf(s, t)
	last, known := r.written[s.Name]
	if known && last.server == s && last.condition.Status {
		// An empty server stays empty: what is counted later is turned away.
		return
	}
	same := known && last.server == s && last.condition == condition && last.inFlight == t.inFlight
	turned := !known || last.server != s || last.condition.Status != condition.Status
	if same || !turned && time.Since(last.at) < WriteInterval {
		return
	}
	next := written{server: s, condition: condition, inFlight: t.inFlight, at: time.Now()}
	if r.write(ctx, next) == nil {
		r.written[s.Name] = next
	}
}

func conditionOf(s Server, t total) api.Condition {
	c := api.Condition{Type: api.ConditionDrained, Status: t.empty(), SpecVersion: s.SpecVersion, Reason: ReasonEmpty}
	switch {
	case t.silent > 0:
		c.Reason = ReasonUnreachable
		c.Message = fmt.Sprintf("%d instances did not answer", t.silent)
	case t.notInForce > 0:
		c.Reason = ReasonNotInForce
		c.Message = fmt.Sprintf("%d instances don't have the drain in force", t.notInForce)
	case t.inFlight > 0:
		c.Reason = ReasonInFlight
	}
	return c
}

// errStaleRead reports a read that is older than the spec it is about.
var errStaleRead = errors.New("drain: the platform answered with an older spec")

// write sets the status, unless the platform has a later spec by now. It fails
// if the read finds no server: that may be stale too. A server that was deleted
// leaves the configuration, and is not reported on any more.
func (r *Reporter) write(ctx context.Context, w written) error {
	stale := false
	err := objects.UpdateStatus(ctx, r.opts.Status, api.KindBackendServer, w.server.Name, func(spec int64, s *api.Status) {
		stale = spec < w.server.SpecVersion
		if spec != w.server.SpecVersion {
			return
		}
		objects.SetCondition(s, w.condition)
		s.InFlight = w.inFlight
	})
	if err == nil && stale {
		return errStaleRead
	}
	return err
}

// clearOthers takes the condition back from servers that drain no more.
func (r *Reporter) clearOthers(ctx context.Context, draining []Server) {
	for name := range r.written {
		if slices.ContainsFunc(draining, func(s Server) bool { return s.Name == name }) {
			continue
		}
		entry, exists := r.opts.Snapshot().BackendServers[name]
		if !exists {
			delete(r.written, name)
			continue
		}
		s := Server{Name: name, SpecVersion: entry.SpecVersion}
		condition := api.Condition{Type: api.ConditionDrained, SpecVersion: s.SpecVersion, Reason: ReasonNotDraining}
		if r.write(ctx, written{server: s, condition: condition}) == nil {
			delete(r.written, name)
		}
	}
}

// sleep returns after d or at the end of ctx, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
