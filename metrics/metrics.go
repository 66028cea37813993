// Package metrics counts what the router does.
//
// Counters stand for each outcome and each reason, so that an operator can
// tell refusals and retries apart without logs. They are created at start:
// counting takes no lock and allocates nothing.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"bergamotpin.example/bergamotpin/outcome"
)

// reportInterval is the time between two reports of tally's scope.
const reportInterval = time.Second

// Metrics holds the counters of one instance. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	refusals []tally.Counter
	retries  []tally.Counter
	badInput []tally.Counter

	mu      sync.RWMutex
	classes map[string]*ClassMetrics
}

// New starts the metrics of one instance. Close ends them.
func New(instance, dataCentre string) *Metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bergamotpin",
		Tags:           map[string]string{"instance": instance, "data_centre": dataCentre},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		scope:    scope,
		closer:   closer,
		reporter: reporter,
		refusals: byReason(scope, "refusals"),
		retries:  byReason(scope, "retries"),
		badInput: byReason(scope, "bad_input"),
		classes:  make(map[string]*ClassMetrics),
	}
}

func byReason(scope tally.Scope, name string) []tally.Counter {
	reasons := outcome.Reasons()
	counters := make([]tally.Counter, len(reasons))
	for i, r := range reasons {
		counters[i] = scope.Tagged(map[string]string{"reason": r.String()}).Counter(name)
	}
	return counters
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the reports.
func (m *Metrics) Close() error { return m.closer.Close() }

// Scope returns the scope for further counters.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// CountRefusal counts a final refusal.
func (m *Metrics) CountRefusal(r outcome.Reason) { m.refusals[r].Inc(1) }

// CountRetry counts an attempt after the first, by its cause.
func (m *Metrics) CountRetry(r outcome.Reason) { m.retries[r].Inc(1) }

// CountBadInput counts a request that was refused before it was queued.
func (m *Metrics) CountBadInput(r outcome.Reason) { m.badInput[r].Inc(1) }

// ClassMetrics holds the counters of one service class.
type ClassMetrics struct {
	finals     []tally.Counter
	met        tally.Counter
	missed     tally.Counter
	wasted     tally.Counter
	tokens     tally.Counter
	firstToken tally.Histogram
	gap        tally.Histogram
	whole      tally.Histogram
}

// latencyBuckets are the bounds of the histograms of times.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// Class returns the counters of a class. The name is one of the configuration,
// so the set stays small.
func (m *Metrics) Class(name string) *ClassMetrics {
	m.mu.RLock()
	c, ok := m.classes[name]
	m.mu.RUnlock()
	if ok {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok = m.classes[name]; ok {
		return c
	}
	c = newClass(m.scope.Tagged(map[string]string{"class": name}))
	m.classes[name] = c
	return c
}

func newClass(scope tally.Scope) *ClassMetrics {
	finals := []outcome.Final{outcome.Completed, outcome.Refused, outcome.Unknown, outcome.Abandoned}
	c := &ClassMetrics{
		finals:     make([]tally.Counter, len(finals)+1),
		met:        scope.Tagged(map[string]string{"target": "met"}).Counter("targets"),
		missed:     scope.Tagged(map[string]string{"target": "missed"}).Counter("targets"),
		wasted:     scope.Counter("wasted_tokens"),
		tokens:     scope.Counter("tokens"),
		firstToken: scope.Histogram("first_token", latencyBuckets),
		gap:        scope.Histogram("event_gap", latencyBuckets),
		whole:      scope.Histogram("whole_answer", latencyBuckets),
	}
	for _, f := range finals {
		c.finals[f] = scope.Tagged(map[string]string{"outcome": f.String()}).Counter("requests")
	}
	return c
}

// CountFinal counts the end of a request.
func (c *ClassMetrics) CountFinal(f outcome.Final) { c.finals[f].Inc(1) }

// CountTarget counts a completed request against its class's latency targets.
func (c *ClassMetrics) CountTarget(met bool) {
	if met {
		c.met.Inc(1)
		return
	}
	c.missed.Inc(1)
}

// ObserveFirstToken records the time from the request to its first token.
func (c *ClassMetrics) ObserveFirstToken(d time.Duration) { c.firstToken.RecordDuration(d) }

// ObserveGap records the time between two events of one stream.
func (c *ClassMetrics) ObserveGap(d time.Duration) { c.gap.RecordDuration(d) }

// ObserveWholeAnswer records the time from the request to the end of its answer.
func (c *ClassMetrics) ObserveWholeAnswer(d time.Duration) { c.whole.RecordDuration(d) }

// CountTokens counts tokens that reached the caller.
func (c *ClassMetrics) CountTokens(n int) { c.tokens.Inc(int64(n)) }

// CountWastedTokens counts tokens that were received and then thrown away.
func (c *ClassMetrics) CountWastedTokens(n int) { c.wasted.Inc(int64(n)) }
