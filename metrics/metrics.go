// Package metrics counts the router's requests and exports the counts in the
// Prometheus text format.
//
// There is a counter for each outcome and each reason, so that an operator can
// distinguish kinds of refusals and retries without logs. The counters are created
// in advance, so that counting takes no lock and allocates nothing.
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

// reportInterval is how often the tally scope reports to the Prometheus registry.
const reportInterval = time.Second

// Metrics holds the counters of one instance. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	// These counters are indexed by outcome.Reason.
	refusals []tally.Counter
	retries  []tally.Counter
	badInput []tally.Counter
	// undelivered is indexed by outcome.ConnectionEnd.
	undelivered []tally.Counter

	mu      sync.RWMutex
	classes map[string]*ClassMetrics
}

// New returns the metrics of one instance and starts reporting. The caller must close
// them.
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
		scope:       scope,
		closer:      closer,
		reporter:    reporter,
		refusals:    newReasonCounters(scope, "refusals"),
		retries:     newReasonCounters(scope, "retries"),
		badInput:    newReasonCounters(scope, "bad_input"),
		undelivered: newConnectionEndCounters(scope, "responses_undelivered"),
		classes:     make(map[string]*ClassMetrics),
	}
}

// newConnectionEndCounters returns a counter for each way in which a caller's connection
// ends, indexed by outcome.ConnectionEnd.
func newConnectionEndCounters(scope tally.Scope, name string) []tally.Counter {
	ends := outcome.ConnectionEnds()
	counters := make([]tally.Counter, len(ends))
	for i, e := range ends {
		counters[i] = scope.Tagged(map[string]string{"connection": e.String()}).Counter(name)
	}
	return counters
}

// newReasonCounters returns a counter for each reason, indexed by outcome.Reason.
func newReasonCounters(scope tally.Scope, name string) []tally.Counter {
	reasons := outcome.Reasons()
	counters := make([]tally.Counter, len(reasons))
	for i, r := range reasons {
		counters[i] = scope.Tagged(map[string]string{"reason": r.String()}).Counter(name)
	}
	return counters
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Scope returns the tally scope, for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// CountRefusal counts a request that did not end with a backend server's response, by
// reason.
func (m *Metrics) CountRefusal(r outcome.Reason) { m.refusals[r].Inc(1) }

// CountRetry counts a further attempt of a request, by the reason for the retry.
func (m *Metrics) CountRetry(r outcome.Reason) { m.retries[r].Inc(1) }

// CountBadInput counts a request that was refused while it was read and checked, before
// a backend server was chosen. The reason may also be that the instance is not ready.
func (m *Metrics) CountBadInput(r outcome.Reason) { m.badInput[r].Inc(1) }

// CountUndelivered counts a request whose caller did not get its whole response, because
// its connection ended in the given way.
func (m *Metrics) CountUndelivered(e outcome.ConnectionEnd) { m.undelivered[e].Inc(1) }

// ClassMetrics holds the counters and histograms of one service class.
type ClassMetrics struct {
	// requestsByOutcome is indexed by outcome.Final, whose values start at 1.
	requestsByOutcome []tally.Counter
	targetsMet        tally.Counter
	targetsMissed     tally.Counter
	wastedTokens      tally.Counter
	deliveredTokens   tally.Counter
	firstToken        tally.Histogram
	eventGap          tally.Histogram
	wholeAnswer       tally.Histogram
}

// latencyBuckets are the bucket bounds of all latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// ForClass returns the metrics of a class. The name must come from the
// configuration, which bounds the number of time series.
func (m *Metrics) ForClass(name string) *ClassMetrics {
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
	c = newClassMetrics(m.scope.Tagged(map[string]string{"class": name}))
	m.classes[name] = c
	return c
}

func newClassMetrics(scope tally.Scope) *ClassMetrics {
	outcomes := []outcome.Final{outcome.Completed, outcome.Refused, outcome.Unknown, outcome.Abandoned}
	c := &ClassMetrics{
		requestsByOutcome: make([]tally.Counter, len(outcomes)+1),
		targetsMet:        scope.Tagged(map[string]string{"target": "met"}).Counter("targets"),
		targetsMissed:     scope.Tagged(map[string]string{"target": "missed"}).Counter("targets"),
		wastedTokens:      scope.Counter("wasted_tokens"),
		deliveredTokens:   scope.Counter("tokens"),
		firstToken:        scope.Histogram("first_token", latencyBuckets),
		eventGap:          scope.Histogram("event_gap", latencyBuckets),
		wholeAnswer:       scope.Histogram("whole_answer", latencyBuckets),
	}
	for _, f := range outcomes {
		c.requestsByOutcome[f] = scope.Tagged(map[string]string{"outcome": f.String()}).Counter("requests")
	}
	return c
}

// CountFinal counts the final outcome of a request.
func (c *ClassMetrics) CountFinal(f outcome.Final) { c.requestsByOutcome[f].Inc(1) }

// CountTarget counts a completed request as having met or missed the latency targets
// of its class.
func (c *ClassMetrics) CountTarget(met bool) {
	if met {
		c.targetsMet.Inc(1)
		return
	}
	c.targetsMissed.Inc(1)
}

// ObserveFirstToken records the time from the request to its first token.
func (c *ClassMetrics) ObserveFirstToken(d time.Duration) { c.firstToken.RecordDuration(d) }

// ObserveGap records the time between two successive events of a stream.
func (c *ClassMetrics) ObserveGap(d time.Duration) { c.eventGap.RecordDuration(d) }

// ObserveWholeAnswer records the time from the request to the end of its response.
func (c *ClassMetrics) ObserveWholeAnswer(d time.Duration) { c.wholeAnswer.RecordDuration(d) }

// CountTokens counts tokens that were delivered to the caller.
func (c *ClassMetrics) CountTokens(n int) { c.deliveredTokens.Inc(int64(n)) }

// CountWastedTokens counts tokens that were received from an engine and discarded.
func (c *ClassMetrics) CountWastedTokens(n int) { c.wastedTokens.Inc(int64(n)) }
