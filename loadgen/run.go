package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// idleConnections is how many connections to one address stay open unused.
const idleConnections = 1024

// runner is one run.
type runner struct {
	opts   Options
	caller *caller
	ledger *ledger
	// ctx ends the requests under way.
	ctx   context.Context
	tasks sync.WaitGroup
}

// Run sends the workload and returns the report once every request has ended.
// If ctx ends first, no more requests arrive and those under way are given up;
// the report then covers what was sent. It fails on invalid options or if the
// trace can't be written.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return Report{}, err
	}
	client := newClient(opts.Transport)
	defer client.CloseIdleConnections()
	start := time.Now()
	calls, giveUp := context.WithCancel(ctx)
	defer giveUp()
	r := &runner{
		opts:   opts,
		caller: &caller{client: client, start: start},
		ledger: newLedger(opts, start),
		ctx:    calls,
	}
	stopProgress := r.reportProgress()
	r.arrive(ctx)
	r.wait(giveUp)
	stopProgress()
	r.ledger.check(opts.RunCounts)
	if err := r.ledger.writeTrace(opts.TraceOutput); err != nil {
		return Report{}, err
	}
	return r.ledger.report(), nil
}

// newClient returns a client that uses no proxy and no cookie.
func newClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	}
	return &http.Client{Transport: transport}
}

// arrive runs the arrivals of all classes until they end.
func (r *runner) arrive(ctx context.Context) {
	var classes sync.WaitGroup
	for i := range r.opts.Workload.Classes {
		classes.Go(func() { r.arriveClass(ctx, i) })
	}
	classes.Wait()
}

// arriveClass starts the requests of one class, each when it is due.
func (r *runner) arriveClass(ctx context.Context, index int) {
	class := &r.opts.Workload.Classes[index]
	random := rand.New(rand.NewPCG(r.opts.Seed, uint64(index)))
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := time.Duration(0)
	for number := 0; ; number++ {
		at = class.nextArrival(random, at, r.opts.Duration)
		if at >= r.opts.Duration {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", class.Name, r.opts.Seed, number)
		q := newRequest(class, &r.opts.Workload, id, at, random)
		q.address = r.opts.Addresses[(index+number)%len(r.opts.Addresses)]
		timer.Reset(time.Until(r.caller.start.Add(at)))
		select {
		case <-timer.C:
			r.begin(q)
		case <-ctx.Done():
			return
		}
	}
}

// begin sends the request on its own goroutine, unless too many are open.
func (r *runner) begin(q *request) {
	if !r.ledger.open(q, r.opts.MaxOpen) {
		return
	}
	r.tasks.Go(func() { r.serve(q) })
}

// serve takes a request to its final outcome.
func (r *runner) serve(q *request) {
	result := r.first(q)
	if q.comesBack && result.final == outcome.Refused && r.mayReturn(result.retryAfter) {
		result = r.comeBack(q, result)
	}
	r.ledger.close(q, result)
}

// mayReturn reports whether a caller was told to come back, and within the run.
func (r *runner) mayReturn(after time.Duration) bool {
	end := r.caller.start.Add(r.opts.Duration + r.opts.Drain)
	return after > 0 && time.Now().Add(after).Before(end)
}

// first sends the request for the first time: twice at once if its caller does
// so. The better of the two outcomes counts.
func (r *runner) first(q *request) result {
	due := r.caller.start.Add(q.due)
	if !q.repeats {
		return r.caller.send(r.ctx, q, due)
	}
	second := make(chan result, 1)
	r.tasks.Go(func() { second <- r.caller.send(r.ctx, q, due) })
	a := r.caller.send(r.ctx, q, due)
	b := <-second
	r.ledger.repeated()
	if a.final != outcome.Completed && b.final == outcome.Completed {
		a, b = b, a
	}
	a.violations = append(a.violations, b.violations...)
	return a
}

// comeBack sends the request again after the time that its refusal told. Its
// latencies count from then.
func (r *runner) comeBack(q *request, refused result) result {
	timer := time.NewTimer(refused.retryAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
		return refused
	}
	result := r.caller.send(r.ctx, q, time.Now())
	r.ledger.cameBack(q, result)
	result.violations = append(result.violations, refused.violations...)
	return result
}

// wait waits for the requests under way, and gives them up after Drain.
func (r *runner) wait(giveUp context.CancelFunc) {
	timer := time.AfterFunc(r.opts.Drain, giveUp)
	defer timer.Stop()
	r.tasks.Wait()
}

// reportProgress calls OnProgress until the returned function is called.
func (r *runner) reportProgress() (stop func()) {
	if r.opts.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var task sync.WaitGroup
	task.Go(func() {
		ticker := time.NewTicker(r.opts.ProgressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.opts.OnProgress(r.ledger.progress())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
	}
}
