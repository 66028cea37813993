package loadpoller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
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
	// maxParallel bounds the number of concurrent polls.
	maxParallel = 16
	// maxEvents bounds the number of cache events that one poll of a server reads.
	maxEvents = 1024
	// maxReportBytes bounds a load report, and maxEventsBytes the cache events that one
	// poll reads.
	maxReportBytes = 64 << 10
	maxEventsBytes = 1 << 20
)

// Target is a backend server to poll and the models that it serves.
type Target struct {
	Server  string
	Address string
	Models  []string
}

// Sink receives the load reports and cache events of servers.
type Sink interface {
	// Observe calls add to append observations to the input of the scheduler core of
	// each pool of the model.
	Observe(model string, add func(in *schedcore.Input))
}

// Options configures a Poller.
type Options struct {
	Client *engineclient.Client
	// Targets returns the servers to poll. It is called at each interval.
	Targets func() []Target
	Sink    Sink
	// Interval is the time between two polls of a server. Zero means DefaultInterval.
	Interval time.Duration
}

// Poller polls backend servers at regular intervals.
type Poller struct {
	opts Options

	mu           sync.Mutex
	nextEventSeq map[string]uint64 // sequence number of the next cache event to request, by server
}

// NewPoller returns a poller.
func NewPoller(opts Options) *Poller {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Poller{opts: opts, nextEventSeq: make(map[string]uint64)}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		p.pollAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollAll polls every target once and returns when all polls have ended.
func (p *Poller) pollAll(ctx context.Context) {
	semaphore := make(chan struct{}, maxParallel)
	var polls sync.WaitGroup
	for _, target := range p.opts.Targets() {
		semaphore <- struct{}{}
		polls.Go(func() {
			defer func() { <-semaphore }()
			p.poll(ctx, target)
		})
	}
	polls.Wait()
}

// poll requests the load report and the cache events of one server and passes them on to
// the sink. If one of the two requests fails, the result of the other is still passed on.
func (p *Poller) poll(ctx context.Context, target Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if report, err := p.loadReport(ctx, target); err == nil {
		p.observe(target, func(in *schedcore.Input) { in.LoadReports = append(in.LoadReports, report) })
	}
	hints, err := p.cacheEvents(ctx, target)
	if err != nil || len(hints) == 0 {
		return
	}
	p.observe(target, func(in *schedcore.Input) { in.CacheHints = append(in.CacheHints, hints...) })
}

// observe passes an observation on to the sink for each model of the target.
func (p *Poller) observe(target Target, add func(in *schedcore.Input)) {
	for _, model := range target.Models {
		p.opts.Sink.Observe(model, add)
	}
}

// loadReport requests the load report of a server.
func (p *Poller) loadReport(ctx context.Context, target Target) (schedcore.LoadReport, error) {
	resp, err := p.get(ctx, target, engineapi.PathLoad)
	if err != nil {
		return schedcore.LoadReport{}, err
	}
	defer resp.Body.Close()
	var report engineapi.LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return schedcore.LoadReport{}, errors.Wrap(err, "decoding the load report")
	}
	return schedcore.LoadReport{
		Server:  target.Server,
		Running: report.Running,
		Waiting: report.Waiting,
		KVUsed:  report.KVUsed,
		Age:     max(time.Since(report.SampledAt), 0),
	}, nil
}

// cacheEvents requests the cache events that have not been read yet.
func (p *Poller) cacheEvents(ctx context.Context, target Target) ([]schedcore.CacheHint, error) {
	p.mu.Lock()
	nextSeq := p.nextEventSeq[target.Server]
	p.mu.Unlock()
	resp, err := p.get(ctx, target, engineapi.PathCacheEvents+"?from="+strconv.FormatUint(nextSeq, 10))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var hints []schedcore.CacheHint
	scanner := bufio.NewScanner(io.LimitReader(resp.Body, maxEventsBytes))
	for len(hints) < maxEvents && scanner.Scan() {
		var event engineapi.CacheEvent
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return hints, errors.Wrap(err, "decoding a cache event")
		}
		hints = append(hints, schedcore.CacheHint{Server: target.Server, Prefix: event.Prefix, Tokens: event.Tokens, Evicted: event.Evicted})
		nextSeq = max(nextSeq, event.Seq+1)
	}
	p.mu.Lock()
	p.nextEventSeq[target.Server] = nextSeq
	p.mu.Unlock()
	return hints, scanner.Err()
}

func (p *Poller) get(ctx context.Context, target Target, path string) (*http.Response, error) {
	resp, err := p.opts.Client.Poll(ctx, engineclient.Request{Method: http.MethodGet, Address: target.Address, Path: path})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	return resp, nil
}
