package gossip

import (
	"net/netip"
	"testing"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
)

// TestDigestSurvivesDatagram guards against a peer that compares other digests than the
// sender has, and so fetches what it knows or misses what it doesn't.
func TestDigestSurvivesDatagram(t *testing.T) {
	own := catalog.Digest{Era: secondEra, Servers: 3, Configuration: catalog.ConfigurationVersion{Operator: 9, Store: objects.Version{Era: firstEra, Revision: 70}}}
	for _, sent := range []catalog.Digest{
		{},
		{Era: secondEra, Servers: 1 << 60},
		{Era: secondEra, Servers: 2, Configuration: catalog.ConfigurationVersion{Operator: 7, Store: objects.Version{Era: secondEra, Revision: 50}}},
		{Era: secondEra, Servers: 2, Configuration: catalog.ConfigurationVersion{Operator: 7, Store: objects.Version{Era: firstEra, Revision: 99}}},
		{Era: firstEra, Servers: 2, Configuration: catalog.ConfigurationVersion{Operator: 7, Store: objects.Version{Era: objects.EraBeforeFirst, Revision: 99}}},
		own,
	} {
		m := message{
			Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"),
			Revision: sent.Configuration.Store.Revision, ServersDigest: sent.Servers, stated: newStated(sent),
		}
		raw, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		received, err := decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		want := sent
		if sent.Era == objects.EraUnstated {
			// Without an era, the receiver's is meant.
			want.Era = own.Era
		}
		if got := received.digest(own); got != want {
			t.Errorf("got the digest %+v, want %+v", got, want)
		}
	}
	// The version before states only revision and hash.
	before := message{Revision: 71, ServersDigest: 3}.digest(own)
	if !before.Configuration.After(own.Configuration) || differenceTo(own, before) != (difference{configuration: true}) {
		t.Errorf("got the digest %+v, want one with a newer configuration and the same servers", before)
	}
}
