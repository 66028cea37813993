package bench

import (
	"math/rand/v2"
	"time"

	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// networkDelay is the time of any message between two processes.
	networkDelay = 500 * time.Microsecond
	// tickEvery is the time between two ticks of the scheduler.
	tickEvery = 5 * time.Millisecond
	// reportEvery is the time between two load reports of an engine.
	reportEvery = 250 * time.Millisecond
	// reportLag is the age of a load report when it comes.
	reportLag = time.Second
	// hintLag is the age of a cache event when it comes.
	hintLag = 2 * time.Second
	// hintLoss is the share of cache events that never come.
	hintLoss = 0.2
	// progressTokens is the number of tokens between two progress messages.
	progressTokens = 16
	// maxReturns bounds how often a refused caller comes back.
	maxReturns = 3
	// returnJitter bounds how long after the stated time a caller comes back.
	returnJitter = 200 * time.Millisecond
)

// driver is the state of one run.
type driver struct {
	w      *Workload
	policy Policy
	seed   uint64
	now    time.Duration
	agenda agenda

	// requests holds the first visits in order of arrival, then the returns.
	requests []request
	// first is the number of first visits, of which arrived have come.
	first   int
	arrived int
	// open counts requests that are still to arrive or to end.
	open    int
	engines []*engine
	byName  map[string]int
	// rng draws the losses of hints and the callers' returns.
	rng *rand.Rand

	decider       Scheduler
	schedulerDown bool
	reportsDown   bool
	in            schedcore.Input
	out           schedcore.Output
	audit         audit
	totals        totals
}

// totals are sums that need no request.
type totals struct {
	prefilled, decoded int
	returned           int
	beyondRun          int
	preemptions        int
	referrals          int
	refusals           int
	retryAfter         time.Duration
	failures           map[string]int
}

func (t *totals) meanRetryAfter() time.Duration {
	if t.refusals == 0 {
		return 0
	}
	return t.retryAfter / time.Duration(t.refusals)
}

// Run plays the workload through the policy.
func Run(w Workload, policy Policy, seed uint64) Result {
	d := newDriver(&w, generate(&w, seed), policy, seed)
	d.loop()
	return d.result()
}

func newDriver(w *Workload, requests []request, policy Policy, seed uint64) *driver {
	d := &driver{
		w:        w,
		policy:   policy,
		seed:     seed,
		requests: requests,
		byName:   make(map[string]int),
		rng:      rand.New(rand.NewPCG(seed, 1<<32)),
		decider:  policy.New(seed),
		totals:   totals{failures: make(map[string]int)},
	}
	for i, spec := range w.Engines {
		d.engines = append(d.engines, newEngine(spec))
		d.byName[spec.Name] = i
		d.agenda.push(event{at: reportEvery, kind: eventSample, engine: int32(i)})
	}
	d.audit = newAudit(w, len(d.requests))
	d.open = len(d.requests)
	d.first = len(d.requests)
	for i, f := range w.Faults {
		d.agenda.push(event{at: f.At, kind: eventFault, engine: int32(i)})
		d.agenda.push(event{at: f.At + f.For, kind: eventRepair, engine: int32(i)})
	}
	d.in.Config = d.config()
	d.agenda.push(event{at: tickEvery, kind: eventTick})
	return d
}

func (d *driver) config() *schedcore.Config {
	cfg := &schedcore.Config{}
	for _, c := range d.w.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	for _, o := range d.w.Organisations {
		cfg.Organisations = append(cfg.Organisations, o.Organisation)
	}
	for _, e := range d.w.Engines {
		cfg.Servers = append(cfg.Servers, schedcore.Server{Name: e.Name, Slots: d.w.slots()})
	}
	return cfg
}

func (d *driver) loop() {
	end := d.w.Duration + d.w.Drain
	for d.open > 0 {
		at, ok := d.agenda.next()
		if d.arrived < d.first && (!ok || d.requests[d.arrived].arrived <= at) {
			d.now = d.requests[d.arrived].arrived
			d.arrived++
			d.arrive(int32(d.arrived - 1))
			continue
		}
		if !ok || at > end {
			return
		}
		d.now = at
		e := d.agenda.pop()
		d.handle(&e)
	}
}

func (d *driver) handle(e *event) {
	switch e.kind {
	case eventArrival:
		d.arrive(e.request)
	case eventTick:
		d.tick()
	case eventStep:
		d.step(e)
	case eventSend:
		d.send(e)
	case eventCancel:
		d.cancel(e)
	case eventDeadline:
		d.deadline(e.request)
	case eventSample:
		d.sample(e)
	case eventFault:
		d.startFault(d.w.Faults[e.engine])
	case eventRepair:
		d.endFault(d.w.Faults[e.engine])
	default:
		d.deliver(e)
	}
}

// sample takes an engine's load and reports it late.
func (d *driver) sample(e *event) {
	d.agenda.push(event{at: d.now + reportEvery, kind: eventSample, engine: e.engine})
	en := d.engines[e.engine]
	if d.reportsDown || en.down {
		return
	}
	report := schedcore.LoadReport{
		Server:  en.spec.Name,
		Running: len(en.running),
		Waiting: len(en.queue),
		KVUsed:  float64(len(en.running)) / engineBatch,
		Age:     reportLag,
	}
	d.toScheduler(event{kind: eventReport, message: &message{report: report}}, reportLag)
}

// hint reports a change of a prefix cache late, and loses some.
func (d *driver) hint(h schedcore.CacheHint) {
	lost := d.rng.Float64() < hintLoss
	if lost || d.reportsDown {
		return
	}
	d.toScheduler(event{kind: eventHint, message: &message{hint: h}}, hintLag)
}

// toScheduler sends a message that arrives after the given delay.
func (d *driver) toScheduler(e event, delay time.Duration) {
	e.at = d.now + delay
	d.agenda.push(e)
}
