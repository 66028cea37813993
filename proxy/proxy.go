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

// Limits bounds what a caller may send and how long an attempt may stall.
type Limits struct {
	BodyBytes int64
	// AnswerBytes bounds an answer that is taken whole.
	AnswerBytes  int64
	HeaderBytes  int
	BodyTimeout  time.Duration
	StallTimeout time.Duration
	// CallerTimeout bounds the time in which a caller takes what is written.
	CallerTimeout time.Duration
}

// Options sets up a Proxy. All fields are required.
type Options struct {
	// Index returns the look-ups of the configuration in force.
	Index     func() *routing.Index
	Scheduler scheduler.Scheduler
	Engine    *engineclient.Client
	Claims    Claims
	InFlight  *InFlight
	Metrics   *metrics.Metrics
	Limits    Limits
	// Ready reports whether the configuration is known. Leaving reports
	// whether the instance takes no more requests.
	Ready   func() bool
	Leaving func() bool
}

// Proxy serves callers. It is safe for concurrent use.
type Proxy struct {
	Options
	// background counts cancel calls that outlive their request.
	background sync.WaitGroup
	// streams counts the attempts at streamed completions that are open.
	streams atomic.Int64
}

// New returns a proxy.
func New(opts Options) *Proxy { return &Proxy{Options: opts} }

// Wait returns after the calls that outlived their requests ended.
func (p *Proxy) Wait() { p.background.Wait() }

// Handler returns the callers' API.
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

// rejectInput answers a request that was refused before it was queued.
func (p *Proxy) rejectInput(w http.ResponseWriter, refusal *Refusal) {
	p.Metrics.CountBadInput(refusal.Reason)
	refusal.write(w)
}

// bearer returns the caller's key, or "".
func bearer(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
