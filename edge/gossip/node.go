package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
	"bergamotpin.example/bergamotpin/edge/usage"
	"bergamotpin.example/bergamotpin/objects"
)

const (
	// interval is the time between two rounds of datagrams.
	interval = 100 * time.Millisecond
	// fanout is the minimum number of instances to send to in a round.
	fanout = 8
	// cycleRounds is the number of rounds that a full rotation takes, in which each
	// instance gets one datagram.
	cycleRounds = 2.5
)

// Options configures a Node. All fields but Seeds and Usage are required.
type Options struct {
	Name       string
	DataCentre string
	// Cluster identifies the deployment that the instance belongs to. All instances of
	// a deployment have the same value, and no other deployment has it. SetCluster changes it.
	Cluster string
	// Address is where other instances reach this one over UDP and TCP.
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	Catalog *catalog.Catalog
	// Reports returns this instance's reports. ReceiveReports is called with the reports
	// of a peer.
	Reports        func(now time.Time) balancer.InstanceReports
	ReceiveReports func(peer, dataCentre string, reports balancer.InstanceReports, now time.Time)
	// Summary returns the sums of reports over this data centre's instances.
	// ReceiveSummary is called with the sums of another data centre.
	Summary        func(now time.Time) []balancer.ServerReport
	ReceiveSummary func(dataCentre string, reports []balancer.ServerReport, now time.Time)
	// CrashReports returns the reports on requests and parts of prompts that crash servers.
	// ReceiveCrashReports is called with the reports of a peer.
	CrashReports        func(now time.Time) []crashguard.Report
	ReceiveCrashReports func(reports []crashguard.Report, now time.Time)
	// LimitReports returns the reports on the limits that servers name. ReceiveLimitReports
	// is called with the reports of a peer.
	LimitReports        func(now time.Time) []serverlimit.Report
	ReceiveLimitReports func(reports []serverlimit.Report, now time.Time)
	// ListedVersions returns hashes of the software versions at which streams may begin.
	// ReceiveListedVersions is called with those of a peer.
	ListedVersions        func() []uint64
	ReceiveListedVersions func(hashes []uint64)
	// LeavingServers returns the servers that said that they leave. ReceiveLeavingServers is
	// called with those of which a peer says so.
	LeavingServers        func(now time.Time) []uint64
	ReceiveLeavingServers func(keys []uint64, now time.Time)
	// CutOff reports whether this instance reaches no backend server. Callers is the address
	// at which it takes requests.
	CutOff  func() bool
	Callers netip.AddrPort
	// StoreAge returns how long ago the metadata store last responded to this instance.
	StoreAge func(now time.Time) time.Duration
	// Usage counts requests for reports, or is nil if the deployment asks for none.
	Usage *usage.Accounts
	// OnChange is called with the changes that fetched records made to the catalog.
	OnChange func(source string, changes []catalog.Change)
	Log      *slog.Logger
}

// Node sends this instance's state to other instances and receives theirs. It is safe
// for concurrent use.
type Node struct {
	opts Options
	// nameHash is the hash of the instance's name.
	nameHash uint64
	// started tells the instance's runs apart: it is the time of day of the start, in Unix nanoseconds.
	// begun is the same moment by the steady clock.
	started  int64
	begun    time.Time
	socket   *net.UDPConn
	listener net.Listener
	client   *http.Client
	cluster  cluster
	encoded  encodedServers

	mu       sync.Mutex
	members  *members
	sequence uint64
	leaving  bool
	fetching bool
	// behindSince is the time at which this instance was first found to lack another
	// instance's records. It is zero if this instance lacks none.
	behindSince time.Time
	// usageSentAt is when the sums of usage were last sent.
	usageSentAt time.Time
	sendNow     chan struct{}
	tasks       sync.WaitGroup
}

