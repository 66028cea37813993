package catalog

import (
	"net/netip"
	"time"

	"bergamotpin.example/bergamotpin/objects"
)

// RequestKind says whether a request may be retried.
type RequestKind uint8

// The kinds of requests.
const (
	// Safe requests may run any number of times.
	Safe RequestKind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered with a stream of events. They run at most
	// once, unless the route allows resuming the stream.
	Stream
)

var requestKindNames = [...]string{"invalid", "safe", "unsafe", "stream"}

// String returns the kind's name as used in logs and metrics.
func (k RequestKind) String() string {
	if int(k) >= len(requestKindNames) {
		return requestKindNames[0]
	}
	return requestKindNames[k]
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RequestKind
	// Timeout bounds the time until the caller has the whole response.
	Timeout time.Duration
	// LatencyTarget is the time within which the response, or the first event of
	// a stream, should arrive.
	LatencyTarget time.Duration
	// MaxEventGap is the target for the longest time between two events of a
	// stream. Zero means no target.
	MaxEventGap time.Duration
	// Priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxServers is the maximum number of servers to which one request is sent.
	MaxServers int
	// Public is set if the route's requests need no API key.
	Public bool
	// Resumable is set if the route's streams may be continued on another server.
	Resumable bool
}

// MayRetry reports whether a request may be sent again when a server may already
// have run it.
func (r *Route) MayRetry() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// IsResumable reports whether the route's responses are streams that may be taken up.
func (r *Route) IsResumable() bool { return r.Kind == Stream && r.Resumable }

// Target is one service of a route. It gets a share of the route's requests in
// proportion to its Weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server, summed over all
	// instances.
	MaxConnections int
	// Slots is how many requests an engine runs concurrently, MemoryTokens how
	// many tokens fit into its KV cache, and EventTokens how many tokens one event
	// of a stream holds. All are zero for a service without a model.
	Slots        int
	MemoryTokens int
	EventTokens  int
	// Autoscale is nil if the service's replicas can't be ordered.
	Autoscale *Autoscale
}

// Autoscale states what replicas of a service may be ordered.
type Autoscale struct {
	// Min and Max bound the number of replicas in each data centre, of both kinds together.
	Min, Max int
	// BootTime is how long a replica takes from the order until it serves.
	BootTime time.Duration
	// Prices holds what a second of a replica costs, by data centre. ReclaimablePrice is the
	// fraction of it for replicas that the platform may take back, or 0 if there are none.
	Prices           map[string]float64
	ReclaimablePrice float64
}

// IsEngine reports whether the service's servers run a model.
func (s *Service) IsEngine() bool { return s.MemoryTokens > 0 }

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size of a request's header and body, the time that a caller may
// take to send the header, and the time that a caller's connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// BackendServer is one server as described by its entry in the metadata store.
type BackendServer struct {
	// ID names the server, and StartedAtMillis is its start in Unix milliseconds.
	// A server that restarted under the same ID has lost its state.
	ID              string
	StartedAtMillis int64
	Service         string
	// Version is the version of the server's software. Versions have no order.
	Version    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Leaving is set once the server has announced its shutdown. A leaving server
	// gets no new requests.
	Leaving bool
	// Reclaimable is set if the platform may take the server back at any time. LeavesIn is how
	// long a leaving one stayed when its entry was written, or 0 if it said nothing of that.
	Reclaimable bool
	LeavesIn    time.Duration
	// EntryMissing is set while the store has no entry of the server. MissingSince is
	// when this instance learned that the entry was deleted.
	EntryMissing bool
	MissingSince time.Time
}

// RecordKind is a kind of record.
type RecordKind uint8

// The kinds of records.
const (
	KindConfiguration RecordKind = iota + 1
	KindServer
)

// String returns the kind's name as used in logs.
func (k RecordKind) String() string {
	if k == KindConfiguration {
		return "configuration"
	}
	return "server"
}

// Record is one object of the metadata store. Spec holds the bytes as the store
// sent them, so that they can be passed to other instances unchanged.
type Record struct {
	Kind     RecordKind `cbor:"1,keyasint"`
	Name     string     `cbor:"2,keyasint"`
	Revision int64      `cbor:"3,keyasint"`
	Deleted  bool       `cbor:"4,keyasint,omitempty"`
	Spec     []byte     `cbor:"5,keyasint,omitempty"`
	// Era is the store's era in which the object got its revision.
	Era objects.Era `cbor:"6,keyasint,omitempty"`
	// Hides is set if a peer teaches a departure: the record is older than the server's
	// newest one, whose revision is Hides, and says why that one must not be used.
	Hides int64 `cbor:"7,keyasint,omitempty"`
	// FromList is set if the record came in a list of the store, so that it may be as old
	// as the copy from which the store came back.
	FromList bool `cbor:"8,keyasint,omitempty"`
}

// Version returns the record's position in the order of the store's writes.
func (r Record) Version() objects.Version { return objects.Version{Era: r.Era, Revision: r.Revision} }

// Decoder decodes the specs of records.
type Decoder interface {
	Configuration(spec []byte) (Configuration, error)
	Server(id string, spec []byte) (BackendServer, error)
}
