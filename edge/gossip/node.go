package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
)

const (
	// interval is the time between two rounds.
	interval = 100 * time.Millisecond
	// fanout is how many instances are sent to in a round, at least.
	fanout = 8
	// turnRounds is in how many rounds each instance has its turn.
	turnRounds = 2.5
)

// Options sets up a Node. All fields but Seeds are required.
type Options struct {
	Name       string
	DataCentre string
	// Cluster is the same for all instances of a system, and for no other.
	Cluster string
	// Address is where other instances reach this one, over UDP and TCP.
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	Catalog *catalog.Catalog
	// Reports returns what to tell of the servers, and ReceiveReports takes what a
	// peer told.
	Reports        func(now time.Time) []balancer.ServerReport
	ReceiveReports func(peer, dataCentre string, reports []balancer.ServerReport, now time.Time)
	// Summary returns the sums over this data centre's instances, and ReceiveSummary
	// takes those of another.
	Summary        func(now time.Time) []balancer.ServerReport
	ReceiveSummary func(dataCentre string, reports []balancer.ServerReport, now time.Time)
	// StoreAge is how long ago the store last answered this instance.
	StoreAge func(now time.Time) time.Duration
	// OnChange is called with what fetched records changed.
	OnChange func(source string, changes []catalog.Change)
	Log      *slog.Logger
}

// Node takes part in the exchange. It is safe for concurrent use.
type Node struct {
	opts     Options
	started  int64
	socket   *net.UDPConn
	listener net.Listener
	client   *http.Client

	mu       sync.Mutex
	members  *members
	sequence uint64
	leaving  bool
	fetching bool
	// behindSince is since when this instance lacks records that others have.
	behindSince time.Time
	nudge       chan struct{}
	wait        sync.WaitGroup
}

// Listen opens the sockets. Nothing is sent before Run.
func Listen(o Options) (*Node, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, errors.Wrap(err, "beacon")
	}
	listener, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "beacon")
	}
	b := &Node{
		opts: o, started: time.Now().UnixNano(), socket: socket, listener: listener,
		client:  newFetchClient(),
		members: newMembers(o.Address),
		nudge:   make(chan struct{}, 1),
	}
	b.AddSeeds(o.Seeds)
	return b, nil
}

// AddSeeds adds addresses to contact.
func (b *Node) AddSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range seeds {
		b.members.learn(s, time.Now())
	}
}

// Run exchanges datagrams until ctx ends.
func (b *Node) Run(ctx context.Context) {
	server := &http.Server{Handler: b.handler(), ReadHeaderTimeout: fetchTimeout, IdleTimeout: fetchIdle}
	b.wait.Go(func() {
		if err := server.Serve(b.listener); !errors.Is(err, http.ErrServerClosed) {
			b.opts.Log.Error("peers' listener ended", "error", err)
		}
	})
	b.wait.Go(b.receive)
	b.sendRounds(ctx)
	_ = b.socket.Close()
	_ = server.Close()
	b.client.CloseIdleConnections()
	b.wait.Wait()
}

// SendNow sends a round at once, after a change that others should hear soon.
func (b *Node) SendNow() {
	select {
	case b.nudge <- struct{}{}:
	default:
	}
}

// Leave tells the others that this instance ends.
func (b *Node) Leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.SendNow()
}

// CountInstances returns how many instances there are, this one included: those that
// are live, and those that were heard of lately and may be cut off.
func (b *Node) CountInstances() (live, known int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.members.live()) + 1, b.members.everLive() + 1
}

// Counts returns how many other instances there are, by their state.
func (b *Node) Counts() InstanceCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members.counts()
}

// ConfigurationAge is how long ago the store confirmed, to this instance or to
// one that it hears, that there is no newer configuration than the one here.
func (b *Node) ConfigurationAge(now time.Time) time.Duration {
	revision, _ := b.opts.Catalog.Digest()
	own := b.opts.StoreAge(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(own, now.Sub(b.members.confirmedAt(revision)))
}

func (b *Node) sendRounds(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		b.sendRound(time.Now())
		select {
		case <-ctx.Done():
			b.sendRound(time.Now())
			return
		case <-ticker.C:
		case <-b.nudge:
		}
	}
}

func (b *Node) sendRound(now time.Time) {
	reports := b.opts.Reports(now)
	revision, servers := b.opts.Catalog.Digest()
	storeAge := b.opts.StoreAge(now)
	b.mu.Lock()
	for _, e := range b.members.expire(now) {
		b.opts.Log.Warn("peer silent", "peer", e.Name, "address", e.Address, "age_ms", now.Sub(e.Heard).Milliseconds())
	}
	b.sequence++
	p := b.planRound(storeAge)
	full := message{
		Cluster: b.opts.Cluster, Name: b.opts.Name, Started: b.started, Sequence: b.sequence,
		Address: b.opts.Address, Leaving: b.leaving, Revision: revision, Servers: servers,
		Known: b.members.known(b.sequence, maxKnown), Reports: reports, DataCentre: b.opts.DataCentre,
		StoreAgeMs: storeAge.Milliseconds(),
	}
	light := full
	light.Reports, light.Known = nil, b.members.known(b.sequence, farKnown)
	b.mu.Unlock()
	b.sendAll(full, p.full)
	b.sendAll(light, p.light)
	if len(p.digest) > 0 {
		b.sendDigest(now, p.digest)
	}
}

// sendAll sends one message to several instances.
func (b *Node) sendAll(m message, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	raw, err := encode(m)
	if err != nil {
		b.opts.Log.Error("beacon not encoded", "error", err)
		return
	}
	for _, to := range targets {
		b.send(raw, to)
	}
}

// sendDigest tells other data centres what this one does.
func (b *Node) sendDigest(now time.Time, targets []netip.AddrPort) {
	datagrams, err := encodeAll(message{
		Cluster: b.opts.Cluster, Name: b.opts.Name, Started: b.started, Address: b.opts.Address,
		DataCentre: b.opts.DataCentre, Digest: true, Reports: b.opts.Summary(now),
	})
	if err != nil {
		b.opts.Log.Error("digest not encoded", "error", err)
		return
	}
	for _, raw := range datagrams {
		for _, to := range targets {
			b.send(raw, to)
		}
	}
}

func (b *Node) send(raw []byte, to netip.AddrPort) {
	// A datagram that can't be sent is like one that is lost.
	_, _ = b.socket.WriteToUDPAddrPort(raw, to)
}

func (b *Node) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The answer of a port without a listener shows here.
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil || m.Cluster != b.opts.Cluster {
			continue
		}
		if m.Digest {
			b.takeDigest(m, buffer[:n], from, time.Now())
			continue
		}
		b.take(m, time.Now())
	}
}

// take takes in one message.
func (b *Node) take(m message, now time.Time) {
	b.mu.Lock()
	e, news, returned := b.members.hear(m, now)
	b.mu.Unlock()
	if !news {
		return
	}
	if returned {
		b.opts.Log.Info("peer live", "peer", m.Name, "address", m.Address)
	}
	b.opts.ReceiveReports(m.Name, m.DataCentre, m.Reports, now)
	b.compare(*e, m)
}
