package catalog

import (
	"net/netip"
	"time"
)

// RequestKind says what may be repeated of a request.
type RequestKind uint8

// The kinds of requests.
const (
	// Safe requests may run any number of times.
	Safe RequestKind = iota + 1
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a series of events. They run at most
	// once, unless the route lets them resume.
	Stream
)

var requestKindNames = [...]string{"invalid", "safe", "unsafe", "stream"}

// String returns the kind's name as logs and metrics use it.
func (k RequestKind) String() string {
	if int(k) >= len(requestKindNames) {
		return requestKindNames[0]
	}
	return requestKindNames[k]
}

// Route says which service answers the requests of a host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RequestKind
	// Timeout is the longest time in which a caller gets a final answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a
	// stream, is worth most.
	LatencyTarget time.Duration
	// MaxEventGap is the longest time between two events of a stream that is
	// still on time, or zero.
	MaxEventGap time.Duration
	// Priority ranks the route's requests, 0 first.
	Priority int
	Targets  []Target
	// MaxServers bounds the servers on which one request may run.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// MayRetry reports whether a request that may have run may run again.
func (r *Route) MayRetry() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Target is one service of a route, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of servers that are alike.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server, those of all
	// instances together.
	MaxConnections int
	// Slots is how many requests an engine runs at once, MemoryTokens the tokens
	// that it holds, and EventTokens those in one event of a stream. All are zero
	// for a service without a model.
	Slots        int
	MemoryTokens int
	EventTokens  int
}

// IsEngine reports whether the service's servers run a model.
func (s *Service) IsEngine() bool { return s.MemoryTokens > 0 }

// Organisation is whoever holds a key.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send, and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is all that the operator wrote, as one version.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// BackendServer is one server as it describes itself.
type BackendServer struct {
	// ID names the server, and StartedAtMillis its start in Unix milliseconds. A server
	// that started again under its ID knows nothing of before.
	ID              string
	StartedAtMillis int64
	Service         string
	Address         netip.AddrPort
	DataCentre      string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving servers get nothing new.
	Leaving bool
	// EntryMissing is set while the server's entry is missing. MissingSince tells for how
	// long.
	EntryMissing bool
	MissingSince time.Time
}

// Kind is a kind of record.
type Kind uint8

// The kinds of records.
const (
	KindConfiguration Kind = iota + 1
	KindServer
)

// String returns the kind's name as logs use it.
func (k Kind) String() string {
	if k == KindConfiguration {
		return "configuration"
	}
	return "server"
}

// Record is one object of the platform. Spec is kept as the platform sent it,
// so that it can be handed to other instances.
type Record struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
	Spec     []byte `cbor:"5,keyasint,omitempty"`
}

// Decoder reads the specs of records.
type Decoder interface {
	Configuration(spec []byte) (Configuration, error)
	Server(id string, spec []byte) (BackendServer, error)
}
