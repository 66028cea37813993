package service

import (
	"context"
	"encoding/hex"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// HeaderIdempotencyKey is the request header with a call's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// PathCounters is the URL path of the counters. The paths for faults, drain and
// health are those of engineapi.
const PathCounters = "/counters"

// maxBodyBytes is the largest size of a request body.
const maxBodyBytes = 8 << 20

// DefaultLatency is the duration of a run if Options.Latency is 0.
const DefaultLatency = 20 * time.Millisecond

// Options configures a stand-in service.
type Options struct {
	// Name is the service's name in responses.
	Name string
	// Latency is the duration of a run. 0 means DefaultLatency. A negative
	// value means that a run takes no time.
	Latency time.Duration
	// MaxRunning is the largest number of concurrent runs. Calls beyond it are
	// refused. 0 means no limit.
	MaxRunning int
	// Seed is the seed of the random numbers that choose the calls with faults.
	Seed uint64
}

// Faults configures the faults that the service injects. Fractions are from 0
// to 1.
type Faults struct {
	// Refuse is the fraction of calls that are refused before they start.
	Refuse float64 `json:"refuse"`
	// CrashBeforeRun is the fraction of calls whose connection is dropped
	// before the run.
	CrashBeforeRun float64 `json:"crashBeforeRun"`
	// CrashAfterRun is the fraction of calls whose connection is dropped after
	// the run.
	CrashAfterRun float64 `json:"crashAfterRun"`
	// Slowdown multiplies the latency. 0 means 1.
	Slowdown float64 `json:"slowdown"`
}

// Counters counts the calls since the service was created.
type Counters struct {
	// Running is the current number of runs.
	Running int `json:"running"`
	// Runs counts all runs, including calls without an idempotency key.
	Runs    int64 `json:"runs"`
	Refused int64 `json:"refused"`
	// CrashedBefore and CrashedAfter count the calls whose connection was
	// dropped before and after the run.
	CrashedBefore int64 `json:"crashedBefore"`
	CrashedAfter  int64 `json:"crashedAfter"`
	// RepeatedKeys is the number of idempotency keys with more than one run.
	RepeatedKeys int64 `json:"repeatedKeys"`
	// ByKey is the number of runs of each idempotency key.
	ByKey map[string]int `json:"byKey"`
}

// Response is the response body of a call.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Run is the number of runs of the key so far, including this run.
	Run int `json:"run"`
	// Digest is the digest of the request body, see DigestOf.
	Digest string `json:"digest"`
}

// DigestOf returns the digest of a request body, as in Response.Digest.
func DigestOf(body []byte) string {
	hash := fnv.New64a()
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Server is the stand-in service. It is an http.Handler and safe for concurrent
// use.
type Server struct {
	opts   Options
	mux    *http.ServeMux
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex // guards the fields below
	faults   Faults
	draining bool
	counters Counters
	random   *rand.Rand
}

// New returns a stand-in service. The caller must close the service.
func New(opts Options) *Server {
	if opts.Latency == 0 {
		opts.Latency = DefaultLatency
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		opts:     opts,
		mux:      http.NewServeMux(),
		ctx:      ctx,
		cancel:   cancel,
		counters: Counters{ByKey: make(map[string]int)},
		random:   rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	s.mux.HandleFunc("POST /", s.handleCall)
	s.mux.HandleFunc("GET "+PathCounters, s.handleCounters)
	s.mux.HandleFunc("GET "+engineapi.PathFaults, s.handleGetFaults)
	s.mux.HandleFunc("POST "+engineapi.PathFaults, s.handleSetFaults)
	s.mux.HandleFunc("POST "+engineapi.PathDrain, s.handleDrain(true))
	s.mux.HandleFunc("DELETE "+engineapi.PathDrain, s.handleDrain(false))
	s.mux.HandleFunc("GET "+engineapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	return s
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close drops the connections of the running calls.
func (s *Server) Close() { s.cancel() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Drain makes the service refuse new calls. Running calls are finished.
func (s *Server) Drain() { s.setDraining(true) }

func (s *Server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Counters returns a copy of the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.ByKey = maps.Clone(out.ByKey)
	return out
}

// Runs returns how often a key has run.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.ByKey[key]
}

// callPlan says which faults apply to a call and how long the call runs.
type callPlan struct {
	refuse, crashBefore, crashAfter bool
	latency                         time.Duration
}

// planCall decides what to do with a new call. It counts the call as refused,
// as crashed before the run, or as running.
func (s *Server) planCall() callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	atLimit := s.opts.MaxRunning > 0 && s.counters.Running >= s.opts.MaxRunning
	out := callPlan{
		refuse:      s.draining || atLimit || s.faultOccurs(s.faults.Refuse),
		crashBefore: s.faultOccurs(s.faults.CrashBeforeRun),
		crashAfter:  s.faultOccurs(s.faults.CrashAfterRun),
		latency:     s.opts.Latency,
	}
	if s.faults.Slowdown > 0 {
		out.latency = time.Duration(float64(out.latency) * s.faults.Slowdown)
	}
	switch {
	case out.refuse:
		s.counters.Refused++
	case out.crashBefore:
		s.counters.CrashedBefore++
	default:
		s.counters.Running++
	}
	return out
}

// faultOccurs decides at random whether a fault applies to a call. fraction is
// the fraction of calls with the fault. The caller holds the lock.
func (s *Server) faultOccurs(fraction float64) bool {
	return fraction > 0 && s.random.Float64() < fraction
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := jsonhttp.ReadBody(r, maxBodyBytes)
	if err != nil {
		w.Header().Set(engineapi.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	plan := s.planCall()
	if plan.refuse {
		w.Header().Set(engineapi.HeaderNotStarted, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if plan.crashBefore {
		jsonhttp.DropConnection()
	}
	out := Response{
		Service: s.opts.Name,
		Path:    r.URL.Path,
		Key:     r.Header.Get(HeaderIdempotencyKey),
		Digest:  DigestOf(body),
	}
	out.Run = s.startRun(out.Key)
	jsonhttp.Wait(plan.latency, nil, s.ctx.Done())
	s.endRun(plan)
	if plan.crashAfter || s.ctx.Err() != nil {
		jsonhttp.DropConnection()
	}
	jsonhttp.WriteJSON(w, http.StatusOK, out)
}

// startRun counts a run of the key. It returns the number of runs of the key so
// far, or 1 for a call without a key.
func (s *Server) startRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Runs++
	if key == "" {
		return 1
	}
	s.counters.ByKey[key]++
	if s.counters.ByKey[key] == 2 {
		s.counters.RepeatedKeys++
	}
	return s.counters.ByKey[key]
}

// endRun counts the end of a run.
func (s *Server) endRun(plan callPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Running--
	if plan.crashAfter {
		s.counters.CrashedAfter++
	}
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Counters())
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := jsonhttp.DecodeJSON(r, maxBodyBytes, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	jsonhttp.WriteJSON(w, http.StatusOK, f)
}

func (s *Server) handleDrain(draining bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.setDraining(draining)
		jsonhttp.WriteJSON(w, http.StatusOK, s.Counters())
	}
}
