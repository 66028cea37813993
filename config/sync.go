package config

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// roundInterval is the time between two comparisons with a peer.
	roundInterval = 500 * time.Millisecond
	// peerCallTimeout bounds one call to a peer.
	peerCallTimeout = time.Second
	// repairTimeout bounds one try of a call of a repair.
	repairTimeout = 400 * time.Millisecond
	// repairTries is how often a call of a repair is made, so that one lost
	// message does not cost the whole comparison.
	repairTries = 3
	// pushDelay collects the changes of a burst into one message.
	pushDelay = 10 * time.Millisecond
	// remoteContacts is how many instances of each other data centre a watcher
	// pushes to.
	remoteContacts = 2
	// pushParallel bounds the pushes under way.
	pushParallel = 16
)

// errPeerNotReady reports a peer that does not hold the whole configuration.
var errPeerNotReady = errors.New("config: peer is not ready")

// Peer is another instance that is believed to be alive.
type Peer struct {
	Address    netip.AddrPort
	DataCentre string
}

// Push carries changed records. With Relay set, the receiver passes what is
// news to it on to its own data centre.
type Push struct {
	Records []Record `cbor:"1,keyasint"`
	Relay   bool     `cbor:"2,keyasint,omitempty"`
}

// Ack answers a Push.
type Ack struct{}

// Sync spreads changes to peers and repairs differences with them.
type Sync struct {
	Store      *Store
	Transport  peer.Transport
	DataCentre string
	// Peers lists the other instances of all data centres.
	Peers func() []Peer

	mu      sync.Mutex
	rand    *rand.Rand
	pending map[ResourceKey]bool // value: whether to push to other data centres too
	wake    chan struct{}
}

// NewSync returns a Sync that serves peers from now on.
func NewSync(store *Store, transport peer.Transport, dataCentre string, peers func() []Peer, seed uint64) *Sync {
	s := &Sync{
		Store:      store,
		Transport:  transport,
		DataCentre: dataCentre,
		Peers:      peers,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		pending:    make(map[ResourceKey]bool),
		wake:       make(chan struct{}, 1),
	}
	peer.Handle(transport, peer.KindConfigPush, s.servePush)
	peer.Handle(transport, peer.KindConfigDigest, s.serveDigest)
	peer.Handle(transport, peer.KindConfigFetch, s.serveFetch)
	return s
}

func (s *Sync) servePush(_ context.Context, _ netip.AddrPort, p Push) (Ack, error) {
	changed := s.Store.Merge(p.Records)
	if p.Relay {
		s.enqueue(changed, false)
	}
	return Ack{}, nil
}

func (s *Sync) serveDigest(context.Context, netip.AddrPort, Ack) (Digest, error) {
	return s.Store.Digest(), nil
}

func (s *Sync) serveFetch(_ context.Context, _ netip.AddrPort, req FetchRequest) (Page, error) {
	return s.Store.Page(req), nil
}

// Broadcast queues a change for all peers of the own data centre and a few of
// each other one. It returns at once.
func (s *Sync) Broadcast(key ResourceKey) { s.enqueue([]ResourceKey{key}, true) }

func (s *Sync) enqueue(keys []ResourceKey, remote bool) {
	if len(keys) == 0 {
		return
	}
	s.mu.Lock()
	for _, key := range keys {
		s.pending[key] = s.pending[key] || remote
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RunPushes sends queued changes until ctx ends.
func (s *Sync) RunPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		sleep(ctx, pushDelay)
		s.flush(ctx)
	}
}

func (s *Sync) flush(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = make(map[ResourceKey]bool)
	s.mu.Unlock()
	var all, remote []ResourceKey
	for key, toRemote := range pending {
		all = append(all, key)
		if toRemote {
			remote = append(remote, key)
		}
	}
	local, others := s.split()
	s.pushAll(ctx, local, s.Store.Records(all), false)
	s.pushAll(ctx, others, s.Store.Records(remote), true)
}