// Listen opens the sockets. Run starts to send and receive.
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
	now := time.Now()
	n := &Node{
		opts: o, nameHash: xxhash.Sum64String(o.Name), started: now.UnixNano(), begun: now, socket: socket, listener: listener,
		client:  newFetchClient(),
		cluster: cluster{first: o.Cluster},
		members: newMembers(o.Address, o.DataCentre),
		sendNow: make(chan struct{}, 1),
	}
	n.AddSeeds(o.Seeds)
	return n, nil
}

// AddSeeds adds the addresses of instances to send datagrams to.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range seeds {
		n.members.add(s, time.Now())
	}
}

// Run exchanges datagrams and serves this instance's records until ctx ends.
func (n *Node) Run(ctx context.Context) {
	server := &http.Server{Handler: n.handler(), ReadHeaderTimeout: fetchTimeout, IdleTimeout: fetchIdleTimeout}
	n.tasks.Go(func() {
		if err := server.Serve(n.listener); !errors.Is(err, http.ErrServerClosed) {
			n.opts.Log.Error("listener for peers failed", "error", err)
		}
	})
	n.tasks.Go(n.receiveLoop)
	n.sendLoop(ctx)
	_ = n.socket.Close()
	_ = server.Close()
	n.client.CloseIdleConnections()
	n.tasks.Wait()
}

// SendNow sends a round at once, so that others learn of a change without waiting
// for the interval.
func (n *Node) SendNow() {
	select {
	case n.sendNow <- struct{}{}:
	default:
	}
}

// Leave announces to the other instances that this one is about to stop.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.SendNow()
}

// CountInstances returns the number of live instances and the number of known ones,
// this one included. Known instances include silent ones, which may run on the
// other side of a network partition.
func (n *Node) CountInstances() (live, known int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.members.counts()
	live = counts.Live + counts.Leaving
	return live + 1, live + counts.Silent + 1
}

// View returns the instances that share what servers take from all of them together.
func (n *Node) View() serverlimit.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	var v serverlimit.View
	v.Live, v.Complete = n.members.sharing()
	if !n.leaving {
		v.Live = append(v.Live, n.opts.Name)
	}
	slices.Sort(v.Live)
	return v
}

// PeerCounts returns the number of other instances by state.
func (n *Node) PeerCounts() InstanceCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.counts()
}

// ConfigurationAge returns how long ago the metadata store confirmed, to this instance
// or to a live peer, that there is no newer configuration than the one in force here.
func (n *Node) ConfigurationAge(now time.Time) time.Duration {
	digest := n.opts.Catalog.Digest()
	own := n.opts.StoreAge(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(own, now.Sub(n.members.confirmedAt(digest.Configuration)))
}

func (n *Node) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		n.sendRound(time.Now())
		n.sendUsageIfDue(time.Now(), false)
		select {
		case <-ctx.Done():
			n.sendRound(time.Now())
			n.sendUsageIfDue(time.Now(), true)
			return
		case <-ticker.C:
		case <-n.sendNow:
		}
	}
}

// sendRound sends this round's datagrams, and logs the peers that fell silent.
func (n *Node) sendRound(now time.Time) {
	reports, crashReports, limitReports := n.opts.Reports(now), n.opts.CrashReports(now), n.opts.LimitReports(now)
	digest := n.opts.Catalog.Digest()
	storeAge := n.opts.StoreAge(now)
	n.mu.Lock()
	for _, peer := range n.members.expire(now) {
		n.opts.Log.Warn("peer timed out", "peer", peer.Name, "address", peer.Address, "age_ms", now.Sub(peer.LastReceived).Milliseconds())
	}
	n.sequence++
	recipients := n.planRound(storeAge)
	first, moved := n.cluster.stated()
	complete := message{
		Cluster: first, Moved: moved, Name: n.opts.Name, Started: n.started, Sequence: n.sequence,
		Address: n.opts.Address, Leaving: n.leaving, Revision: digest.Configuration.Store.Revision, ServersDigest: digest.Servers,
		Known: n.members.knownAddresses(n.sequence, maxKnown), Reports: reports.Servers, DataCentre: n.opts.DataCentre,
		StoreAgeMs: storeAge.Milliseconds(), Urgencies: reports.Urgencies,
		Crashes: crashReports, Limits: limitReports, Listed: n.opts.ListedVersions(), LeavingServers: n.opts.LeavingServers(now),
		CutOff: n.opts.CutOff(), Callers: n.opts.Callers, Usage: n.usageNotice(now), Prefill: reports.Prefill, stated: newStated(digest),
	}
	withoutReports := complete
	withoutReports.Reports, withoutReports.Urgencies, withoutReports.Prefill, withoutReports.Known = nil, nil, nil, n.members.knownAddresses(n.sequence, maxKnownRemote)
	n.mu.Unlock()
	n.sendAll(complete, recipients.complete)
	n.sendAll(withoutReports, recipients.withoutReports)
	if len(recipients.summary) > 0 {
		n.sendSummary(now, recipients.summary)
	}
}

