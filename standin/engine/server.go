package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/answer"
	"bergamotpin.example/bergamotpin/standin/lagged"
)

// Counters counts the engine's work since it was created.
type Counters struct {
	// Running and Waiting are the current numbers of running and queued
	// requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KnownStreams is the current number of streams that a caller can resume or
	// cancel. Some of them may have ended.
	KnownStreams int `json:"held"`
	// Started counts the requests that entered the batch.
	Started int64 `json:"started"`
	// Completed, Cancelled and Crashed count the streams by how they ended.
	Completed int64 `json:"completed"`
	Cancelled int64 `json:"cancelled"`
	Crashed   int64 `json:"crashed"`
	// Refused counts the requests that were refused before they started.
	Refused int64 `json:"refused"`
	// KnownAttempts counts the requests that were refused because an earlier
	// request had the same attempt id.
	KnownAttempts int64 `json:"repeated"`
	// Resumed counts the requests that resumed a stream. Cut counts the
	// connections that the fault CutAfterTokens dropped.
	Resumed int64 `json:"resumed"`
	Cut     int64 `json:"cut"`
	// Mismatched counts the requests to continue an answer whose given text is
	// not the beginning of the prompt's answer.
	Mismatched int64 `json:"mismatched"`
	// PrefillTokens counts the computed prompt tokens. CachedTokens counts the
	// prompt tokens found in the prefix cache. ComputedTokens counts the
	// computed tokens of answers.
	PrefillTokens  int64 `json:"prefillTokens"`
	CachedTokens   int64 `json:"cachedTokens"`
	ComputedTokens int64 `json:"computedTokens"`
	// DeliveredTokens counts the tokens of answers that were written to a
	// connection. A token that was sent twice counts once.
	DeliveredTokens int64 `json:"deliveredTokens"`
}

// Server is the stand-in engine. It is an http.Handler and safe for concurrent
// use.
type Server struct {
	opts       Options
	mux        *http.ServeMux
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	workSignal chan struct{} // buffered signal that a request was queued
	loadSignal chan struct{} // buffered signal that a load is pending

	mu            sync.Mutex // guards the fields below
	faults        engineapi.EngineFaults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	draining      bool
	arrivalCount  uint64             // number of accepted requests
	streams       map[string]*stream // by attempt id; the streams that can be resumed or cancelled
	waiting       []*stream          // sorted by compareQueueOrder
	running       []*stream
	stepShares    []stepShare // of the current step
	cache         *prefixCache
	loadHistory   *lagged.History[engineapi.LoadReport]
	orders        orderState
	counters      Counters
	attemptRuns   map[string]int              // number of runs by attempt id
	promptRuns    map[answer.PromptDigest]int // number of runs by prompt
}

// New returns a running stand-in engine. The caller must close the engine.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Server{
		opts:          opts,
		mux:           http.NewServeMux(),
		ctx:           ctx,
		cancel:        cancel,
		workSignal:    make(chan struct{}, 1),
		loadSignal:    make(chan struct{}, 1),
		faultsChanged: make(chan struct{}),
		streams:       make(map[string]*stream),
		cache:         newPrefixCache(opts),
		loadHistory:   lagged.New[engineapi.LoadReport](opts.ReportLag),
		orders:        newOrderState(opts),
		attemptRuns:   make(map[string]int),
		promptRuns:    make(map[answer.PromptDigest]int),
	}
	e.sampleLoad()
	e.registerRoutes()
	e.tasks.Go(e.runBatch)
	e.tasks.Go(e.runLoader)
	return e
}

