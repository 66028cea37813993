package usage

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what one datagram holds.
const (
	// maxSumsPerMessage bounds the sums in one datagram. A sum takes up to ten bytes.
	maxSumsPerMessage = 100
	// windowCost is what a window, or an instance, counts for in that bound.
	windowCost = 2
	// maxWindowsPerInstance bounds the windows for which an instance's sums are kept.
	maxWindowsPerInstance = 16
	// maxOrganisations bounds the organisations whose sums are kept of one instance.
	maxOrganisations = 1024
)

// Message is what instances tell each other.
type Message struct {
	Notice Notice         `cbor:"1,keyasint,omitzero"`
	Sums   []InstanceSums `cbor:"2,keyasint,omitempty"`
}

// Notice says what an instance knows about time and about the holder of the duties.
type Notice struct {
	// UnixMs is the sender's time of day in Unix milliseconds.
	UnixMs int64 `cbor:"1,keyasint"`
	// Token is the newest fencing token that the sender knows of, and Holder the address at
	// which its holder takes the messages of peers.
	Token  int64          `cbor:"2,keyasint,omitempty"`
	Holder netip.AddrPort `cbor:"3,keyasint,omitzero"`
	// Planned is the first window whose counts are not stored yet.
	Planned int64 `cbor:"4,keyasint,omitempty"`
}

// InstanceSums holds what one instance counted.
type InstanceSums struct {
	// Instance is the hash of the instance's name, and Started when its process started, in
	// Unix nanoseconds.
	Instance uint64 `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint"`
	// ThroughMs is the true time, in Unix milliseconds, up to which the sums are complete.
	ThroughMs int64 `cbor:"3,keyasint"`
	// Final is set if the instance counts no more.
	Final   bool         `cbor:"4,keyasint,omitempty"`
	Windows []WindowSums `cbor:"5,keyasint"`
}

// WindowSums holds the sums of one window.
type WindowSums struct {
	Window int64 `cbor:"1,keyasint"`
	Sums   []Sum `cbor:"2,keyasint"`
}

// Sum is the number of an organisation's requests that began to run.
type Sum struct {
	_ struct{} `cbor:",toarray"`
	// Organisation is the hash of the organisation's name.
	Organisation uint32
	Count        uint32
}

// OrganisationHash returns the hash by which messages name an organisation.
func OrganisationHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// InstanceHash returns the hash by which messages name an instance.
func InstanceHash(name string) uint64 { return xxhash.Sum64String(name) }

// split divides sums over messages that are small enough for one datagram. The sums of a window
// stay together if they can.
func split(all []InstanceSums) []Message {
	var messages []Message
	var current Message
	used := 0
	for _, s := range all {
		for _, w := range s.Windows {
			for first := true; first || len(w.Sums) > 0; first = false {
				part := WindowSums{Window: w.Window, Sums: w.Sums[:min(len(w.Sums), maxSumsPerMessage-2*windowCost)]}
				w.Sums = w.Sums[len(part.Sums):]
				cost := len(part.Sums) + 2*windowCost
				if used+cost > maxSumsPerMessage && used > 0 {
					messages = append(messages, current)
					current, used = Message{}, 0
				}
				used += cost
				current.add(s, part)
			}
		}
	}
	if len(current.Sums) > 0 {
		messages = append(messages, current)
	}
	return messages
}

// add adds a window of an instance.
func (m *Message) add(s InstanceSums, w WindowSums) {
	if n := len(m.Sums); n > 0 && m.Sums[n-1].Instance == s.Instance && m.Sums[n-1].Started == s.Started {
		m.Sums[n-1].Windows = append(m.Sums[n-1].Windows, w)
		return
	}
	s.Windows = []WindowSums{w}
	m.Sums = append(m.Sums, s)
}
