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

// maxIdleConnections is the number of idle connections that are kept open to
// each address.
const maxIdleConnections = 1024

// runner is the state of one run.
type runner struct {
	opts       Options
	sender     *sender
	accounting *accounting
	// requestsCtx is the context of all requests. Its end cancels the open
	// requests.
	requestsCtx context.Context
	tasks       sync.WaitGroup
}

// Run sends the workload and returns the report once every request has ended.
// If ctx ends first, no more requests arrive and the open ones are cancelled;
// the report then covers the requests sent by then. Run returns an error if the
// options are invalid or the trace can't be written.
func Run(ctx context.Context, opts Options) (Report, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return Report{}, err
	}
	client := newClient(opts.Transport)
	defer client.CloseIdleConnections()
	start := time.Now()
	requestsCtx, cancelRequests := context.WithCancel(ctx)
	defer cancelRequests()
	r := &runner{
		opts:        opts,
		sender:      &sender{client: client, start: start},
		accounting:  newAccounting(opts, start),
		requestsCtx: requestsCtx,
	}
	stopProgress := r.reportProgress()
	r.runArrivals(ctx)
	r.awaitRequests(cancelRequests)
	stopProgress()
	r.accounting.checkRunCounts(opts.RunCounts)
	if err := r.accounting.writeTrace(opts.TraceOutput); err != nil {
		return Report{}, err
	}
	return r.accounting.report(), nil
}

// newClient returns a client that uses the given transport. If the transport is
// nil, the client uses a transport that connects without a proxy. The client
// stores no cookies.
func newClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	}
	return &http.Client{Transport: transport}
}

// runArrivals starts the requests of all classes and returns after the last
// arrival.
func (r *runner) runArrivals(ctx context.Context) {
	var classes sync.WaitGroup
	for i := range r.opts.Workload.Classes {
		classes.Go(func() { r.runClassArrivals(ctx, i) })
	}
	classes.Wait()
}

// runClassArrivals starts the requests of one class, each at the time at which
// it is due.
func (r *runner) runClassArrivals(ctx context.Context, index int) {
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
		timer.Reset(time.Until(r.sender.start.Add(at)))
		select {
		case <-timer.C:
			r.startRequest(q)
		case <-ctx.Done():
			return
		}
	}
}

// startRequest sends the request on a new goroutine, unless too many requests
// are open.
func (r *runner) startRequest(q *request) {
	if !r.accounting.open(q, r.opts.MaxOpen) {
		return
	}
	r.tasks.Go(func() { r.completeRequest(q) })
}

// completeRequest sends the request and records the final outcome. If the
// caller returns after a refusal, completeRequest sends the request again and
// records the outcome of the second send.
func (r *runner) completeRequest(q *request) {
	result := r.sendFirst(q)
	if q.returnsIfRefused && result.finalOutcome == outcome.Refused && r.mayReturn(result.retryAfter) {
		result = r.sendReturn(q, result)
	}
	r.accounting.close(q, result)
}

// mayReturn reports whether a refusal has a Retry-After time that ends before
// the end of the run.
func (r *runner) mayReturn(retryAfter time.Duration) bool {
	end := r.sender.start.Add(r.opts.Duration + r.opts.DrainTimeout)
	return retryAfter > 0 && time.Now().Add(retryAfter).Before(end)
}

// sendFirst sends the request for the first time. If the caller sends a
// duplicate, the request is sent twice at the same time. If only one of the two
// copies completes, the result of that copy counts.
func (r *runner) sendFirst(q *request) sendResult {
	due := r.sender.start.Add(q.dueAt)
	if !q.sentTwice {
		return r.sender.send(r.requestsCtx, q, due)
	}
	secondDone := make(chan sendResult, 1)
	r.tasks.Go(func() { secondDone <- r.sender.send(r.requestsCtx, q, due) })
	firstResult := r.sender.send(r.requestsCtx, q, due)
	secondResult := <-secondDone
	r.accounting.countDuplicate()
	if firstResult.finalOutcome != outcome.Completed && secondResult.finalOutcome == outcome.Completed {
		firstResult, secondResult = secondResult, firstResult
	}
	firstResult.violations = append(firstResult.violations, secondResult.violations...)
	return firstResult
}

// sendReturn waits for the Retry-After time of a refused request and sends the
// request again. Latencies count from the second send.
func (r *runner) sendReturn(q *request, refused sendResult) sendResult {
	timer := time.NewTimer(refused.retryAfter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.requestsCtx.Done():
		return refused
	}
	result := r.sender.send(r.requestsCtx, q, time.Now())
	r.accounting.countReturn(q, result)
	result.violations = append(result.violations, refused.violations...)
	return result
}

// awaitRequests waits until all requests have ended. It cancels the requests
// that are still open after Options.DrainTimeout.
func (r *runner) awaitRequests(cancelRequests context.CancelFunc) {
	timer := time.AfterFunc(r.opts.DrainTimeout, cancelRequests)
	defer timer.Stop()
	r.tasks.Wait()
}

// reportProgress starts calling OnProgress at intervals of ProgressEvery. The
// returned function stops the calls and waits for a running call to end.
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
				r.opts.OnProgress(r.accounting.progress())
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
