package gossip

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

// relayNode returns a node in dc0 that knows the given members.
func relayNode(members ...member) *Node {
	n := &Node{opts: Options{DataCentre: "dc0", Catalog: catalog.New(platform.Decoder{})}, members: newMembers(netip.AddrPort{}, "dc0")}
	for k, m := range members {
		m.Address = netip.MustParseAddrPort(fmt.Sprint("10.0.0.", k+1, ":1"))
		m.Name, m.Callers = fmt.Sprint(m.DataCentre, "-", k), m.Address
		n.members.all[m.Address] = &m
	}
	return n
}

func relayNames(n *Node) []string {
	var names []string
	for _, r := range n.Relays() {
		names = append(names, r.Name)
	}
	return names
}

// TestRelaysReachServers guards against requests that go to an instance that can't serve them,
// or all to the last one of a data centre.
func TestRelaysReachServers(t *testing.T) {
	local, remote := member{DataCentre: "dc0", Live: true}, member{DataCentre: "dc1", Live: true}
	cut, gone, leaving := local, local, local
	cut.CutOff, gone.Live, leaving.Leaving = true, false, true
	n := relayNode(remote, local, cut, gone, leaving, local)
	names := relayNames(n)
	if len(names) != 3 || !strings.HasPrefix(names[0], "dc0") || !strings.HasPrefix(names[1], "dc0") || names[2] != "dc1-0" {
		t.Errorf("got %v, want the two of the own data centre that can serve, then the other one", names)
	}
	first := map[string]bool{}
	for range 200 {
		first[relayNames(relayNode(local, cut, remote, remote))[0]] = true
	}
	if len(first) != 3 {
		t.Errorf("with most of the data centre cut off the first one is one of %v, want any of three", first)
	}
}

// TestRelayWithOlderConfigurationIsLeftOut guards against callers who see the configuration go
// back while their instance reaches no server.
func TestRelayWithOlderConfigurationIsLeftOut(t *testing.T) {
	n := relayNode()
	record := catalog.Record{Kind: catalog.KindConfiguration, Name: "main", Revision: 1, Era: objects.EraBeforeFirst, Spec: []byte(`{"version":2}`)}
	n.opts.Catalog.Merge([]catalog.Record{record}, time.Now())
	older, current := member{DataCentre: "dc0", Live: true}, member{DataCentre: "dc0", Live: true}
	older.Digest.Configuration.Operator = 1
	current.Digest.Configuration = n.opts.Catalog.Digest().Configuration
	n.members = relayNode(older, current).members
	if names := relayNames(n); len(names) != 1 || names[0] != "dc0-1" {
		t.Errorf("got %v, want only the instance with the newer configuration", names)
	}
}
