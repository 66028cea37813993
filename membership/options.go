package membership

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/peer"
)

// Defaults of the options.
const (
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultHeartbeatTimeout  = 100 * time.Millisecond
	DefaultSuspicionTimeout  = 2 * time.Second
	DefaultContactInterval   = 500 * time.Millisecond
	DefaultContactTimeout    = 500 * time.Millisecond
	DefaultJoinInterval      = time.Second
	DefaultListInterval      = 30 * time.Second
	DefaultSyncDelay         = time.Second
	DefaultRetention         = 10 * time.Minute
	DefaultKnownRetention    = time.Minute
)

// InstanceLister reads the platform's list of instances. The list may be
// outdated and the call may fail.
type InstanceLister interface {
	ListInstances(ctx context.Context) ([]api.ListedInstance, error)
}

// Options configures a Group. Durations that are zero take their default.
type Options struct {
	Name       string
	DataCentre string
	Transport  peer.Transport
	// Lister is optional.
	Lister InstanceLister
	// Seeds are addresses to contact in addition to the addresses in the
	// platform's list.
	Seeds []netip.AddrPort
	// Incarnation must be higher than the number of the previous process at the
	// address. Zero takes the Unix time in milliseconds. If the clock was set
	// back, the Group raises the number above the one that other instances
	// remember.
	Incarnation uint64
	// Seed initialises the random choice of peers and the jitter.
	Seed uint64
	Log  *slog.Logger

	// HeartbeatInterval is the time between two heartbeats of this instance,
	// regardless of the number of its peers.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long the response to a heartbeat is awaited.
	HeartbeatTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout time.Duration
	// ContactInterval is the time between two heartbeats to other data centres.
	// The data centres take turns.
	ContactInterval time.Duration
	// ContactTimeout replaces HeartbeatTimeout for heartbeats to other data
	// centres and to addresses that are not members.
	ContactTimeout time.Duration
	// JoinInterval is the time between two attempts to contact addresses that
	// are not members.
	JoinInterval time.Duration
	// ListInterval is the time between two reads of the platform's list. While
	// no other instance is known, JoinInterval is used instead.
	ListInterval time.Duration
	// SyncDelay is how long the digests of two instances must differ before the
	// instances exchange records.
	SyncDelay time.Duration
	// Retention is how long dead instances are remembered.
	Retention time.Duration
	// KnownRetention is how long View.KnownCount still counts a dead instance
	// that announced no leave.
	KnownRetention time.Duration
}

// withDefaults replaces zero values by their defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.ContactInterval, DefaultContactInterval)
	setDefault(&o.ContactTimeout, DefaultContactTimeout)
	setDefault(&o.JoinInterval, DefaultJoinInterval)
	setDefault(&o.ListInterval, DefaultListInterval)
	setDefault(&o.SyncDelay, DefaultSyncDelay)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.KnownRetention, DefaultKnownRetention)
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMilli())
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
