package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/balancer"
)

// maxDatagramBytes is the largest datagram that no link has to split.
const maxDatagramBytes = 1400

// maxReports is the number of reports from which on no message holds more.
const maxReports = 64

// message is one datagram.
type message struct {
	// Cluster keeps datagrams of another system at a reused address apart.
	Cluster string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// Started is the sender's start in Unix nanoseconds, and Sequence counts its
	// rounds. A message that is not above the last one is late.
	Started  int64          `cbor:"3,keyasint"`
	Sequence uint64         `cbor:"4,keyasint"`
	Address  netip.AddrPort `cbor:"5,keyasint"`
	Leaving  bool           `cbor:"6,keyasint,omitempty"`
	// Revision is that of the sender's configuration, and Servers the digest of
	// its servers' records.
	Revision int64  `cbor:"7,keyasint,omitempty"`
	Servers  uint64 `cbor:"8,keyasint,omitempty"`
	// Known are addresses of others, a few in each message.
	Known   []netip.AddrPort        `cbor:"9,keyasint,omitempty"`
	Reports []balancer.ServerReport `cbor:"10,keyasint,omitempty"`
	// DataCentre is the sender's.
	DataCentre string `cbor:"11,keyasint"`
	// StoreAgeMs is how long ago the store answered the sender.
	StoreAgeMs int64 `cbor:"12,keyasint,omitempty"`
	// Digest says that Reports are sums over the sender's data centre, for the
	// servers that are named.
	Digest bool `cbor:"13,keyasint,omitempty"`
}

// errMalformed reports a datagram that is no message.
var errMalformed = errors.New("gossip: malformed message")

// encode writes a message. Reports that don't fit are left out, those at the
// end first.
func encode(m message) ([]byte, error) {
	for {
		raw, err := cbor.Marshal(m)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		if len(raw) <= maxDatagramBytes || len(m.Reports) == 0 {
			return raw, nil
		}
		m.Reports = m.Reports[:len(m.Reports)*maxDatagramBytes/(len(raw)+1)]
	}
}

// encodeAll writes a message in as many datagrams as its reports take.
func encodeAll(m message) ([][]byte, error) {
	var out [][]byte
	for rest := m.Reports; len(rest) > 0; {
		m.Reports = rest[:min(len(rest), maxReports)]
		raw, err := cbor.Marshal(m)
		for err == nil && len(raw) > maxDatagramBytes && len(m.Reports) > 1 {
			m.Reports = m.Reports[:len(m.Reports)*3/4]
			raw, err = cbor.Marshal(m)
		}
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		out = append(out, raw)
		rest = rest[len(m.Reports):]
	}
	return out, nil
}

func decode(raw []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return m, errors.Wrap(errMalformed, err.Error())
	}
	if m.Name == "" || !m.Address.IsValid() {
		return m, errMalformed
	}
	return m, nil
}