// split returns the peers of the own data centre and a few of each other one.
func (s *Sync) split() (local, others []Peer) {
	count := make(map[string]int)
	for _, p := range s.shuffledPeers() {
		if p.DataCentre == s.DataCentre {
			local = append(local, p)
			continue
		}
		if count[p.DataCentre]++; count[p.DataCentre] <= remoteContacts {
			others = append(others, p)
		}
	}
	return local, others
}

func (s *Sync) shuffledPeers() []Peer {
	peers := append([]Peer(nil), s.Peers()...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// pushAll sends the records to each peer and returns after every answer or
// time-out. A lost push is repaired by the rounds.
func (s *Sync) pushAll(ctx context.Context, peers []Peer, records []Record, relay bool) {
	for len(records) > 0 {
		n := pageLength(records)
		push := Push{Records: records[:n], Relay: relay}
		records = records[n:]
		var group sync.WaitGroup
		slots := make(chan struct{}, pushParallel)
		for _, p := range peers {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				_, _ = callPeer[Push, Ack](ctx, s.Transport, p, peer.KindConfigPush, push)
			})
		}
		group.Wait()
	}
}

func callPeer[Req, Resp any](ctx context.Context, t peer.Transport, to Peer, kind peer.Kind, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return peer.Call[Req, Resp](ctx, t, to.Address, kind, req)
}

// askPeer makes a call that only reads, again if no answer comes.
func askPeer[Req, Resp any](ctx context.Context, t peer.Transport, to Peer, kind peer.Kind, req Req) (Resp, error) {
	for try := 1; ; try++ {
		bounded, cancel := context.WithTimeout(ctx, repairTimeout)
		resp, err := peer.Call[Req, Resp](bounded, t, to.Address, kind, req)
		unanswered := bounded.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !unanswered || try == repairTries {
			return resp, err
		}
	}
}

// RunAntiEntropy compares the store with one peer at a time until ctx ends, in turn
// with one of the own data centre and one of another.
func (s *Sync) RunAntiEntropy(ctx context.Context) {
	for remote := false; ctx.Err() == nil; remote = !remote {
		s.mu.Lock()
		pause := jitter(s.rand, roundInterval)
		s.mu.Unlock()
		sleep(ctx, pause)
		if p, ok := s.pick(remote); ok {
			_ = s.PullFrom(ctx, p)
		}
	}
}

// pick chooses a peer of another data centre or of the own one, and takes one
// of the other sort if there is none.
func (s *Sync) pick(remote bool) (Peer, bool) {
	peers := s.shuffledPeers()
	for _, p := range peers {
		if (p.DataCentre != s.DataCentre) == remote {
			return p, true
		}
	}
	if len(peers) == 0 {
		return Peer{}, false
	}
	return peers[0], true
}

// PullFrom takes from a peer whatever it has that is higher. After it returns
// nil, the store reflects all that the peer reflected when it was called.
func (s *Sync) PullFrom(ctx context.Context, p Peer) error {
	theirs, err := askPeer[Ack, Digest](ctx, s.Transport, p, peer.KindConfigDigest, Ack{})
	if err != nil {
		return err
	}
	if buckets := differingBuckets(s.Store.Digest().Sums, theirs.Sums); len(buckets) > 0 {
		if err := s.fetch(ctx, p, buckets, theirs.CompleteVersion); err != nil {
			return err
		}
	}
	s.Store.RaiseCompleteVersion(theirs.CompleteVersion)
	if !theirs.Ready {
		return errPeerNotReady
	}
	return nil
}

// fetch merges all records of the buckets.
func (s *Sync) fetch(ctx context.Context, p Peer, buckets []int, complete int64) error {
	s.Store.Counters.Refetched.Add(int64(len(buckets)))
	req := FetchRequest{Buckets: buckets}
	var records []Record
	for {
		page, err := askPeer[FetchRequest, Page](ctx, s.Transport, p, peer.KindConfigFetch, req)
		if err != nil {
			return err
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		req.After = &page.Records[len(page.Records)-1].Key
	}
	s.Store.MergeBuckets(buckets, records, complete)
	return nil
}
