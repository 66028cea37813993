package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotpin.example/bergamotpin/edge/balancer"
	"bergamotpin.example/bergamotpin/edge/crashguard"
)

// TestPromptReportsReachOtherDataCentres guards against evidence that stays in a data
// centre, as reports on servers do if there are many instances.
func TestPromptReportsReachOtherDataCentres(t *testing.T) {
	const perDataCentre = 10
	var nodes []*testNode
	for n := range 2 * perDataCentre {
		var seeds []netip.AddrPort
		if n > 0 {
			seeds = append(seeds, nodes[0].opts.Address)
		}
		nodes = append(nodes, startNodeIn(t, fmt.Sprint("dc", n%2), fmt.Sprint("node", n), 0, seeds...))
	}
	for _, n := range nodes {
		await(t, "all instances live at "+n.opts.Name, func() bool { return n.live() == 2*perDataCentre })
	}
	parts := []uint64{5}
	for server := range uint64(3) {
		nodes[server].guard.RecordCrash(server, parts, time.Now())
	}
	for _, n := range nodes {
		await(t, "the part is withheld at "+n.opts.Name, func() bool {
			_, withheld := n.guard.Withheld(parts, time.Now())
			return withheld
		})
	}
}

// fullCrashReports returns as many and as long reports as a datagram may hold.
func fullCrashReports() []crashguard.Report {
	g := crashguard.New(crashguard.Options{Instances: func() int { return 1 }})
	now := time.Now()
	for part := range uint64(64) {
		for server := range part/4 + 1 {
			g.RecordCrash(1<<32-1-server, []uint64{1<<32 - 1 - part}, now)
		}
	}
	return g.Reports(now.Add(9 * time.Second))
}

// TestMessageWithPromptReportsFitsIntoDatagram guards against datagrams that are too large,
// or that hold no reports on servers, during an incident.
func TestMessageWithPromptReportsFitsIntoDatagram(t *testing.T) {
	m := message{
		Cluster: "10.200.1.7:8223", Name: "edge-ro-central-a-1", DataCentre: "ro-central-a", Started: time.Now().UnixNano(),
		Sequence: 1000, Address: netip.MustParseAddrPort("10.1.0.40:7340"), Revision: 50, ServersDigest: 1 << 60, StoreAgeMs: 300,
		Crashes: fullCrashReports(), Limits: fullLimitReports(),
	}
	for range maxKnown {
		m.Known = append(m.Known, netip.MustParseAddrPort("10.1.0.40:7340"))
	}
	for range 16 {
		m.Urgencies = append(m.Urgencies, balancer.UrgencyReport{
			Service: 1 << 31, OrganisationPriority: 1, RoutePriority: 2, Requests: 2000, Late: 300, Target: 1500, LongestDelay: 1200,
		})
	}
	for n := range 600 {
		m.Reports = append(m.Reports, balancer.ServerReport{Key: uint64(n+1) << 20, Load: balancer.Load{Running: 3, PrefillTokens: 5000}})
	}
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(raw)
	t.Logf("%d bytes, %d reports on servers, %d on parts of prompts", len(raw), len(got.Reports), len(got.Crashes))
	if err != nil || len(raw) > maxDatagramBytes || len(got.Crashes) != len(m.Crashes) || len(got.Limits) != len(m.Limits) || len(got.Reports) < 5 {
		t.Errorf("got %d bytes with %d reports on parts of prompts, %d on limits and %d on servers, error %v; want at most %d bytes, %d, %d and at least 5",
			len(raw), len(got.Crashes), len(got.Limits), len(got.Reports), err, maxDatagramBytes, len(m.Crashes), len(m.Limits))
	}
}

// TestVersionBeforeIgnoresPromptReports guards against instances of the version before that
// drop datagrams with a field that they don't know.
func TestVersionBeforeIgnoresPromptReports(t *testing.T) {
	raw, err := encode(message{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), Crashes: fullCrashReports()})
	if err != nil {
		t.Fatal(err)
	}
	var before struct {
		Name    string         `cbor:"2,keyasint"`
		Address netip.AddrPort `cbor:"5,keyasint"`
	}
	if err := cbor.Unmarshal(raw, &before); err != nil || before.Name != "a" {
		t.Errorf("got name %q, error %v; want the other fields", before.Name, err)
	}
}
