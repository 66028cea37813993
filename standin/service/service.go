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

// HeaderIdempotencyKey carries a call's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// PathCounters is the stand-in's own path, beside engineapi's paths for
// faults, drain and health.
const PathCounters = "/counters"

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 8 << 20

// DefaultLatency is the time of a run if Options names none.
const DefaultLatency = 20 * time.Millisecond

// Options sets up a stand-in service.
type Options struct {
	// Name is part of the answers.
	Name string
	// Latency is the time of a run. Zero means DefaultLatency, negative none.
	Latency time.Duration
	// MaxRunning bounds the runs at a time; further calls are refused. Zero
	// means no bound.
	MaxRunning int
	// Seed feeds the choice of the calls that faults strike.
	Seed uint64
}

// Faults switches the faults. Shares are from 0 to 1.
type Faults struct {
	// Refuse is the share of calls refused before they start.
	Refuse float64 `json:"refuse"`
	// CrashBeforeRun is the share of calls whose connection is dropped before
	// they start.
	CrashBeforeRun float64 `json:"crashBeforeRun"`
	// CrashAfterRun is the share of calls whose connection is dropped after
	// they ran.
	CrashAfterRun float64 `json:"crashAfterRun"`
	// Slowdown multiplies the latency. Zero means 1.
	Slowdown float64 `json:"slowdown"`
}

// Counters tells what happened since the start.
type Counters struct {
	Running       int   `json:"running"`
	Runs          int64 `json:"runs"`
	Refused       int64 `json:"refused"`
	CrashedBefore int64 `json:"crashedBefore"`
	CrashedAfter  int64 `json:"crashedAfter"`
	// RepeatedKeys counts the keys that ran more than once.
	RepeatedKeys int64 `json:"repeatedKeys"`
	// ByKey counts the runs of each idempotency key.
	ByKey map[string]int `json:"byKey"`
}

// Answer is the body of a call's answer.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	// Run is the number of this run among those of the key.
	Run int `json:"run"`
	// Digest is DigestOf the request's body.
	Digest string `json:"digest"`
}

// DigestOf returns the digest that the answer to a body carries.
func DigestOf(body []byte) string {
	hash := fnv.New64a()
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Server is the stand-in service. It is an http.Handler, safe for concurrent
// use.
type Server struct {
	opts   Options
	mux    *http.ServeMux
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	faults   Faults
	draining bool
	counters Counters
	random   *rand.Rand
}

// New returns a service.
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
	s.mux.HandleFunc("GET "+engineapi.PathFaults, s.handleFaults)
	s.mux.HandleFunc("POST "+engineapi.PathFaults, s.handleSetFaults)
	s.mux.HandleFunc("POST "+engineapi.PathDrain, s.handleDrain(true))
	s.mux.HandleFunc("DELETE "+engineapi.PathDrain, s.handleDrain(false))
	s.mux.HandleFunc("GET "+engineapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	return s
}

// ServeHTTP answers one call.
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

// Faults returns the faults that are switched on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Drain refuses new calls from now on and finishes the rest.
func (s *Server) Drain() { s.setDraining(true) }

func (s *Server) setDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// Counters returns what happened so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.ByKey = maps.Clone(out.ByKey)
	return out
}

// Runs returns how often the key ran.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters.ByKey[key]
}

// fate is what the faults have in store for a call.
type fate struct {
	refuse, crashBefore, crashAfter bool
	latency                         time.Duration
}

// draw decides a call's fate and counts it.
func (s *Server) draw() fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.opts.MaxRunning > 0 && s.counters.Running >= s.opts.MaxRunning
	out := fate{
		refuse:      s.draining || full || s.strikes(s.faults.Refuse),
		crashBefore: s.strikes(s.faults.CrashBeforeRun),
		crashAfter:  s.strikes(s.faults.CrashAfterRun),
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

// strikes reports whether a fault of that share strikes. The caller holds the
// lock.
func (s *Server) strikes(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := jsonhttp.ReadBody(r, maxBodyBytes)
	if err != nil {
		w.Header().Set(engineapi.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fate := s.draw()
	if fate.refuse {
		w.Header().Set(engineapi.HeaderNotStarted, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if fate.crashBefore {
		jsonhttp.DropConnection()
	}
	out := Answer{
		Service: s.opts.Name,
		Path:    r.URL.Path,
		Key:     r.Header.Get(HeaderIdempotencyKey),
		Digest:  DigestOf(body),
	}
	out.Run = s.run(out.Key)
	jsonhttp.Wait(fate.latency, nil, s.ctx.Done())
	s.finish(fate)
	if fate.crashAfter || s.ctx.Err() != nil {
		jsonhttp.DropConnection()
	}
	jsonhttp.WriteJSON(w, http.StatusOK, out)
}

// run counts a run of the key and returns its number.
func (s *Server) run(key string) int {
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

func (s *Server) finish(fate fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Running--
	if fate.crashAfter {
		s.counters.CrashedAfter++
	}
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Counters())
}

func (s *Server) handleFaults(w http.ResponseWriter, _ *http.Request) {
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
