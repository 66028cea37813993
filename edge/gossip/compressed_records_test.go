package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/platform"
)

// Guards against records that fill the links of the instances that learn of changes first, and
// against records of before a change.
func TestRecordsAreSentCompressedAndCurrent(t *testing.T) {
	var records []catalog.Record
	for i := range 140 {
		records = append(records, catalog.Record{
			Kind: catalog.KindServer, Name: fmt.Sprintf("i-%08x", i*7919), Revision: int64(i + 1),
			Spec: fmt.Appendf(nil, `{"service":"m","address":"10.0.0.%d:8080","zone":"z","version":"v1","slots":64,"state":"ready","seq":4,"born":1700}`, i),
		})
	}
	known := catalog.New(platform.Decoder{})
	known.MergeServerList(records, objects.Version{Revision: 140}, time.Now())
	n := &Node{opts: Options{Catalog: known}, client: newFetchClient()}
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.handler().ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer server.Close()
	for revision := int64(140); revision < 143; revision++ {
		got, err := n.get(server.URL + pathServers)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(known.Servers().Complete, got.Complete); diff != "" || len(got.Records) != len(known.Servers().Records) {
			t.Errorf("at revision %d: %d records, want %d; %s", revision, len(got.Records), len(known.Servers().Records), diff)
		}
		known.MergeEvents([]catalog.Record{{Kind: catalog.KindServer, Name: "i-new", Revision: revision + 1, Spec: records[0].Spec}},
			objects.Version{Revision: revision + 1}, time.Now())
	}
	if sent > 3*10_000 {
		t.Errorf("%d bytes for three lists of 140 servers", sent)
	}
}

type countingWriter struct {
	http.ResponseWriter
	sent *int
}

func (w countingWriter) Write(p []byte) (int, error) {
	*w.sent += len(p)
	return w.ResponseWriter.Write(p)
}
