package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// condition is whether an instance is alive, suspected or dead. Of two records
// with the same incarnation and sequence, the one with the higher condition
// wins.
type condition uint8

const (
	alive condition = iota
	suspected
	dead
)

// record describes one instance in the messages between instances.
type record struct {
	Name        string         `cbor:"1,keyasint"`
	Address     netip.AddrPort `cbor:"2,keyasint"`
	DataCentre  string         `cbor:"3,keyasint"`
	Incarnation uint64         `cbor:"4,keyasint"`
	// Sequence rises when the instance changes its own record or refutes a
	// suspicion.
	Sequence  uint32    `cbor:"5,keyasint,omitempty"`
	Condition condition `cbor:"6,keyasint,omitempty"`
	Leaving   bool      `cbor:"7,keyasint,omitempty"`
	Ready     bool      `cbor:"8,keyasint,omitempty"`
}

// compare orders two records of the same address. The greater record is newer.
func (r record) compare(other record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.Condition, other.Condition),
	)
}

// hash covers the fields on which two instances agree while nothing changes:
// address, incarnation and sequence.
func (r record) hash() uint64 {
	buf := make([]byte, 0, 48)
	ip := r.Address.Addr().As16()
	buf = append(buf, ip[:]...)
	buf = binary.BigEndian.AppendUint16(buf, r.Address.Port())
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, r.Sequence)
	return xxhash.Sum64(buf)
}

// heartbeatRequest is the request of KindHeartbeat.
type heartbeatRequest struct {
	From record `cbor:"1,keyasint"`
	// Target, if valid, is another instance to which the receiver is asked to
	// send a heartbeat.
	Target  netip.AddrPort `cbor:"2,keyasint,omitzero"`
	Updates []record       `cbor:"3,keyasint,omitempty"`
	Digest  uint64         `cbor:"4,keyasint,omitempty"`
	// Digests are the sender's digests by data centre. They ask for the records
	// of the data centres whose digests differ from the receiver's.
	Digests map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// heartbeatResponse is the response of KindHeartbeat. Reached reports whether
// the request's Target responded.
type heartbeatResponse struct {
	From    record   `cbor:"1,keyasint"`
	Reached bool     `cbor:"2,keyasint,omitempty"`
	Updates []record `cbor:"3,keyasint,omitempty"`
	Digest  uint64   `cbor:"4,keyasint,omitempty"`
}

// leaveRequest is the request of KindLeave.
type leaveRequest struct {
	From record `cbor:"1,keyasint"`
}

// leaveResponse is the response of KindLeave.
type leaveResponse struct{}
