package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// initialPeers is how many peers a new instance asks for the configuration.
	initialPeers = 3
	// initialPeerTimeout is how long a new instance waits until at least one peer
	// is known.
	initialPeerTimeout = 2 * time.Second
	// initialPeerPollInterval is the time between two checks for a known peer.
	initialPeerPollInterval = 50 * time.Millisecond
	// initialLoadRetryInterval is the pause before the configuration is asked for
	// again, if neither the platform nor a peer could supply it.
	initialLoadRetryInterval = 500 * time.Millisecond
)

// Options configures an Agent.
type Options struct {
	Store      *Store
	Platform   ObjectReader
	Transport  peer.Transport
	DataCentre string
	// Peers lists the other live instances of all data centres.
	Peers func() []Peer
	// ShouldWatch reports whether this instance has the duty to watch the platform.
	// A few instances of each data centre have this duty.
	ShouldWatch func() bool
	// Status stores the status of resources. If it is nil, this instance writes no
	// statuses.
	Status StatusStore
	// ShouldReport reports whether this instance has the duty to write statuses.
	ShouldReport func() bool
	// Seed seeds the random numbers for jitter and for the choice of peers. Each
	// instance needs its own seed.
	Seed uint64
	Log  *slog.Logger
}

// Agent keeps a Store up to date from the platform and from peers.
type Agent struct {
	store    *Store
	sync     *Sync
	watcher  *Watcher
	reporter *StatusReporter // nil without Options.Status
	peers    func() []Peer
	log      *slog.Logger
}

// NewAgent returns an agent. The agent serves requests of peers at once. It makes
// calls of its own only in Run.
func NewAgent(opts Options) *Agent {
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	a := &Agent{store: opts.Store, peers: opts.Peers, log: opts.Log}
	a.sync = NewSync(opts.Store, opts.Transport, opts.DataCentre, opts.Peers, opts.Seed)
	a.watcher = &Watcher{
		Store:       opts.Store,
		Platform:    opts.Platform,
		ShouldWatch: opts.ShouldWatch,
		OnChange:    a.sync.Broadcast,
		Rand:        rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	if opts.Status != nil {
		a.reporter = NewStatusReporter(a.sync, opts.Platform, opts.Status, opts.ShouldReport)
	}
	return a
}

// Sync returns the Sync by which the agent exchanges records with peers.
func (a *Agent) Sync() *Sync { return a.sync }

// Run loads the configuration, marks the store ready and keeps it up to date
// until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { a.sync.RunPushes(ctx) })
	a.loadInitial(ctx)
	group.Go(func() { a.sync.RunAntiEntropy(ctx) })
	group.Go(func() { a.watcher.Run(ctx) })
	if a.reporter != nil {
		group.Go(func() { a.reporter.Run(ctx) })
	}
	group.Wait()
}

// loadInitial loads the configuration and marks the store ready. It asks the
// platform and a few peers in parallel, waits for all of them and keeps the highest
// version of each resource. If none of them supplied the configuration, it asks
// again until ctx ends.
func (a *Agent) loadInitial(ctx context.Context) {
	for ctx.Err() == nil {
		var platformErr, peerErr error
		var group sync.WaitGroup
		group.Go(func() { platformErr = a.watcher.List(ctx) })
		group.Go(func() { peerErr = a.pullFromPeers(ctx) })
		group.Wait()
		if platformErr == nil || peerErr == nil {
			a.store.MarkReady()
			a.log.Info("configuration is ready", "revision", a.store.Snapshot().Revision,
				"platform", errorText(platformErr), "peers", errorText(peerErr))
			return
		}
		sleep(ctx, initialLoadRetryInterval)
	}
}

// pullFromPeers merges the configuration of a few peers into the store. It returns
// an error if none of these peers responded and was ready.
func (a *Agent) pullFromPeers(ctx context.Context) error {
	a.waitForPeer(ctx)
	sameDataCentre, otherDataCentres := a.sync.selectPeers()
	peers := append(sameDataCentre, otherDataCentres...)
	peers = peers[:min(initialPeers, len(peers))]
	errs := make([]error, len(peers))
	var group sync.WaitGroup
	for i, p := range peers {
		group.Go(func() { errs[i] = a.sync.PullFrom(ctx, p) })
	}
	group.Wait()
	for _, err := range errs {
		if err == nil {
			return nil
		}
	}
	return errors.Errorf("none of %d peers was ready", len(peers))
}

// waitForPeer returns when at least one peer is known, or after
// initialPeerTimeout.
func (a *Agent) waitForPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialPeerTimeout)
	defer cancel()
	for ctx.Err() == nil && len(a.peers()) == 0 {
		sleep(ctx, initialPeerPollInterval)
	}
}

// errorText returns the error's text for the log, or "ok" without an error.
func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
