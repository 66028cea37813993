package loadpoller

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/engineclient"
	"bergamotpin.example/bergamotpin/schedcore"
)

const (
	// DefaultInterval is the time between two polls of a server.
	DefaultInterval = time.Second
	// callTimeout bounds one poll.
	callTimeout = 500 * time.Millisecond
	// maxParallel bounds the polls at a time.
	maxParallel = 16
	// maxEvents bounds the cache events of one poll.
	maxEvents = 1024
)

// Target is a server to poll.
type Target struct {
	Server  string
	Address string
	Models  []string
}

// Sink takes observations for the pools of a model.
type Sink interface {
	Observe(model string, add func(in *schedcore.Input))
}

// Options sets up a Poller.
type Options struct {
	Client *engineclient.Client
	// Targets lists the servers to poll now.
	Targets func() []Target
	Sink    Sink
	// Interval is the time between two polls. Zero means DefaultInterval.
	Interval time.Duration
}

// Poller polls servers.
type Poller struct {
	opts Options

	mu   sync.Mutex
	next map[string]uint64 // cache event to ask for, by server
}

// NewPoller returns a poller.
func NewPoller(opts Options) *Poller {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Poller{opts: opts, next: make(map[string]uint64)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round polls every target once and returns after the last answer.
func (p *Poller) round(ctx context.Context) {
	slots := make(chan struct{}, maxParallel)
	var polls sync.WaitGroup
	for _, t := range p.opts.Targets() {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			p.poll(ctx, t)
		})
	}
	polls.Wait()
}

// poll asks one server. What can't be had is left out.
func (p *Poller) poll(ctx context.Context, t Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if report, err := p.load(ctx, t); err == nil {
		p.send(t, func(in *schedcore.Input) { in.LoadReports = append(in.LoadReports, report) })
	}
	hints, err := p.cache(ctx, t)
	if err != nil || len(hints) == 0 {
		return
	}
	p.send(t, func(in *schedcore.Input) { in.CacheHints = append(in.CacheHints, hints...) })
}

func (p *Poller) send(t Target, add func(in *schedcore.Input)) {
	for _, model := range t.Models {
		p.opts.Sink.Observe(model, add)
	}
}

func (p *Poller) load(ctx context.Context, t Target) (schedcore.LoadReport, error) {
	resp, err := p.get(ctx, t, engineapi.PathLoad)
	if err != nil {
		return schedcore.LoadReport{}, err
	}
	defer resp.Body.Close()
	var report engineapi.LoadReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return schedcore.LoadReport{}, errors.Wrap(err, "load report")
	}
	return schedcore.LoadReport{
		Server:  t.Server,
		Running: report.Running,
		Waiting: report.Waiting,
		KVUsed:  report.KVUsed,
		Age:     max(time.Since(report.SampledAt), 0),
	}, nil
}

func (p *Poller) cache(ctx context.Context, t Target) ([]schedcore.CacheHint, error) {
	p.mu.Lock()
	from := p.next[t.Server]
	p.mu.Unlock()
	resp, err := p.get(ctx, t, engineapi.PathCache+"?from="+strconv.FormatUint(from, 10))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var hints []schedcore.CacheHint
	lines := bufio.NewScanner(resp.Body)
	for len(hints) < maxEvents && lines.Scan() {
		var e engineapi.CacheEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return hints, errors.Wrap(err, "cache event")
		}
		hints = append(hints, schedcore.CacheHint{Server: t.Server, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted})
		from = max(from, e.Seq+1)
	}
	p.mu.Lock()
	p.next[t.Server] = from
	p.mu.Unlock()
	return hints, lines.Err()
}

func (p *Poller) get(ctx context.Context, t Target, path string) (*http.Response, error) {
	resp, err := p.opts.Client.Do(ctx, engineclient.Request{Method: http.MethodGet, Address: t.Address, Path: path})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}
