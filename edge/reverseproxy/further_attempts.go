package reverseproxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"bergamotpin.example/bergamotpin/edge/hedging"
	"bergamotpin.example/bergamotpin/outcome"
)

// furtherAttempts sends a request to further servers while the server of the current
// attempt is silent, or slow for a request of its kind. The current attempt stays open
// meanwhile, because no other server may be able to go on with the request. The first further
// attempt with a usable response takes the current attempt's place.
//
// Its methods are for the goroutine that serves the request. From watch to the next call
// of spoke or failed, that goroutine does nothing but wait for the current server: the
// forwarder then belongs to the goroutine of the timer.
type furtherAttempts struct {
	f   *forwarder
	ctx context.Context
	// current is the attempt that is watched, or nil. It was last heard of at lastHeard.
	current   *sending
	lastHeard time.Time
	patience  time.Duration
	// hedgeAfter is when to ask for the first time whether to make a second attempt because
	// the current server is slow; 0 means never.
	hedgeAfter time.Duration
	timer      *time.Timer
	// news tells the goroutine of the timer what became of the current attempt. result
	// gets one value at the end of that goroutine: the attempt that goes on, or nil.
	news   chan currentNews
	result chan *sending
}

// currentNews says what became of the current attempt while further ones were made.
type currentNews uint8

const (
	currentSpoke currentNews = iota + 1
	currentFailed
)

// watch begins further attempts unless spoke or failed is called within patience. Before
// that, it may begin a second one from hedgeAfter on, unless this is 0. It does nothing if the
// request may not run at another server.
func (o *furtherAttempts) watch(current *sending, patience, hedgeAfter time.Duration) {
	if !o.f.request.mayRunBeside(current) {
		return
	}
	o.current, o.lastHeard, o.patience, o.hedgeAfter = current, time.Now(), patience, hedgeAfter
	wait := patience
	if hedgeAfter > 0 {
		wait = min(hedgeAfter, patience)
	}
	if o.timer != nil {
		o.timer.Reset(wait)
		return
	}
	o.news, o.result = make(chan currentNews, 1), make(chan *sending, 1)
	o.timer = time.AfterFunc(wait, func() { o.result <- o.run() })
}

// spoke ends the further attempts, because the current server has spoken. If one of them
// has already taken the current attempt's place, spoke returns it.
func (o *furtherAttempts) spoke() *sending { return o.stop(currentSpoke) }

// failed waits for the further attempts, because the current one has failed. It returns
// the one that goes on, or nil if there is none.
func (o *furtherAttempts) failed() *sending { return o.stop(currentFailed) }

func (o *furtherAttempts) stop(n currentNews) *sending {
	if o.current == nil {
		return nil
	}
	defer func() { o.current = nil }()
	if o.timer.Stop() {
		return nil
	}
	o.news <- n
	winner := <-o.result
	select {
	case <-o.news:
		// The goroutine of the timer ended before it got the news.
	default:
	}
	// The race may have looked the request up in a newer configuration.
	if winner != nil {
		o.f.request.binding = winner.binding
	} else {
		o.f.request.binding = o.current.binding
	}
	return winner
}

// run makes further attempts, one after each patience and one before if the current server is
// slow, until one of them goes on with the request, the current server speaks, or no attempt
// is open.
func (o *furtherAttempts) run() *sending {
	r := &race{furtherAttempts: o, currentOpen: 1, answered: make(chan *sending)}
	timer := time.NewTimer(r.step())
	defer timer.Stop()
	for len(r.open) > 0 || r.currentOpen > 0 {
		select {
		case <-o.ctx.Done():
			r.cancelAll(r.end)
			return nil
		case n := <-o.news:
			if n == currentSpoke {
				r.cancelAll(r.lose)
				return nil
			}
			r.currentOpen = 0
		case s := <-r.answered:
			delete(r.open, s)
			if !o.f.isUsable(s) {
				r.settle(s)
				continue
			}
			r.win(s)
			return s
		case <-timer.C:
			timer.Reset(r.step())
		}
	}
	return nil
}

