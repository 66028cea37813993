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

// Counters accounts for the work since the start.
type Counters struct {
	// Running and Waiting are as of now.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Held counts the streams that the engine still knows, over or not.
	Held int `json:"held"`
	// Started counts the requests that entered the batch.
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Cancelled int64 `json:"cancelled"`
	Crashed   int64 `json:"crashed"`
	// Refused counts the requests that did not begin.
	Refused int64 `json:"refused"`
	// Repeated counts the requests with an attempt id that was known.
	Repeated int64 `json:"repeated"`
	Resumed  int64 `json:"resumed"`
	Cut      int64 `json:"cut"`
	// Mismatched counts the continuations of a text that is not the prompt's
	// answer.
	Mismatched int64 `json:"mismatched"`
	// PrefillTokens and ComputedTokens count the prompts' and the answers'
	// tokens that were computed, CachedTokens the prompts' that were not.
	PrefillTokens  int64 `json:"prefillTokens"`
	CachedTokens   int64 `json:"cachedTokens"`
	ComputedTokens int64 `json:"computedTokens"`
	// DeliveredTokens counts the answers' tokens that were written to a
	// connection, each once.
	DeliveredTokens int64 `json:"deliveredTokens"`
}

// Server is the stand-in engine. It is an http.Handler, safe for concurrent
// use.
type Server struct {
	opts   Options
	mux    *http.ServeMux
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wake   chan struct{} // holds one signal that there is work
	loads  chan struct{} // holds one signal that there is something to load

	mu         sync.Mutex
	faults     engineapi.EngineFaults
	switched   chan struct{} // closed and replaced by SetFaults
	draining   bool
	arrivals   uint64
	streams    map[string]*stream // by attempt
	waiting    []*stream          // in the order of before
	running    []*stream
	step       []share
	cache      *prefixCache
	load       *lagged.History[engineapi.LoadReport]
	orders     orderTable
	counters   Counters
	runs       map[string]int
	promptRuns map[answer.Digest]int
}

// New returns a running engine.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Server{
		opts:       opts,
		mux:        http.NewServeMux(),
		ctx:        ctx,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		loads:      make(chan struct{}, 1),
		switched:   make(chan struct{}),
		streams:    make(map[string]*stream),
		cache:      newPrefixCache(opts),
		load:       lagged.New[engineapi.LoadReport](opts.ReportLag),
		orders:     newOrderTable(opts),
		runs:       make(map[string]int),
		promptRuns: make(map[answer.Digest]int),
	}
	e.sampleLoad()
	e.routes()
	e.tasks.Go(e.run)
	e.tasks.Go(e.runLoads)
	return e
}

func (e *Server) routes() {
	e.mux.HandleFunc("POST "+engineapi.PathCompletions, e.unfrozen(e.handleCompletion))
	e.mux.HandleFunc("GET "+engineapi.PathStreams+"{attempt}", e.unfrozen(e.handleResume))
	e.mux.HandleFunc("DELETE "+engineapi.PathStreams+"{attempt}", e.unfrozen(e.handleCancel))
	e.mux.HandleFunc("GET "+engineapi.PathLoad, e.unfrozen(e.handleLoad))
	e.mux.HandleFunc("GET "+engineapi.PathCache, e.unfrozen(e.handleCache))
	e.mux.HandleFunc("GET "+engineapi.PathOrders, e.unfrozen(e.handleOrderState))
	e.mux.HandleFunc("POST "+engineapi.PathOrders, e.unfrozen(e.handleOrder))
	e.mux.HandleFunc("POST "+engineapi.PathDrain, e.unfrozen(e.handleDrain))
	e.mux.HandleFunc("DELETE "+engineapi.PathDrain, e.unfrozen(e.handleUndrain))
	e.mux.HandleFunc("GET "+engineapi.PathHealth, e.unfrozen(e.handleHealth))
	e.mux.HandleFunc("GET "+engineapi.PathFaults, e.handleFaults)
	e.mux.HandleFunc("POST "+engineapi.PathFaults, e.handleSetFaults)
	e.mux.HandleFunc("GET "+PathCounters, e.handleCounters)
	e.mux.HandleFunc("GET "+PathCounters+"/{attempt}", e.handleRuns)
}

// ServeHTTP answers one call.
func (e *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Close drops all streams and ends the engine's goroutines.
func (e *Server) Close() {
	e.cancel()
	e.Crash()
	e.tasks.Wait()
}

// Crash drops all streams and their connections, as a restart would. The
// prefix cache is lost too.
func (e *Server) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.end(s, stateCrashed)
		e.forget(s)
	}
	seq := e.cache.seq
	e.cache = newPrefixCache(e.opts)
	e.cache.seq = seq
}

// Drain refuses new work from now on and finishes the rest.
func (e *Server) Drain() {
	e.setDraining(true)
}

func (e *Server) setDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
	e.sampleLoad()
}

// Faults returns the faults that are switched on.
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
	close(e.switched)
	e.switched = make(chan struct{})
}

// faultsAndSwitch returns the faults and a channel that closes when they
// change.
func (e *Server) faultsAndSwitch() (engineapi.EngineFaults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.switched
}

// Counters returns the account of the work so far.
func (e *Server) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.counters
	out.Running = len(e.running)
	out.Waiting = len(e.waiting)
	out.Held = len(e.streams)
	return out
}

// Runs returns how often the attempt entered the batch.
func (e *Server) Runs(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// PromptRuns returns how often the prompt entered the batch, continuations
// included.
func (e *Server) PromptRuns(digest answer.Digest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.promptRuns[digest]
}

// sampleLoad records the load for the reports. The caller holds the lock, or
// nobody else knows the engine yet.
func (e *Server) sampleLoad() {
	now := time.Now()
	context := 0
	for _, s := range e.running {
		context += s.job.promptTokens + s.computed
	}
	report := engineapi.LoadReport{
		SampledAt: now,
		Running:   len(e.running),
		Waiting:   len(e.waiting),
		Draining:  e.draining,
	}
	if e.opts.CacheTokens > 0 {
		report.KVUsed = min(1, float64(e.cache.used+context)/float64(e.opts.CacheTokens))
	}
	e.load.Add(now, report)
}

// enqueue puts a new stream in the queue. The caller holds the lock.
func (e *Server) enqueue(j *job) *stream {
	e.arrivals++
	if j.attempt == "" {
		j.attempt = "unnamed-" + strconv.FormatUint(e.arrivals, 10)
	}
	s := newStream(j, e.arrivals)
	e.streams[j.attempt] = s
	at, _ := slices.BinarySearchFunc(e.waiting, s, (*stream).before)
	e.waiting = slices.Insert(e.waiting, at, s)
	if j.mismatch {
		e.counters.Mismatched++
	}
	e.sampleLoad()
	signal(e.wake)
	return s
}

// signal leaves a signal unless there is one already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
