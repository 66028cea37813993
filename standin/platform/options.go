package platform

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// Default values of Options.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
	DefaultHistory         = 10_000 // events
	DefaultBookmarkEvery   = time.Second
	DefaultInstanceTTL     = 30 * time.Second
	DefaultInstanceLag     = 2 * time.Second
)

// Options configures a stand-in platform. A field that is zero gets its default.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the rate limits of the calls. A
	// burst may have as many calls as the limit allows in one second.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is the number of past events that the platform keeps for watches.
	History int
	// BookmarkEvery is the interval between bookmarks of a watch.
	BookmarkEvery time.Duration
	// InstanceTTL is how long an entry stays in the list of instances after its
	// last renewal.
	InstanceTTL time.Duration
	// InstanceLag is the age of the state that the list of instances shows. A
	// negative value means no lag.
	InstanceLag time.Duration
	// Seed is the seed of the random numbers that choose the confirmations to
	// lose.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.History == 0 {
		o.History = DefaultHistory
	}
	if o.BookmarkEvery == 0 {
		o.BookmarkEvery = DefaultBookmarkEvery
	}
	if o.InstanceTTL == 0 {
		o.InstanceTTL = DefaultInstanceTTL
	}
	if o.InstanceLag == 0 {
		o.InstanceLag = DefaultInstanceLag
	}
	o.InstanceLag = max(o.InstanceLag, 0)
	return o
}

// Outage says how the whole platform fails.
type Outage string

// Kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // calls fail with status 503 at once; open watches are closed
	OutageHang   Outage = "hang"   // calls get no response until the outage ends; open watches send nothing
)

// Faults configures the faults that the platform injects. With the zero value
// the platform injects no faults.
type Faults struct {
	// Outage applies to all calls and to open watches.
	Outage Outage `json:"outage,omitempty"`
	// Latency delays each response and each batch of watch events.
	Latency api.Duration `json:"latency,omitempty"`
	// LoseConfirmations is the fraction, from 0 to 1, of the writes whose
	// connection is dropped after the write took effect.
	LoseConfirmations float64 `json:"loseConfirmations,omitempty"`
	// StaleReads is the age of the state that get and list calls return. The
	// oldest state that they return is the one before the oldest kept event.
	StaleReads api.Duration `json:"staleReads,omitempty"`
	// InstanceLag is added to Options.InstanceLag. The sum is limited to
	// MaxInstanceLag.
	InstanceLag api.Duration `json:"instanceLag,omitempty"`
}

// MaxInstanceLag is the largest lag of the list of instances.
const MaxInstanceLag = 5 * time.Minute
