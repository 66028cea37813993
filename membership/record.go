package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// condition is what a record says of its instance. Higher ones win among
// records of the same sequence number.
type condition uint8

const (
	alive condition = iota
	suspected
	dead
)

// record is one instance as instances tell each other.
type record struct {
	Name        string         `cbor:"1,keyasint"`
	Address     netip.AddrPort `cbor:"2,keyasint"`
	DataCentre  string         `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
	// Sequence rises when the instance changes its own record or refutes one.
	Sequence  uint32    `cbor:"5,keyasint,omitempty"`
	Condition condition `cbor:"6,keyasint,omitempty"`
	Leaving   bool      `cbor:"7,keyasint,omitempty"`
	Ready     bool      `cbor:"8,keyasint,omitempty"`
}

// compare orders two records of one address by age.
func (r record) compare(other record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.Condition, other.Condition),
	)
}

// hash covers what two instances at rest agree about.
func (r record) hash() uint64 {
	buf := make([]byte, 0, 48)
	ip := r.Address.Addr().As16()
	buf = append(buf, ip[:]...)
	buf = binary.BigEndian.AppendUint16(buf, r.Address.Port())
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, r.Sequence)
	return xxhash.Sum64(buf)
}

// heartbeat is the request of KindHeartbeat.
type heartbeat struct {
	From record `cbor:"1,keyasint"`
	// Target asks the receiver to reach another instance, if it is valid.
	Target  netip.AddrPort `cbor:"2,keyasint,omitzero"`
	Updates []record       `cbor:"3,keyasint,omitempty"`
	Digest  uint64         `cbor:"4,keyasint,omitempty"`
	// Digests asks for the records of the data centres that differ.
	Digests map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// heartbeatAnswer is the answer of KindHeartbeat.
type heartbeatAnswer struct {
	From    record   `cbor:"1,keyasint"`
	Reached bool     `cbor:"2,keyasint,omitempty"`
	Updates []record `cbor:"3,keyasint,omitempty"`
	Digest  uint64   `cbor:"4,keyasint,omitempty"`
}

// leave is the request of KindLeave.
type leave struct {
	From record `cbor:"1,keyasint"`
}

// leaveAnswer is the answer of KindLeave.
type leaveAnswer struct{}
