package proxy

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/metrics"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/routing"
	"bergamotpin.example/bergamotpin/scheduler"
)

// Limits limits what a caller may send and how long an attempt may stall.
type Limits struct {
	// BodyBytes limits the body of a request.
	BodyBytes int64
	// ResponseBytes limits a response that is read whole before it is passed
	// on.
	ResponseBytes int64
	// HeaderBytes limits the header of a request.
	HeaderBytes int
	// BodyTimeout limits the time for reading a request's body.
	BodyTimeout time.Duration
	// StallTimeout limits the wait for the next frame of a stream.
	StallTimeout time.Duration
	// CallerTimeout limits the time that a caller may take to receive what is
	// written to it.
	CallerTimeout time.Duration
}

// Options configures a Proxy. All fields are required.
type Options struct {
	// Index returns the index of the configuration in force.
	Index     func() *routing.Index
	Scheduler scheduler.Scheduler
	Engine    *engineclient.Client
	Claims    Claims
	InFlight  *InFlight
	Metrics   *metrics.Metrics
	Limits    Limits
	// Ready reports whether the instance knows the configuration. Leaving
	// reports whether the instance is shutting down and refuses new requests.
	Ready   func() bool
	Leaving func() bool
}

// Proxy serves callers' requests. It is safe for concurrent use.
type Proxy struct {
	Options
	// background counts the calls that may outlive their request: cancellations
	// of attempts and writes of key outcomes.
	background sync.WaitGroup
	// streams is the number of running attempts that stream a completion from an
	// engine.
	streams atomic.Int64
}

// New returns a Proxy with the given options.
func New(opts Options) *Proxy { return &Proxy{Options: opts} }

// WaitBackground blocks until the background calls of all requests have ended.
func (p *Proxy) WaitBackground() { p.background.Wait() }

// Handler returns the handler of the callers' HTTP API.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", p.serveCompletion)
	mux.HandleFunc("POST /v1/services/{name}/{path...}", p.serveService)
	mux.HandleFunc("GET /v1/models", p.serveModels)
	mux.HandleFunc("/", p.serveUnknownPath)
	return mux
}

func (p *Proxy) serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	p.rejectInput(w, refuse(outcome.BadRequest, "no such path or method: "+r.Method+" "+r.URL.Path))
}

// rejectInput counts and writes the refusal of a request that was not submitted
// to the scheduler.
func (p *Proxy) rejectInput(w http.ResponseWriter, refusal *Refusal) {
	p.Metrics.CountBadInput(refusal.Reason)
	refusal.write(w)
}

// bearerKey returns the caller's API key from the Authorization header, or ""
// if there is none.
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
