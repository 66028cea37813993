package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
)

var (
	firstEra  = objects.NumberedEra(1)
	secondEra = objects.NumberedEra(2)
)

// maxLearnTime is how long a peer may take to learn records: half of the time within which
// a change has to be in force, the other half of which is for the store.
const maxLearnTime = time.Second

func in(era objects.Era, r catalog.Record) catalog.Record {
	r.Era = era
	return r
}

// configurationAt returns a record of a configuration with a version that is not its
// revision.
func configurationAt(era objects.Era, revision, version int64) catalog.Record {
	r := in(era, configurationRecord(version))
	r.Revision = revision
	return r
}

func serverAt(era objects.Era, revision int64, id, spec string) catalog.Record {
	return catalog.Record{Kind: catalog.KindServer, Name: id, Revision: revision, Era: era, Spec: []byte(spec)}
}

// availableIDs returns the IDs of the servers that may get requests at a node.
func (n *testNode) availableIDs() string {
	var ids []string
	for _, server := range n.catalog.Snapshot().AvailableServers("m", time.Now()) {
		ids = append(ids, server.ID)
	}
	return strings.Join(ids, " ")
}

// startPair starts a node that gets responses from the store, and one that gets none.
func startPair(t *testing.T) (withStore, without *testNode) {
	t.Helper()
	a := startNode(t, "a", 0)
	b := startNode(t, "b", time.Hour, a.opts.Address)
	await(t, "two live instances", func() bool { return a.live() == 2 && b.live() == 2 })
	return a, b
}

// TestInstanceCutOffFromStoreLearnsNewEra guards against an instance that keeps what it
// knows of the older era, because the revisions there were higher.
func TestInstanceCutOffFromStoreLearnsNewEra(t *testing.T) {
	a, b := startPair(t)
	a.catalog.MergeServerList([]catalog.Record{serverAt(firstEra, 90, "i-1", ""), serverAt(firstEra, 91, "i-2", "")}, objects.Version{Era: firstEra, Revision: 100}, time.Now())
	a.catalog.Merge([]catalog.Record{configurationAt(firstEra, 99, 1)}, time.Now())
	await(t, "records of the first era at b", func() bool { return b.availableIDs() == "i-1 i-2" && b.catalog.Snapshot().Version == 1 })
	a.catalog.MergeServerList([]catalog.Record{serverAt(secondEra, 51, "i-1", "leaving"), serverAt(secondEra, 41, "i-2", "")}, objects.Version{Era: secondEra, Revision: 55}, time.Now())
	a.catalog.Merge([]catalog.Record{configurationAt(secondEra, 54, 2)}, time.Now())
	startTime := time.Now()
	await(t, "records of the second era at b", func() bool { return b.availableIDs() == "i-2" && b.catalog.Snapshot().Version == 2 })
	if elapsed := time.Since(startTime); elapsed > maxLearnTime {
		t.Errorf("b learnt the second era after %v, want at most %v", elapsed, maxLearnTime)
	}
	if digestA, digestB := fmt.Sprint(a.catalog.Digest()), fmt.Sprint(b.catalog.Digest()); digestA != digestB {
		t.Errorf("got the digests %s and %s, want equal ones", digestA, digestB)
	}
}

// TestPeerThatIsBehindDoesNotTeach guards against an instance that knows only the older
// era and teaches others to use a server that leaves, or one that is gone. A newer version
// of the operator's that only this instance saw was acknowledged, and is taught.
func TestPeerThatIsBehindDoesNotTeach(t *testing.T) {
	a, b := startPair(t)
	a.catalog.MergeServerList([]catalog.Record{serverAt(secondEra, 51, "i-1", "leaving"), serverAt(secondEra, 52, "i-2", "")}, objects.Version{Era: secondEra, Revision: 55}, time.Now())
	a.catalog.Merge([]catalog.Record{configurationAt(secondEra, 40, 5)}, time.Now())
	b.catalog.Merge([]catalog.Record{serverAt(firstEra, 90, "i-1", ""), serverAt(firstEra, 91, "i-3", ""), configurationAt(firstEra, 99, 7)}, time.Now())
	await(t, "the newer configuration at both", func() bool {
		return a.catalog.Snapshot().Version == 7 && b.catalog.Snapshot().Version == 7
	})
	await(t, "b learns that i-1 leaves", func() bool { return !strings.Contains(b.availableIDs(), "i-1") })
	if got := a.availableIDs(); got != "i-2" {
		t.Errorf("a uses the servers %s, want only i-2", got)
	}
}

