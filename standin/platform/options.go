package platform

import (
	"time"

	"bergamotpin.example/bergamotpin/api"
)

// Defaults of Options.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
	DefaultHistory         = 10_000 // events
	DefaultBookmarkEvery   = time.Second
	DefaultInstanceTTL     = 30 * time.Second
	DefaultInstanceLag     = 2 * time.Second
)

// Options sets up a stand-in platform. The zero value of a field takes its
// default.
type Options struct {
	// ReadsPerSecond and WritesPerSecond bound the calls. A burst of one
	// second's worth is let through.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is how many events a watch can replay.
	History int
	// BookmarkEvery is the time between two bookmarks of a watch.
	BookmarkEvery time.Duration
	// InstanceTTL is for how long an entry that is not renewed stays listed.
	InstanceTTL time.Duration
	// InstanceLag is how far the list of instances lies in the past. Negative
	// means no lag.
	InstanceLag time.Duration
	// Seed feeds the choice of the confirmations to lose.
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

// Outage is how the platform fails as a whole.
type Outage string

// The kinds of outages.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // 503 at once; open watches are cut
	OutageHang   Outage = "hang"   // no answer until the outage ends; open watches fall silent
)

// Faults switches the faults. The zero value has none.
type Faults struct {
	// Outage fails each call and the open watches.
	Outage Outage `json:"outage,omitempty"`
	// Latency delays each answer and each watch event.
	Latency api.Duration `json:"latency,omitempty"`
	// LoseConfirmations is the share, from 0 to 1, of the writes whose
	// connection is dropped after the write took effect.
	LoseConfirmations float64 `json:"loseConfirmations,omitempty"`
	// StaleReads answers gets and lists as of that long ago, as far as the
	// history reaches.
	StaleReads api.Duration `json:"staleReads,omitempty"`
	// InstanceLag adds to the lag of the list of instances, up to
	// MaxInstanceLag.
	InstanceLag api.Duration `json:"instanceLag,omitempty"`
}

// MaxInstanceLag is how far back the list of instances can be asked for.
const MaxInstanceLag = 5 * time.Minute
