package reverseproxy

import (
	"context"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// maxCrashChecks bounds the servers that are checked at once, and maxCheckedRequests
	// the requests that wait for the check of one server.
	maxCrashChecks     = 64
	maxCheckedRequests = 64
	// crashCheckTimeout bounds one check, which ends earlier unless the network is broken.
	crashCheckTimeout = time.Second
)

// crashCheckDelays are the pauses before each look at a server's port. The port of a
// server that ends may close a little later than its connections. A server that starts
// again needs longer than all of them.
var crashCheckDelays = [...]time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// checkedRequest is a request whose connection ended.
type checkedRequest struct {
	id string
	// keys are the request's guardKeys.
	keys []uint64
	// answered is set if its answer may be whole: it had no length, so a server that ends
	// looks the same.
	answered bool
}

// crashChecks finds out whether a server whose connections ended has itself ended. Checks
// run beside the requests, so no caller waits for them. They are safe for concurrent use.
type crashChecks struct {
	handler *Handler
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu sync.Mutex
	// waiting holds the requests that wait for the running check of a server, by the
	// server's connection key. It is nil once the checks were closed.
	waiting map[string][]checkedRequest
}

func newCrashChecks(h *Handler) *crashChecks {
	ctx, cancel := context.WithCancel(context.Background())
	return &crashChecks{handler: h, ctx: ctx, cancel: cancel, waiting: make(map[string][]checkedRequest)}
}

// close cancels the running checks and waits for them.
func (c *crashChecks) close() {
	c.mu.Lock()
	c.waiting = nil
	c.mu.Unlock()
	c.cancel()
	c.tasks.Wait()
}

// begin has a request wait for the check of its server. It starts the check if none runs.
func (c *crashChecks) begin(server catalog.BackendServer, target backendclient.Server, r checkedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, running := c.waiting[target.Key]
	switch {
	case c.waiting == nil:
		return
	case running && len(waiting) < maxCheckedRequests:
		c.waiting[target.Key] = append(waiting, r)
		return
	case running || len(c.waiting) >= maxCrashChecks:
		c.handler.Failures.Warn("crash check left out", "request", r.id, "server", server.ID, "checks", len(c.waiting))
		return
	}
	c.waiting[target.Key] = []checkedRequest{r}
	c.tasks.Go(func() { c.check(server, target) })
}

// check looks at the server's port and records the result for the waiting requests. Those
// that come during the looks wait for further ones.
func (c *crashChecks) check(server catalog.BackendServer, target backendclient.Server) {
	for {
		requests := c.takeWaiting(target.Key)
		if len(requests) == 0 {
			return
		}
		c.checkFor(server, target, requests)
	}
}

// takeWaiting returns the requests that wait for a check of the server. If there are none,
// the server's next request starts a new check.
func (c *crashChecks) takeWaiting(key string) []checkedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.waiting[key]
	if len(requests) == 0 {
		delete(c.waiting, key)
		return nil
	}
	c.waiting[key] = nil
	return requests
}

// checkFor looks at the server's port for some requests.
func (c *crashChecks) checkFor(server catalog.BackendServer, target backendclient.Server, requests []checkedRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	listening, known := c.look(ctx, target)
	if !known {
		return
	}
	now := time.Now()
	if !listening {
		c.recordCrash(server, requests, now)
		return
	}
	for _, r := range requests {
		if r.answered {
			c.handler.Crashes.RecordAnswered(r.keys, now)
		}
	}
}

// look reports whether the server still listened at the last look, and whether that is
// known.
func (c *crashChecks) look(ctx context.Context, target backendclient.Server) (listening, known bool) {
	for _, delay := range crashCheckDelays {
		select {
		case <-ctx.Done():
			return false, false
		case <-time.After(delay):
		}
		if listening, known = c.handler.Client.Listens(ctx, target); known && !listening {
			break
		}
	}
	return listening, known
}

// recordCrash records the end of a server with the parts of the requests that it held.
func (c *crashChecks) recordCrash(server catalog.BackendServer, requests []checkedRequest, now time.Time) {
	key := balancer.ServerKey(server)
	current := c.handler.Catalog.Snapshot().Servers[server.ID]
	for _, r := range requests {
		if r.answered && current.Leaving {
			// The server was to end after its last answers, of which this was one.
			continue
		}
		suspects := c.handler.Crashes.RecordCrash(key, r.keys, now)
		c.handler.Failures.Warn("server ended under request", "request", r.id, "server", server.ID, "data_centre", server.DataCentre,
			"suspects", suspectNames(suspects))
	}
}

// recordAnswered records that the request was answered, and so the parts of its prompt. delimited
// is false if only the end of the connection marked the end of the answer.
func (f *forwarder) recordAnswered(a *balancer.Attempt, delimited bool) {
	req := f.request
	now := time.Now()
	if delimited {
		f.handler.Crashes.RecordAnswered(req.guardKeys, now)
		return
	}
	if f.handler.Crashes.AllAnswered(req.sharedBlocks, now) && !f.handler.Crashes.Suspected([]uint64{req.key}, now) {
		// That a request was answered is of use only if a server ended under it.
		return
	}
	f.checkServer(a.Server, f.handler.connectionTarget(f.request, a), true)
}

// checkAfter has the server of a failed attempt checked if its connection broke. It is called
// before anything else is waited for, since a server that ended may start again soon.
func (f *forwarder) checkAfter(s *sending, failed failure) {
	if failed.reason == outcome.StreamCut && failed.mayHaveRun && f.callerCtx.Err() == nil {
		f.checkServer(s.attempt.Server, s.target, false)
	}
}

// checkServer has a check find out whether a server ended, if that would tell something about
// the request or the parts of its prompt. It uses nothing of the request that further attempts change.
func (f *forwarder) checkServer(server catalog.BackendServer, target backendclient.Server, answered bool) {
	req := f.request
	if f.handler.Crashes.AllAnswered(req.guardKeys, time.Now()) {
		return
	}
	f.handler.crashes.begin(server, target, checkedRequest{id: req.id, keys: req.guardKeys, answered: answered})
}

// refuseWithheld refuses a request under which servers ended, or whose prompt holds such a
// part. A request that passes may be a try of it. If it then reaches no server, returnTry
// must be called.
func (h *Handler) refuseWithheld(req *request) *refusal {
	req.passedGuardAt = time.Now()
	part, withheld := h.Crashes.Withheld(req.guardKeys, req.passedGuardAt)
	if !withheld {
		return nil
	}
	reason := outcome.PromptWithheld
	if crashguard.IsRequest(part.Key) {
		reason = outcome.RequestWithheld
	}
	refused := refuseNotRun(reason, part.For)
	refused.suspect = &part.Suspect
	return refused
}

// returnTry takes back the try of a withheld part, if the request was one.
func (h *Handler) returnTry(req *request) { h.Crashes.ReturnTry(req.guardKeys, req.passedGuardAt) }