// TestDepartureReachesInstanceThatBeganAfterStepBack guards against an instance that takes
// the copy for the truth, although its peers know that a server is leaving.
func TestDepartureReachesInstanceThatBeganAfterStepBack(t *testing.T) {
	a, b := startPair(t)
	copied := []catalog.Record{serverAt(secondEra, 40, "i-1", ""), serverAt(secondEra, 41, "i-2", "")}
	list := objects.Version{Era: secondEra, Revision: 55}
	b.catalog.MergeServerList(copied, list, time.Now())
	b.catalog.Merge([]catalog.Record{configurationAt(secondEra, 54, 2)}, time.Now())
	a.catalog.Merge([]catalog.Record{serverAt(firstEra, 95, "i-1", "leaving"), configurationAt(firstEra, 99, 3)}, time.Now())
	a.catalog.MergeServerList(copied, list, time.Now())
	await(t, "b knows what a knew before", func() bool { return b.availableIDs() == "i-2" && b.catalog.Snapshot().Version == 3 })
}

// oldRecord is a record as the version before encodes it.
type oldRecord struct {
	Kind     catalog.RecordKind `cbor:"1,keyasint"`
	Name     string             `cbor:"2,keyasint"`
	Revision int64              `cbor:"3,keyasint"`
	Deleted  bool               `cbor:"4,keyasint,omitempty"`
	Spec     []byte             `cbor:"5,keyasint,omitempty"`
}

// TestPeerOfVersionBeforeIsUnderstood guards against a rolling change in which the new
// instances pass over what the old ones know, since these state no era.
func TestPeerOfVersionBeforeIsUnderstood(t *testing.T) {
	records := map[string][]oldRecord{
		pathConfiguration: {{Kind: catalog.KindConfiguration, Name: "main", Revision: 62, Spec: []byte("6")}},
		pathServers: {
			{Kind: catalog.KindServer, Name: "i-1", Revision: 61, Spec: []byte("leaving")},
			{Kind: catalog.KindServer, Name: "i-2", Revision: 52},
			{Kind: catalog.KindServer, Name: "i-3", Revision: 63},
		},
	}
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := cbor.Marshal(records[r.URL.Path])
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(raw)
	}))
	t.Cleanup(old.Close)
	a := startNode(t, "a", 0)
	a.catalog.MergeServerList([]catalog.Record{serverAt(secondEra, 51, "i-1", ""), serverAt(secondEra, 52, "i-2", "")}, objects.Version{Era: secondEra, Revision: 60}, time.Now())
	a.catalog.Merge([]catalog.Record{configurationAt(secondEra, 50, 5)}, time.Now())
	a.handleMessage(message{
		Cluster: "test", Name: "old", Started: 1, Sequence: 1, Address: netip.MustParseAddrPort(strings.TrimPrefix(old.URL, "http://")),
		Revision: 62, ServersDigest: 1,
	}, time.Now())
	await(t, "what the old instance knows", func() bool { return a.availableIDs() == "i-2 i-3" && a.catalog.Snapshot().Version == 6 })
	if record, _ := a.catalog.ConfigurationRecord(); record.Version() != (objects.Version{Era: secondEra, Revision: 62}) {
		t.Errorf("got the configuration as of %v, want 2/62", record.Version())
	}
}
