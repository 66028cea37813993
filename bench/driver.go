package bench

import (
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// networkDelay is how long any message between two processes takes.
	networkDelay = 500 * time.Microsecond
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 5 * time.Millisecond
	// reportInterval is the time between two load reports of an engine.
	reportInterval = 250 * time.Millisecond
	// reportDelay is the age of a load report when it reaches the scheduler.
	reportDelay = time.Second
	// hintDelay is the age of a cache hint when it reaches the scheduler.
	hintDelay = 2 * time.Second
	// hintLossShare is the share of cache hints that are lost.
	hintLossShare = 0.2
	// tokensPerProgress is the number of tokens between two progress reports.
	tokensPerProgress = 16
	// maxReturns bounds how often a refused caller returns.
	maxReturns = 3
	// maxReturnJitter bounds how long after its Retry-After time a caller
	// returns.
	maxReturnJitter = 200 * time.Millisecond
)

// driver simulates one run: callers, entry instances, engines and faults. It
// calls the scheduler at each tick.
type driver struct {
	workload *Workload
	policy   Policy
	seed     uint64
	now      time.Duration
	queue    eventQueue

	// requests holds the callers' first requests in order of arrival, followed
	// by the requests of returning callers.
	requests []request
	// initialCount is the number of callers' first requests. Of these,
	// requests[:arrivedCount] have arrived.
	initialCount int
	arrivedCount int
	// openCount counts the requests without an outcome, including those that
	// have yet to arrive.
	openCount int
	engines   []*engine
	// engineIndex maps the name of an engine to its index in engines.
	engineIndex map[string]int
	// rng decides which cache hints are lost, which refused callers return, and
	// when.
	rng *rand.Rand

	scheduler Scheduler
	// schedulerDown says that a fault has stopped the scheduler, and reportsDown
	// that a fault has stopped load reports and cache hints.
	schedulerDown bool
	reportsDown   bool
	// in collects the input of the scheduler's next tick, and out holds the
	// decisions of its latest tick.
	in  schedcore.Input
	out schedcore.Output
	// auditor counts broken guarantees.
	auditor auditor
	totals  totals
}

// totals holds the figures of a run that are not kept in its requests.
type totals struct {
	prefilledTokens, decodedTokens int
	// returned counts the requests of returning callers. returnsBeyondRun
	// counts the callers that don't return because the run would end too soon
	// after their return.
	returned         int
	returnsBeyondRun int
	preemptions      int
	referrals        int
	refusals         int
	// retryAfterSum is the sum of the refusals' Retry-After times.
	retryAfterSum time.Duration
	// failures counts failed attempts by reason.
	failures map[string]int
}

func (t *totals) meanRetryAfter() time.Duration {
	if t.refusals == 0 {
		return 0
	}
	return t.retryAfterSum / time.Duration(t.refusals)
}

// Run simulates the workload with the policy and returns the figures. The seed
// determines arrivals, lengths, losses and returns.
func Run(w Workload, policy Policy, seed uint64) Result {
	d := newDriver(&w, generateRequests(&w, seed), policy, seed)
	d.run()
	return d.result()
}

func newDriver(w *Workload, requests []request, policy Policy, seed uint64) *driver {
	d := &driver{
		workload:    w,
		policy:      policy,
		seed:        seed,
		requests:    requests,
		engineIndex: make(map[string]int),
		rng:         rand.New(rand.NewPCG(seed, 1<<32)),
		scheduler:   policy.New(seed),
		totals:      totals{failures: make(map[string]int)},
	}
	for i, spec := range w.Engines {
		d.engines = append(d.engines, newEngine(spec))
		d.engineIndex[spec.Name] = i
		d.queue.push(event{at: reportInterval, kind: eventLoadSample, engine: int32(i)})
	}
	d.auditor = newAuditor(w, len(d.requests))
	d.openCount = len(d.requests)
	d.initialCount = len(d.requests)
	for i, f := range w.Faults {
		d.queue.push(event{at: f.At, kind: eventFaultStart, engine: int32(i)})
		d.queue.push(event{at: f.At + f.Duration, kind: eventFaultEnd, engine: int32(i)})
	}
	d.in.Config = d.schedulerConfig()
	d.queue.push(event{at: tickInterval, kind: eventTick})
	return d
}

func (d *driver) schedulerConfig() *schedcore.Config {
	cfg := &schedcore.Config{}
	for _, c := range d.workload.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	for _, o := range d.workload.Organisations {
		cfg.Organisations = append(cfg.Organisations, o.Organisation)
	}
	for _, e := range d.workload.Engines {
		cfg.Servers = append(cfg.Servers, schedcore.Server{Name: e.Name, Slots: d.workload.slots()})
	}
	return cfg
}

// run handles arrivals and events in order of time, until every request has an
// outcome or the time to drain is over.
func (d *driver) run() {
	end := d.workload.Duration + d.workload.DrainTimeout
	for d.openCount > 0 {
		at, ok := d.queue.nextTime()
		if d.arrivedCount < d.initialCount && (!ok || d.requests[d.arrivedCount].arrivedAt <= at) {
			d.now = d.requests[d.arrivedCount].arrivedAt
			d.arrivedCount++
			d.receiveRequest(int32(d.arrivedCount - 1))
			continue
		}
		if !ok || at > end {
			return
		}
		d.now = at
		e := d.queue.pop()
		d.handle(&e)
	}
}

func (d *driver) handle(e *event) {
	switch e.kind {
	case eventArrival:
		d.receiveRequest(e.request)
	case eventTick:
		d.tick()
	case eventStepEnd:
		d.finishStep(e)
	case eventStartAttempt:
		d.startAttempt(e)
	case eventCancel:
		d.cancelAtEngine(e)
	case eventCallerLeaves:
		d.abandonRequest(e.request)
	case eventLoadSample:
		d.sampleLoad(e)
	case eventFaultStart:
		d.startFault(d.workload.Faults[e.engine])
	case eventFaultEnd:
		d.endFault(d.workload.Faults[e.engine])
	default:
		d.deliverToScheduler(e)
	}
}

// sampleLoad measures an engine's load and sends a load report that arrives
// late.
func (d *driver) sampleLoad(e *event) {
	d.queue.push(event{at: d.now + reportInterval, kind: eventLoadSample, engine: e.engine})
	eng := d.engines[e.engine]
	if d.reportsDown || eng.down {
		return
	}
	report := schedcore.LoadReport{
		Server:  eng.spec.Name,
		Running: len(eng.running),
		Waiting: len(eng.queue),
		KVUsed:  float64(len(eng.running)) / engineBatchSize,
		Age:     reportDelay,
	}
	d.sendToScheduler(event{kind: eventLoadReport, message: &message{loadReport: report}}, reportDelay)
}

// reportCacheChange sends a cache hint that arrives late. Some hints are lost at
// random.
func (d *driver) reportCacheChange(change schedcore.CacheHint) {
	lost := d.rng.Float64() < hintLossShare
	if lost || d.reportsDown {
		return
	}
	d.sendToScheduler(event{kind: eventCacheHint, message: &message{cacheHint: change}}, hintDelay)
}

// sendToScheduler queues an event that reaches the scheduler after the delay.
func (d *driver) sendToScheduler(e event, delay time.Duration) {
	e.at = d.now + delay
	d.queue.push(e)
}
