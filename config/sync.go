package config

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/peer"
)

const (
	// antiEntropyInterval is the longest pause between two comparisons with a peer.
	// Jitter shortens a pause by up to half.
	antiEntropyInterval = 500 * time.Millisecond
	// peerCallTimeout bounds a call to a peer, except the calls that PullFrom
	// makes.
	peerCallTimeout = time.Second
	// pullCallTimeout bounds one attempt of a call in PullFrom.
	pullCallTimeout = 400 * time.Millisecond
	// pullCallAttempts bounds the attempts of a call in PullFrom. Without retries,
	// one lost message would end the comparison with the peer.
	pullCallAttempts = 3
	// RunPushes waits for pushDelay after a change was queued, so that a burst of
	// changes goes out in one message.
	pushDelay = 10 * time.Millisecond
	// remotePeersPerDataCentre is the number of instances in each of the other data
	// centres to which a watching instance pushes.
	remotePeersPerDataCentre = 2
	// maxParallelCalls bounds the parallel calls while one push goes to several
	// peers, or while the digests of all peers are fetched.
	maxParallelCalls = 16
)

// errPeerNotReady reports that a peer does not hold the whole configuration yet.
var errPeerNotReady = errors.New("config: peer is not ready")

// errPeerRestarted reports that a peer's records reflect less than its digest said.
var errPeerRestarted = errors.New("config: peer restarted between its digest and its records")

// Peer is another instance that is believed to be alive.
type Peer struct {
	Address    netip.AddrPort
	DataCentre string
}

// Push carries changed records. If Relay is true, the receiver forwards the records
// that were new to it to the peers in its own data centre.
type Push struct {
	Records []Record `cbor:"1,keyasint"`
	Relay   bool     `cbor:"2,keyasint,omitempty"`
}

// Empty is the empty response to a Push. It is also the empty request for a
// Digest.
type Empty struct{}

// Sync broadcasts changes to peers and pulls newer records from them.
type Sync struct {
	Store      *Store
	Transport  peer.Transport
	DataCentre string
	// Peers lists the other instances of all data centres.
	Peers func() []Peer

	mu      sync.Mutex
	rand    *rand.Rand
	pending map[ResourceKey]bool // the changed keys; the value says whether to push to other data centres too
	wake    chan struct{}        // holds an item if RunPushes has changes to send
}

// NewSync returns a Sync. It serves the requests of peers at once.
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

func (s *Sync) servePush(_ context.Context, _ netip.AddrPort, p Push) (Empty, error) {
	changed := s.Store.Merge(p.Records)
	if p.Relay {
		s.enqueue(changed, false)
	}
	return Empty{}, nil
}

func (s *Sync) serveDigest(context.Context, netip.AddrPort, Empty) (Digest, error) {
	return s.Store.Digest(), nil
}

func (s *Sync) serveFetch(_ context.Context, _ netip.AddrPort, req FetchRequest) (RecordPage, error) {
	return s.Store.Page(req), nil
}

// Broadcast queues a change for all peers in the local data centre and for a few
// peers in each of the other data centres. It returns at once. RunPushes sends the
// change.
func (s *Sync) Broadcast(key ResourceKey) { s.enqueue([]ResourceKey{key}, true) }

// enqueue queues changes for the peers in the local data centre. If remote is true,
// it queues them also for a few peers in each of the other data centres.
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
		s.sendPending(ctx)
	}
}

// sendPending pushes all queued changes and empties the queue.
func (s *Sync) sendPending(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = make(map[ResourceKey]bool)
	s.mu.Unlock()
	var changed, remote []ResourceKey
	for key, toRemote := range pending {
		changed = append(changed, key)
		if toRemote {
			remote = append(remote, key)
		}
	}
	sameDataCentre, otherDataCentres := s.selectPeers()
	s.pushAll(ctx, sameDataCentre, s.Store.Records(changed), false)
	s.pushAll(ctx, otherDataCentres, s.Store.Records(remote), true)
}

// selectPeers returns all peers in the local data centre and a few random peers in
// each of the other data centres.
func (s *Sync) selectPeers() (sameDataCentre, otherDataCentres []Peer) {
	count := make(map[string]int)
	for _, p := range s.shuffledPeers() {
		if p.DataCentre == s.DataCentre {
			sameDataCentre = append(sameDataCentre, p)
			continue
		}
		if count[p.DataCentre]++; count[p.DataCentre] <= remotePeersPerDataCentre {
			otherDataCentres = append(otherDataCentres, p)
		}
	}
	return sameDataCentre, otherDataCentres
}