func (e *Server) registerRoutes() {
	e.mux.HandleFunc("POST "+engineapi.PathCompletions, e.holdWhileFrozen(e.handleCompletion))
	e.mux.HandleFunc("GET "+engineapi.PathStreams+"{attempt}", e.holdWhileFrozen(e.handleResume))
	e.mux.HandleFunc("DELETE "+engineapi.PathStreams+"{attempt}", e.holdWhileFrozen(e.handleCancel))
	e.mux.HandleFunc("GET "+engineapi.PathLoad, e.holdWhileFrozen(e.handleLoad))
	e.mux.HandleFunc("GET "+engineapi.PathCacheEvents, e.holdWhileFrozen(e.handleCache))
	e.mux.HandleFunc("GET "+engineapi.PathOrders, e.holdWhileFrozen(e.handleOrderState))
	e.mux.HandleFunc("POST "+engineapi.PathOrders, e.holdWhileFrozen(e.handleOrder))
	e.mux.HandleFunc("POST "+engineapi.PathDrain, e.holdWhileFrozen(e.handleDrain))
	e.mux.HandleFunc("DELETE "+engineapi.PathDrain, e.holdWhileFrozen(e.handleCancelDrain))
	e.mux.HandleFunc("GET "+engineapi.PathHealth, e.holdWhileFrozen(e.handleHealth))
	e.mux.HandleFunc("GET "+engineapi.PathFaults, e.handleGetFaults)
	e.mux.HandleFunc("POST "+engineapi.PathFaults, e.handleSetFaults)
	e.mux.HandleFunc("GET "+PathCounters, e.handleCounters)
	e.mux.HandleFunc("GET "+PathCounters+"/{attempt}", e.handleRuns)
}

// ServeHTTP handles one call.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Close drops all streams and waits until the engine's goroutines have ended.
func (e *Server) Close() {
	e.cancel()
	e.Crash()
	e.tasks.Wait()
}

// Crash drops all streams, their connections and the prefix cache, as a restart
// would. The numbers of cache events don't start again.
func (e *Server) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.endStream(s, stateCrashed)
		e.forgetStream(s)
	}
	seq := e.cache.seq
	e.cache = newPrefixCache(e.opts)
	e.cache.seq = seq
}

// Drain makes the engine refuse new requests. Accepted requests are finished.
func (e *Server) Drain() {
	e.setDraining(true)
}

func (e *Server) setDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
	e.sampleLoad()
}

// Faults returns the current faults.
func (e *Server) Faults() engineapi.EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Server) SetFaults(f engineapi.EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// currentFaults returns the faults and a channel that is closed at their next
// change.
func (e *Server) currentFaults() (engineapi.EngineFaults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsChanged
}

// Counters returns the current counters.
func (e *Server) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counters
	out.Running = len(e.running)
	out.Waiting = len(e.waiting)
	out.KnownStreams = len(e.streams)
	return out
}

// Runs returns how often an attempt entered the batch.
func (e *Server) Runs(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attemptRuns[attempt]
}

// PromptRuns returns how often a prompt entered the batch. Requests that continue
// an answer to the prompt are included.
func (e *Server) PromptRuns(digest answer.PromptDigest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promptRuns[digest]
}

// sampleLoad records the current load for later load reports. The caller holds
// the lock. New calls it without the lock, before the engine is shared.
func (e *Server) sampleLoad() {
	now := time.Now()
	contextTokens := 0
	for _, s := range e.running {
		contextTokens += s.job.promptTokens + s.computedTokens
	}
	report := engineapi.LoadReport{
		SampledAt: now,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		Draining:  e.draining,
	}
	if e.opts.CacheTokens > 0 {
		report.KVUsed = min(1, float64(e.cache.usedTokens+contextTokens)/float64(e.opts.CacheTokens))
	}
	e.loadHistory.Add(now, report)
}

// enqueue creates a stream for the job and adds it to the queue. The caller
// holds the lock.
func (e *Server) enqueue(j *job) *stream {
	e.arrivalCount++
	if j.attempt == "" {
		j.attempt = "unnamed-" + strconv.FormatUint(e.arrivalCount, 10)
	}
	s := newStream(j, e.arrivalCount)
	e.streams[j.attempt] = s
	at, _ := slices.BinarySearchFunc(e.waiting, s, (*stream).compareQueueOrder)
	e.waiting = slices.Insert(e.waiting, at, s)
	if j.mismatched {
		e.counters.Mismatched++
	}
	e.sampleLoad()
	notify(e.workSignal)
	return s
}

// notify sends a signal to a buffered channel, unless the channel already contains
// a signal.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