// sendAll sends a message to several instances.
func (n *Node) sendAll(m message, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	raw, err := encode(m)
	if err != nil {
		n.opts.Log.Error("failed to encode datagram", "error", err)
		return
	}
	for _, to := range targets {
		n.send(raw, to)
	}
}

// sendSummary sends this data centre's summary to the given instances of other data
// centres. The summary holds sums of the reports of all instances in this data centre.
func (n *Node) sendSummary(now time.Time, targets []netip.AddrPort) {
	first, moved := n.cluster.stated()
	datagrams, err := encodeAll(message{
		Cluster: first, Moved: moved, Name: n.opts.Name, Started: n.started, Address: n.opts.Address,
		DataCentre: n.opts.DataCentre, Summary: true, Reports: n.opts.Summary(now),
	})
	if err != nil {
		n.opts.Log.Error("failed to encode summary", "error", err)
		return
	}
	for _, raw := range datagrams {
		for _, to := range targets {
			n.send(raw, to)
		}
	}
}

func (n *Node) send(raw []byte, to netip.AddrPort) {
	// A datagram that can't be sent is treated like a lost one.
	_, _ = n.socket.WriteToUDPAddrPort(raw, to)
}

func (n *Node) receiveLoop() {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := n.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The socket reports ICMP errors for datagrams sent earlier, such as an
			// unreachable port, when it is read.
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil || !n.cluster.accepts(m) {
			continue
		}
		if m.Summary {
			n.handleSummary(m, buffer[:size], from, time.Now())
			continue
		}
		if !n.receiveUsage(m, time.Now()) {
			n.handleMessage(m, time.Now())
		}
	}
}

// receive records a message, and returns the sender as it is known now. See members.receive.
func (n *Node) receive(m message, digest catalog.Digest, now time.Time) (peer member, isNew, becameLive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, isNew, becameLive := n.members.receive(m, digest, now)
	if !isNew {
		return member{}, false, false
	}
	return *known, true, becameLive
}

// handleMessage processes a message that is not a summary.
func (n *Node) handleMessage(m message, now time.Time) {
	digest := m.digest(n.opts.Catalog.Digest())
	peer, isNew, becameLive := n.receive(m, digest, now)
	if !isNew {
		return
	}
	if becameLive {
		n.opts.Log.Info("peer became live", "peer", m.Name, "address", m.Address)
	}
	n.opts.ReceiveReports(m.Name, m.DataCentre, balancer.InstanceReports{Servers: m.Reports, Urgencies: m.Urgencies, Prefill: m.Prefill}, now)
	n.opts.ReceiveCrashReports(m.Crashes, now)
	n.opts.ReceiveLimitReports(m.Limits, now)
	n.opts.ReceiveListedVersions(m.Listed)
	n.opts.ReceiveLeavingServers(m.LeavingServers, now)
	n.opts.OnChange("peer "+m.Name, n.opts.Catalog.EnterEra(objects.Version{Era: digest.Era, Revision: m.Revision}, now))
	n.fetchIfBehind(peer)
}
