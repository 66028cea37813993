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

// InstanceLister lists instances from the platform. The list may lag or fail.
type InstanceLister interface {
	ListInstances(ctx context.Context) ([]api.ListedInstance, error)
}

// Options sets up a Group. The zero value of a duration takes its default.
type Options struct {
	Name       string
	DataCentre string
	Transport  peer.Transport
	// Lister may be nil.
	Lister InstanceLister
	// Seeds are addresses to contact besides the hinted ones.
	Seeds []netip.AddrPort
	// Incarnation must rise with each start. Zero takes the wall clock's
	// milliseconds; a clock that went back is corrected by what peers recall.
	Incarnation uint64
	// Seed feeds the choice of peers and the jitter.
	Seed uint64
	Log  *slog.Logger

	// HeartbeatInterval is the time between two heartbeats of this instance,
	// whatever the number of its peers.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout bounds the wait for the answer to one.
	HeartbeatTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
	// ContactInterval is the time between two contacts with other data centres,
	// each in its turn.
	ContactInterval time.Duration
	ContactTimeout  time.Duration
	// JoinInterval is the time between two attempts at addresses that are not
	// members.
	JoinInterval time.Duration
	// ListInterval is the time between two reads of the platform's list once
	// other instances are known.
	ListInterval time.Duration
	// SyncDelay is for how long digests must differ before records are
	// exchanged.
	SyncDelay time.Duration
	// Retention is for how long the dead are remembered.
	Retention time.Duration
	// KnownRetention is for how long the dead that announced no end count as known.
	KnownRetention time.Duration
}

// withDefaults fills in what is zero.
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
