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

// PathFaults and PathCounters are URL paths of the stand-in that the real
// platform does not have.
const (
	PathFaults   = "/faults"
	PathCounters = "/counters"
)

// Counters counts the calls since the server was created.
type Counters struct {
	// Reads, Writes and Watches count the calls of each kind, including refused
	// calls.
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// WatchSeconds counts the seconds of open watches. Each of them was charged
	// as one read.
	WatchSeconds int64 `json:"watchSeconds"`
	// OpenWatches is the number of currently open watches.
	OpenWatches int64 `json:"openWatches"`
	// RateLimited counts the calls that a rate limit refused. Unavailable
	// counts the calls that an outage refused.
	RateLimited int64 `json:"limited"`
	Unavailable int64 `json:"unavailable"`
	// LostConfirmations counts the writes whose response was dropped.
	LostConfirmations int64 `json:"lostConfirmations"`
	// Revision is the version of the last write.
	Revision int64 `json:"revision"`
}

// Server is the stand-in platform. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	opts      Options
	store     *store
	instances *instanceList
	mux       *http.ServeMux
	// readLimiter and writeLimiter limit the rates of reads and writes.
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	closeOnce sync.Once
	closed    chan struct{}

	mu            sync.Mutex // guards the fields below
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	counters      Counters
	random        *rand.Rand
}

// New returns a stand-in platform without any objects. The caller must close the
// platform.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:          opts,
		store:         newStore(opts.History),
		instances:     newInstanceList(opts.InstanceTTL),
		mux:           http.NewServeMux(),
		readLimiter:   newLimiter(opts.ReadsPerSecond),
		writeLimiter:  newLimiter(opts.WritesPerSecond),
		closed:        make(chan struct{}),
		faultsChanged: make(chan struct{}),
		random:        rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	s.registerRoutes()
	return s
}

// newLimiter returns a limiter whose burst is the number of calls in one second.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("GET /objects/{kind}", s.limitRead(s.handleList))
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.limitRead(s.handleGet))
	s.mux.HandleFunc("POST /objects/{kind}/{name}", s.limitWrite(s.handleCreate))
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", s.limitWrite(s.handleUpdate))
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.limitWrite(s.handleDelete))
	s.mux.HandleFunc("GET /watch", s.handleWatch)
	s.mux.HandleFunc("GET /instances", s.limitRead(s.handleInstances))
	s.mux.HandleFunc("PUT /instances/{name}", s.limitWrite(s.handleRegister))
	s.mux.HandleFunc("DELETE /instances/{name}", s.limitWrite(s.handleUnregister))
	s.mux.HandleFunc("GET "+PathCounters, s.handleCounters)
	s.mux.HandleFunc("GET "+PathFaults, s.handleGetFaults)
	s.mux.HandleFunc("POST "+PathFaults, s.handleSetFaults)
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Close ends the open watches and the calls held by an outage.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
}

// Faults returns the current faults.
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
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// currentFaults returns the faults and a channel that is closed at their next
// change.
func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// Counters returns the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.Revision = s.store.currentRevision()
	return out
}

func (s *Server) updateCounters(update func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counters)
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
		writeError(w, http.StatusBadRequest, api.CodeInvalid, err.Error())
		return
	}
	s.SetFaults(f)
	jsonhttp.WriteJSON(w, http.StatusOK, f)
}

// writeError writes an error response with an api.ErrorResponse as its body.
func writeError(w http.ResponseWriter, status int, code, message string) {
	jsonhttp.WriteJSON(w, status, api.ErrorResponse{Code: code, Message: message})
}

// retryAfterSeconds is the value of Retry-After, in seconds, in the response to a
// call over the rate limit.
const retryAfterSeconds = "1"

// watchChargeInterval is the interval at which one read is charged to an open
// watch.
const watchChargeInterval = time.Second
