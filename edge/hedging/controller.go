package hedging

import (
	"sync"
	"time"
)

// minExpected keeps the ratio to very short expected delays from growing without bound.
const minExpected = 5 * time.Millisecond

// Send describes one send of a request to a server.
type Send struct {
	Class
	Route  string
	Server uint64
	// Expected is the delay of the first event, or of the answer, that was expected of a
	// server of ordinary speed. Slowness is how many times as long this server takes.
	Expected time.Duration
	Slowness float64
	// Target is the route's latency target.
	Target time.Duration
	// MayHedge is set if the request may be repeated and this is its first send.
	MayHedge bool

	// lateAfter is the delay that was learnt for the send when it began, or 0. late is set
	// once it has passed. Both are for the controller only.
	lateAfter time.Duration
	late      bool
}

// Plan says when a send is slow for its like.
type Plan struct {
	// After is the delay after which to call Ask; 0 means never.
	After time.Duration
	// TypicalRatio is how the delays of the send's like usually compare with those that were
	// expected.
	TypicalRatio float64
}

// expected is the delay that was expected of this server.
func (s *Send) expected() time.Duration { return time.Duration(float64(s.Expected) * s.Slowness) }

// Controller holds what one instance has learnt of delays, and its second attempts. It is safe
// for concurrent use.
type Controller struct {
	limits  Limits
	enabled bool

	mu sync.Mutex
	// start is the time of the first call. All times are counted from it, so that a jump of
	// the time of day changes none.
	start   time.Time
	delays  delayTable
	fleets  map[string]*fleet
	windows map[limitKey]*shareWindow
	counts  Counts
}

// New returns a controller that knows no delays yet.
func New(l Limits) *Controller {
	return &Controller{
		limits:  l,
		enabled: l.Any(),
		delays:  delayTable{make(map[delayKey]*rotating)},
		fleets:  make(map[string]*fleet),
		windows: make(map[limitKey]*shareWindow),
	}
}

// Enabled reports whether second attempts are allowed at all. If not, the other methods need
// not be called.
func (c *Controller) Enabled() bool { return c.enabled }

// Begin counts a send. The plan is empty if the send gets no second attempt.
func (c *Controller) Begin(s *Send, at time.Time) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceStart(at)
	key, share := c.limits.of(s.Route, s.Service)
	learnt, ok := c.delays.learnt(s, quantileFor(share), now)
	s.lateAfter = learnt.delay
	if !s.MayHedge || share <= 0 {
		return Plan{}
	}
	w := c.window(key)
	w.requests[w.at(now)]++
	if !ok {
		c.counts.Refused[NotLearnt]++
		return Plan{}
	}
	usual := time.Duration(learnt.typicalRatio * float64(s.expected()))
	return Plan{delayFor(learnt.delay, usual, s.Target), learnt.typicalRatio}
}

// Ask decides whether the request of a send that has no answer after the elapsed time gets a
// second attempt, if a server has room for it. p is what Begin returned. first is set at the
// first call for this send. A decision for a second attempt takes it from the limit.
func (c *Controller) Ask(s *Send, p Plan, elapsed time.Duration, first bool, at time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceStart(at)
	fleet := c.fleet(s.Service)
	if first {
		s.late = true
		fleet.recordSend(s.Server, true, now)
	}
	facts := Facts{Elapsed: elapsed, Delay: p.After, Learnt: p.After > 0, FleetSlow: fleet.slow(now)}
	key, share := c.limits.of(s.Route, s.Service)
	if elapsed >= p.After && !facts.FleetSlow {
		facts.WithinLimit = c.window(key).take(share, now)
	}
	d := Decide(facts)
	if d.Reason != Hedge && first {
		c.counts.Refused[d.Reason]++
	}
	return d
}

// Return gives back a second attempt that could not begin, for the given reason. first is that
// of the call of Ask.
func (c *Controller) Return(s *Send, why Reason, first bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceStart(at)
	key, _ := c.limits.of(s.Route, s.Service)
	c.window(key).giveBack(now)
	if first {
		c.counts.Refused[why]++
	}
}

// Answered records that a server answered after the observed delay.
func (c *Controller) Answered(s *Send, observed time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceStart(at)
	c.record(s, observed, now)
}

// Outrun records that another server answered first, and that this one had not answered after
// the elapsed time. It counts as an answer after that time: without it, what is learnt would
// lack the slowest answers, and ever more requests would be hedged.
func (c *Controller) Outrun(s *Send, elapsed time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.sinceStart(at)
	c.record(s, elapsed, now)
}

func (c *Controller) record(s *Send, observed, now time.Duration) {
	c.delays.record(s, observed, now)
	fleet := c.fleet(s.Service)
	fleet.recordAnswer(s, observed, now)
	if s.lateAfter > 0 && !s.late {
		s.late = observed > s.lateAfter
		fleet.recordSend(s.Server, s.late, now)
	}
}

// sinceStart returns the time since the first call.
func (c *Controller) sinceStart(at time.Time) time.Duration {
	if c.start.IsZero() {
		c.start = at
	}
	return at.Sub(c.start)
}

func (c *Controller) fleet(service string) *fleet {
	f, ok := c.fleets[service]
	if !ok {
		f = newFleet()
		c.fleets[service] = f
	}
	return f
}

func (c *Controller) window(key limitKey) *shareWindow {
	w, ok := c.windows[key]
	if !ok {
		w = &shareWindow{}
		c.windows[key] = w
	}
	return w
}

// RetainServices drops what is known of the services for which keep returns false.
func (c *Controller) RetainServices(keep func(service string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range c.fleets {
		if !keep(service) {
			delete(c.fleets, service)
		}
	}
	for key := range c.delays.histograms {
		if !keep(key.class.Service) {
			delete(c.delays.histograms, key)
		}
	}
}