func (s *Sync) shuffledPeers() []Peer {
	peers := append([]Peer(nil), s.Peers()...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// pushAll sends the records to each peer. It returns when every call has got a
// response or has timed out. If a push is lost, anti-entropy delivers the records
// later.
func (s *Sync) pushAll(ctx context.Context, peers []Peer, records []Record, relay bool) {
	for len(records) > 0 {
		n := pageLength(records)
		push := Push{Records: records[:n], Relay: relay}
		records = records[n:]
		var group sync.WaitGroup
		semaphore := make(chan struct{}, maxParallelCalls)
		for _, p := range peers {
			semaphore <- struct{}{}
			group.Go(func() {
				defer func() { <-semaphore }()
				_, _ = callPeer[Push, Empty](ctx, s.Transport, p, peer.KindConfigPush, push)
			})
		}
		group.Wait()
	}
}

// callPeer calls a peer once, for at most peerCallTimeout.
func callPeer[Req, Resp any](ctx context.Context, t peer.Transport, to Peer, kind peer.Kind, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return peer.Call[Req, Resp](ctx, t, to.Address, kind, req)
}

// callPeerWithRetries calls a peer and retries after a timeout. The peer may run
// the call several times, so the call must only read.
func callPeerWithRetries[Req, Resp any](ctx context.Context, t peer.Transport, to Peer, kind peer.Kind, req Req) (Resp, error) {
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, pullCallTimeout)
		resp, err := peer.Call[Req, Resp](callCtx, t, to.Address, kind, req)
		timedOut := callCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err == nil || !timedOut || attempt == pullCallAttempts {
			return resp, err
		}
	}
}

// RunAntiEntropy compares the store with one peer at a time until ctx ends. It
// alternates between peers in the local data centre and peers in other data
// centres.
func (s *Sync) RunAntiEntropy(ctx context.Context) {
	for remote := false; ctx.Err() == nil; remote = !remote {
		s.mu.Lock()
		pause := jitter(s.rand, antiEntropyInterval)
		s.mu.Unlock()
		sleep(ctx, pause)
		if p, ok := s.pickPeer(remote); ok {
			_ = s.PullFrom(ctx, p)
		}
	}
}

// pickPeer returns a random peer in another data centre if remote is true, and in
// the local data centre otherwise. If there is no such peer, it returns any peer.
// If no peer is known, it returns false.
func (s *Sync) pickPeer(remote bool) (Peer, bool) {
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

// PullFrom fetches the buckets of records in which a peer differs from the store,
// and merges them. If it returns nil, the store reflects all writes that the peer
// reflected at the time of the call.
func (s *Sync) PullFrom(ctx context.Context, p Peer) error {
	peerDigest, err := callPeerWithRetries[Empty, Digest](ctx, s.Transport, p, peer.KindConfigDigest, Empty{})
	if err != nil {
		return err
	}
	if buckets := differingBuckets(s.Store.Digest().Sums, peerDigest.Sums); len(buckets) > 0 {
		complete, err := s.fetchBuckets(ctx, p, buckets)
		if err != nil {
			return err
		}
		if complete < peerDigest.CompleteVersion {
			return errPeerRestarted
		}
	}
	s.Store.RaiseCompleteVersion(peerDigest.CompleteVersion)
	if !peerDigest.Ready {
		return errPeerNotReady
	}
	return nil
}

// fetchBuckets fetches a peer's records of the buckets, page by page, and merges
// them once all have arrived. It returns the version up to which these records
// reflect every write in the buckets. That is the lowest of the pages' versions:
// several processes may have sent them, if the peer restarted in between.
func (s *Sync) fetchBuckets(ctx context.Context, p Peer, buckets []int) (int64, error) {
	s.Store.Counters.FetchedBuckets.Add(int64(len(buckets)))
	req := FetchRequest{Buckets: buckets}
	complete := int64(math.MaxInt64)
	var records []Record
	for {
		page, err := callPeerWithRetries[FetchRequest, RecordPage](ctx, s.Transport, p, peer.KindConfigFetch, req)
		if err != nil {
			return noCompleteVersion, err
		}
		complete = min(complete, page.CompleteVersion)
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		req.After = &page.Records[len(page.Records)-1].Key
	}
	s.Store.MergeBuckets(buckets, records, complete)
	return complete, nil
}