// race is the state of one call of furtherAttempts.run.
type race struct {
	*furtherAttempts
	// open are the further attempts without a response or an error. currentOpen is 1
	// until the current attempt has failed, then 0.
	open        map[*sending]bool
	currentOpen int
	answered    chan *sending
	// asked is set once it was asked whether to make a second attempt, and hedged once one
	// was made or is out of the question.
	asked, hedged bool
}

// step makes a further attempt if it is time for one. It returns when to call it again.
func (r *race) step() time.Duration {
	silent := time.Since(r.lastHeard)
	if silent >= r.patience {
		r.begin()
		return r.patience
	}
	wait := r.patience - silent
	if r.hedged || r.hedgeAfter == 0 {
		return wait
	}
	return min(r.hedge(silent), wait)
}

// begin makes a further attempt if the route, the retry budget and the servers allow it.
func (r *race) begin() {
	req, h := r.f.request, r.f.handler
	if !r.mayBegin() {
		return
	}
	s, refused := r.f.newSending(r.ctx, h.Selector.BeginFurtherAttempt, r.openAttempts())
	if refused != nil {
		return
	}
	h.PeerRelay.Reach.Suspect()
	h.Metrics.CountRetry(outcome.ServerTimeout)
	h.Failures.Info("silent", "request", req.id, "server", r.current.attempt.Server.ID,
		"silent_ms", time.Since(r.lastHeard).Milliseconds(), "second", s.attempt.Server.ID)
	r.send(s)
}

// mayBegin reports whether the route of the current attempt allows one more beside those that are
// open. The route of the next one is asked directly before its send.
func (r *race) mayBegin() bool {
	return r.f.request.mayRunBy(r.current.binding.route, r.openAttempts()...)
}

// openAttempts returns the open attempts. The current one counts even after it has failed: its
// server may have run the request.
func (r *race) openAttempts() []*sending {
	return append(slices.Collect(maps.Keys(r.open)), r.current)
}

// send sends a further attempt, whose answer comes over answered.
func (r *race) send(s *sending) {
	if r.open == nil {
		r.open = make(map[*sending]bool)
	}
	r.open[s] = true
	h := r.f.handler
	go func() {
		s.send(h)
		r.answered <- s
	}()
}

// win lets a further attempt take the current one's place.
func (r *race) win(s *sending) {
	if r.currentOpen > 0 {
		r.outrun(s)
		r.current.leave()
	}
	r.recordSecond(s, hedging.Won)
	r.cancelAll(r.lose)
	r.f.handler.Failures.Info("goes on at another server", "request", r.f.request.id, "server", s.attempt.Server.ID,
		"left", r.current.attempt.Server.ID, "silent_ms", time.Since(r.lastHeard).Milliseconds())
}

// settle ends and records a further attempt that failed. It doesn't wait for long for the
// body of a server error, since the current server may speak meanwhile.
func (r *race) settle(s *sending) {
	r.recordSecond(s, hedging.Failed)
	if s.response != nil {
		// After an error, reading the body fails too.
		_ = s.response.SetReadDeadline(time.Now().Add(refusalReadTimeout))
	}
	failed := r.f.unusable(s)
	r.f.checkAfter(s, failed)
	r.f.end(s, r.f.attemptResult(failed))
	r.f.recordFailure(s, failed)
}

// end ends a further attempt when the request's time is over or its caller has left.
func (r *race) end(s *sending) {
	r.recordSecond(s, hedging.Lost)
	if r.f.isUsable(s) {
		r.f.endUnneeded(s)
		return
	}
	r.settle(s)
}

// cancelAll cancels the open attempts, waits for their goroutines and calls end for each.
func (r *race) cancelAll(end func(*sending)) {
	for s := range r.open {
		s.cancel()
	}
	for range len(r.open) {
		end(<-r.answered)
	}
	r.open = nil
}
