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
	// CountInterval is the time between two counts.
	CountInterval = 500 * time.Millisecond
	// WriteInterval is the shortest time between two writes of a server's
	// status while the server isn't empty.
	WriteInterval = 10 * time.Second
	// DefaultVanishedTimeout is the time for which an instance that vanished is
	// assumed to be still running requests.
	DefaultVanishedTimeout = 15 * time.Minute
)

// The reasons given in the Drained condition.
const (
	ReasonEmpty       = "Empty"
	ReasonInFlight    = "InFlight"
	ReasonUnreachable = "InstancesUnreachable"
	ReasonNotInForce  = "NotInForceEverywhere"
	ReasonNotDraining = "NotDraining"
)

// Options configures a StatusReporter. The zero value of VanishedTimeout means
// its default.
type Options struct {
	Transport peer.Transport
	Local     LocalCount
	// Peers lists the other live instances of all data centres.
	Peers func() []netip.AddrPort
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	Status   objects.Writer
	// ShouldReport reports whether this instance has the duty to write the
	// status.
	ShouldReport func() bool
	// VanishedTimeout is the time for which an instance that is no longer listed
	// is still asked for counts, unless InstanceLeft is called for it.
	VanishedTimeout time.Duration
}

// StatusReporter counts the requests at draining servers and writes the counts
// into the servers' status. Its methods are safe for concurrent use.
type StatusReporter struct {
	opts Options

	mu       sync.Mutex
	lastSeen map[netip.AddrPort]time.Time // when Options.Peers last listed the peer

	lastWritten map[string]writtenStatus // by server name; used by Run only
}

// writtenStatus is what was last written into a server's status.
type writtenStatus struct {
	server    Server
	condition api.Condition
	inFlight  int
	writtenAt time.Time
}

// NewStatusReporter returns a reporter and starts to answer the count requests
// of other instances.
func NewStatusReporter(o Options) *StatusReporter {
	if o.VanishedTimeout <= 0 {
		o.VanishedTimeout = DefaultVanishedTimeout
	}
	HandleCounts(o.Transport, o.Local)
	return &StatusReporter{opts: o, lastSeen: make(map[netip.AddrPort]time.Time), lastWritten: make(map[string]writtenStatus)}
}

// InstanceLeft records that an instance announced that it is leaving. All requests
// of the instance have ended by then, so the instance is no longer asked for counts.
func (r *StatusReporter) InstanceLeft(a netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lastSeen, a)
}

// Run counts the requests at draining servers once per CountInterval until ctx
// ends, and writes the servers' status while this instance has the duty to
// report.
func (r *StatusReporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		peers := r.peersToCount(time.Now())
		if r.opts.ShouldReport() {
			r.countAndReport(ctx, peers)
		} else {
			clear(r.lastWritten)
		}
		sleep(ctx, CountInterval)
	}
}

// peersToCount returns the peers that are listed now or were listed within
// VanishedTimeout.
func (r *StatusReporter) peersToCount(now time.Time) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.opts.Peers() {
		r.lastSeen[p] = now
	}
	var out []netip.AddrPort
	for p, at := range r.lastSeen {
		if now.Sub(at) > r.opts.VanishedTimeout {
			delete(r.lastSeen, p)
			continue
		}
		out = append(out, p)
	}
	return out
}

func (r *StatusReporter) countAndReport(ctx context.Context, peers []netip.AddrPort) {
	servers := Draining(r.opts.Snapshot())
	r.resetDrainedCondition(ctx, servers)
	if len(servers) == 0 {
		return
	}
	totals := sumOverInstances(ctx, r.opts.Transport, peers, servers, r.opts.Local)
	for i, s := range servers {
		r.report(ctx, s, totals[i])
	}
}

// Draining returns the servers with Drain set, sorted by name.
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

// report writes a server's status if it has changed. While the server is not
// empty, a change of the number of requests is written at most once per
// WriteInterval.
func (r *StatusReporter) report(ctx context.Context, s Server, t total) {
	condition := drainedCondition(s, t)
	last, known := r.lastWritten[s.Name]
	if known && last.server == s && last.condition.Status {
		// An empty server stays empty: each instance has the drain in force and
		// sends the server no new request.
		return
	}
	unchanged := known && last.server == s && last.condition == condition && last.inFlight == t.inFlight
	statusChanged := !known || last.server != s || last.condition.Status != condition.Status
	if unchanged || !statusChanged && time.Since(last.writtenAt) < WriteInterval {
		return
	}
	next := writtenStatus{server: s, condition: condition, inFlight: t.inFlight, writtenAt: time.Now()}
	if r.write(ctx, next) == nil {
		r.lastWritten[s.Name] = next
	}
}

func drainedCondition(s Server, t total) api.Condition {
	c := api.Condition{Type: api.ConditionDrained, Status: t.empty(), SpecVersion: s.SpecVersion, Reason: ReasonEmpty}
	switch {
	case t.unresponsive > 0:
		c.Reason = ReasonUnreachable
		c.Message = fmt.Sprintf("%d instances did not answer", t.unresponsive)
	case t.notInForce > 0:
		c.Reason = ReasonNotInForce
		c.Message = fmt.Sprintf("%d instances don't have the drain in force", t.notInForce)
	case t.inFlight > 0:
		c.Reason = ReasonInFlight
	}
	return c
}

// errStaleRead means that the platform returned a spec version that is older than
// the spec version for which the requests in flight were counted.
var errStaleRead = errors.New("drain: the platform returned an older spec")

// write reads the server's object from the platform and sets its status. If the
// platform returns a later spec version than status.server has, write changes
// nothing and returns nil. If the platform returns an earlier version or no
// object, write returns an error and the caller tries again later, since the
// platform may return a state from before the server's creation. The retries end
// when a deleted server disappears from the configuration.
func (r *StatusReporter) write(ctx context.Context, status writtenStatus) error {
	stale := false
	err := objects.UpdateStatus(ctx, r.opts.Status, api.KindBackendServer, status.server.Name, func(spec int64, stored *api.Status) {
		stale = spec < status.server.SpecVersion
		if spec != status.server.SpecVersion {
			return
		}
		objects.SetCondition(stored, status.condition)
		stored.InFlight = status.inFlight
	})
	if err == nil && stale {
		return errStaleRead
	}
	return err
}

// resetDrainedCondition sets the Drained condition to false, with the reason
// NotDraining, at servers that are no longer draining.
func (r *StatusReporter) resetDrainedCondition(ctx context.Context, draining []Server) {
	for name := range r.lastWritten {
		if slices.ContainsFunc(draining, func(s Server) bool { return s.Name == name }) {
			continue
		}
		entry, exists := r.opts.Snapshot().BackendServers[name]
		if !exists {
			delete(r.lastWritten, name)
			continue
		}
		s := Server{Name: name, SpecVersion: entry.SpecVersion}
		condition := api.Condition{Type: api.ConditionDrained, SpecVersion: s.SpecVersion, Reason: ReasonNotDraining}
		if r.write(ctx, writtenStatus{server: s, condition: condition}) == nil {
			delete(r.lastWritten, name)
		}
	}
}

// sleep returns after d or when ctx ends, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
