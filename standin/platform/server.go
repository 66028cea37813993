package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// PathFaults and PathCounters are the stand-in's own paths.
const (
	PathFaults   = "/faults"
	PathCounters = "/counters"
)

// Counters tells the calls since the start. Refused calls count too.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// WatchSeconds counts the reads charged to waiting watches.
	WatchSeconds int64 `json:"watchSeconds"`
	// OpenWatches is the number of watches open now.
	OpenWatches int64 `json:"openWatches"`
	Limited     int64 `json:"limited"`
	Unavailable int64 `json:"unavailable"`
	// LostConfirmations counts the writes whose answer was dropped.
	LostConfirmations int64 `json:"lostConfirmations"`
	// Revision is the version of the last write.
	Revision int64 `json:"revision"`
}

// Server is the stand-in platform. It is an http.Handler, safe for concurrent
// use.
type Server struct {
	opts      Options
	store     *store
	instances *instances
	mux       *http.ServeMux
	reads     *rate.Limiter
	writes    *rate.Limiter

	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	faults   Faults
	switched chan struct{} // closed and replaced by SetFaults
	counters Counters
	random   *rand.Rand
}

// New returns a platform without objects.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:      opts,
		store:     newStore(opts.History),
		instances: newInstances(opts.InstanceTTL),
		mux:       http.NewServeMux(),
		reads:     limiter(opts.ReadsPerSecond),
		writes:    limiter(opts.WritesPerSecond),
		closed:    make(chan struct{}),
		switched:  make(chan struct{}),
		random:    rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	s.routes()
	return s
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /objects/{kind}", s.read(s.handleList))
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.read(s.handleGet))
	s.mux.HandleFunc("POST /objects/{kind}/{name}", s.write(s.handleCreate))
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.write(s.handleUpdate))
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.write(s.handleDelete))
	s.mux.HandleFunc("GET /watch", s.handleWatch)
	s.mux.HandleFunc("GET /instances", s.read(s.handleInstances))
	s.mux.HandleFunc("PUT /instances/{name}", s.write(s.handleRegister))
	s.mux.HandleFunc("DELETE /instances/{name}", s.write(s.handleUnregister))
	s.mux.HandleFunc("GET "+PathCounters, s.handleCounters)
	s.mux.HandleFunc("GET "+PathFaults, s.handleGetFaults)
	s.mux.HandleFunc("POST "+PathFaults, s.handleSetFaults)
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends the open watches and the hanging calls.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
}

// Faults returns the faults that are switched on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.switched)
	s.switched = make(chan struct{})
}

// faultsAndSwitch returns the faults and a channel that closes when they
// change.
func (s *Server) faultsAndSwitch() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.switched
}

// Counters returns the calls so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.Revision = s.store.currentRevision()
	return out
}

func (s *Server) count(add func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counters)
}

func (s *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Counters())
}

func (s *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := jsonhttp.DecodeJSON(r, api.MaxObjectBytes, &f); err != nil {
		fail(w, http.StatusBadRequest, api.CodeInvalid, err.Error())
		return
	}
	s.SetFaults(f)
	jsonhttp.WriteJSON(w, http.StatusOK, f)
}

// fail answers with an api.Error.
func fail(w http.ResponseWriter, status int, code, message string) {
	jsonhttp.WriteJSON(w, status, api.Error{Code: code, Message: message})
}

// retryAfter is the time to return that a limited call is told, in seconds.
const retryAfter = "1"

// watchCharge is the time for which a waiting watch is charged one read.
const watchCharge = time.Second
