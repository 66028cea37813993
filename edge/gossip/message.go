package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/crashguard"
	"bergamotpin.example/bergamotpin/edge/serverlimit"
)

// maxDatagramBytes is the largest datagram that is sent without IP fragmentation.
const maxDatagramBytes = 1400

// maxReports bounds the reports in one datagram of a summary.
const maxReports = 64

// message is one datagram.
type message struct {
	// Cluster identifies the deployment. Datagrams of another deployment, which may
	// arrive at an address that was reused, are ignored.
	Cluster string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// Started is the sender's start in Unix nanoseconds, and Sequence counts its
	// rounds. A message that is not newer than the sender's last one is ignored.
	Started  int64          `cbor:"3,keyasint"`
	Sequence uint64         `cbor:"4,keyasint"`
	Address  netip.AddrPort `cbor:"5,keyasint"`
	Leaving  bool           `cbor:"6,keyasint,omitempty"`
	// Revision is the revision of the sender's configuration, and ServersDigest the
	// digest of its server records.
	Revision      int64  `cbor:"7,keyasint,omitempty"`
	ServersDigest uint64 `cbor:"8,keyasint,omitempty"`
	// Known holds the addresses of a few other live instances.
	Known   []netip.AddrPort        `cbor:"9,keyasint,omitempty"`
	Reports []balancer.ServerReport `cbor:"10,keyasint,omitempty"`
	// DataCentre is the sender's data centre.
	DataCentre string `cbor:"11,keyasint"`
	// StoreAgeMs is how long ago the metadata store last responded to the sender, in
	// milliseconds.
	StoreAgeMs int64 `cbor:"12,keyasint,omitempty"`
	// Summary is set if Reports holds sums over all instances of the sender's data
	// centre. A summary may be split over several datagrams.
	Summary bool `cbor:"13,keyasint,omitempty"`
	// Urgencies are reports on the sender's recent requests. A summary has none.
	Urgencies []balancer.UrgencyReport `cbor:"14,keyasint,omitempty"`
	// Crashes are reports on requests and parts of prompts that crash servers. A summary has none.
	Crashes []crashguard.Report `cbor:"15,keyasint,omitempty"`
	// Limits are reports on the limits that servers name. A summary has none.
	Limits []serverlimit.Report `cbor:"19,keyasint,omitempty"`
	// Listed are hashes of the software versions at which streams may begin. A summary has none.
	Listed []uint64 `cbor:"20,keyasint,omitempty"`
	// LeavingServers are the servers that said that they leave. A summary has none.
	LeavingServers []uint64 `cbor:"23,keyasint,omitempty"`
	// CutOff is set if the sender reaches no backend server. Callers is the address at which
	// it takes requests. A summary has neither.
	CutOff  bool           `cbor:"21,keyasint,omitempty"`
	Callers netip.AddrPort `cbor:"22,keyasint,omitzero"`
	// Moved is the deployment's identifier since it changed, or "" if it did not.
	Moved string `cbor:"28,keyasint,omitempty"`
	stated
}

// errMalformed reports data from a peer that could not be decoded.
var errMalformed = errors.New("gossip: malformed message")

// encode encodes a message into one datagram. If the reports don't all fit, it
// drops the last reports.
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

// encodeAll encodes a message with all its reports, divided over as many datagrams as
// needed.
func encodeAll(m message) ([][]byte, error) {
	var datagrams [][]byte
	for remaining := m.Reports; len(remaining) > 0; {
		m.Reports = remaining[:min(len(remaining), maxReports)]
		raw, err := cbor.Marshal(m)
		for err == nil && len(raw) > maxDatagramBytes && len(m.Reports) > 1 {
			m.Reports = m.Reports[:len(m.Reports)*3/4]
			raw, err = cbor.Marshal(m)
		}
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		datagrams = append(datagrams, raw)
		remaining = remaining[len(m.Reports):]
	}
	return datagrams, nil
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
