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
	// firstPeers is how many peers a new instance asks.
	firstPeers = 3
	// firstPeerWait is how long a new instance waits for the first peer to
	// become known.
	firstPeerWait = 2 * time.Second
	firstPeerPoll = 50 * time.Millisecond
	firstRetry    = 500 * time.Millisecond
)

// Options sets up an Agent.
type Options struct {
	Store      *Store
	Platform   Platform
	Transport  peer.Transport
	DataCentre string
	// Peers lists the other live instances of all data centres.
	Peers func() []Peer
	// ShouldWatch reports whether this instance is one of those that watch the
	// platform for its data centre.
	ShouldWatch func() bool
	// Status, if set, is where this instance writes the status of resources
	// while ShouldReport says that it is the one to do so.
	Status       StatusStore
	ShouldReport func() bool
	// Seed feeds jitter and the choice of peers. It differs by instance.
	Seed uint64
	Log  *slog.Logger
}

// Agent keeps a store up to date from the platform and from peers.
type Agent struct {
	store   *Store
	sync    *Sync
	watcher *Watcher
	report  *Reporter // nil without Options.Status
	peers   func() []Peer
	log     *slog.Logger
}

// NewAgent returns an agent that serves peers from now on, but does nothing of
// its own before Run.
func NewAgent(o Options) *Agent {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	a := &Agent{store: o.Store, peers: o.Peers, log: o.Log}
	a.sync = NewSync(o.Store, o.Transport, o.DataCentre, o.Peers, o.Seed)
	a.watcher = &Watcher{
		Store:       o.Store,
		Platform:    o.Platform,
		ShouldWatch: o.ShouldWatch,
		OnChange:    a.sync.Broadcast,
		Rand:        rand.New(rand.NewPCG(o.Seed, 2)),
	}
	if o.Status != nil {
		a.report = NewReporter(a.sync, o.Platform, o.Status, o.ShouldReport)
	}
	return a
}

// Sync returns the part that talks to peers.
func (a *Agent) Sync() *Sync { return a.sync }

// Run makes the store ready and keeps it up to date until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { a.sync.RunPushes(ctx) })
	a.start(ctx)
	group.Go(func() { a.sync.RunAntiEntropy(ctx) })
	group.Go(func() { a.watcher.Run(ctx) })
	if a.report != nil {
		group.Go(func() { a.report.Run(ctx) })
	}
	group.Wait()
}

// start returns once the store is ready or ctx ended. It asks the platform and
// peers, waits for both, and takes the highest of what either one has. One of
// them is enough.
func (a *Agent) start(ctx context.Context) {
	for ctx.Err() == nil {
		var platformErr, peerErr error
		var group sync.WaitGroup
		group.Go(func() { platformErr = a.watcher.List(ctx) })
		group.Go(func() { peerErr = a.askPeers(ctx) })
		group.Wait()
		if platformErr == nil || peerErr == nil {
			a.store.MarkReady()
			a.log.Info("configuration is ready", "revision", a.store.Snapshot().Revision,
				"platform", errorText(platformErr), "peers", errorText(peerErr))
			return
		}
		sleep(ctx, firstRetry)
	}
}

// askPeers takes the configuration of a few peers. It fails if none of them
// was ready.
func (a *Agent) askPeers(ctx context.Context) error {
	a.awaitPeer(ctx)
	local, others := a.sync.split()
	peers := append(local, others...)
	peers = peers[:min(firstPeers, len(peers))]
	results := make([]error, len(peers))
	var group sync.WaitGroup
	for i, p := range peers {
		group.Go(func() { results[i] = a.sync.PullFrom(ctx, p) })
	}
	group.Wait()
	for _, err := range results {
		if err == nil {
			return nil
		}
	}
	return errors.Errorf("none of %d peers was ready", len(peers))
}

// awaitPeer returns when a peer is known, or after firstPeerWait.
func (a *Agent) awaitPeer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstPeerWait)
	defer cancel()
	for ctx.Err() == nil && len(a.peers()) == 0 {
		sleep(ctx, firstPeerPoll)
	}
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
