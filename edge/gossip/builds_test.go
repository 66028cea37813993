package gossip

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// writeBuild has the messages of this code written for later builds: go test ./edge/gossip -run
// TestWriteBuild -write-build COMMIT.
var writeBuild = flag.String("write-build", "", "write this code's messages to the folder of a commit")

// olderBuilds holds what earlier commits wrote, each in a folder named after the commit, with all
// fields set that the commit knew. Such instances run beside this one during an upgrade.
const olderBuilds = "testdata/builds"

func builds(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(olderBuilds)
	if err != nil || len(entries) == 0 {
		t.Fatalf("no messages of older builds: %v", err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names
}

func written(t *testing.T, build, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(olderBuilds, build, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestDatagramsOfOlderBuildsAreUnderstood guards against instances that are deaf to those of the
// version before.
func TestDatagramsOfOlderBuildsAreUnderstood(t *testing.T) {
	for _, build := range builds(t) {
		m, err := decode(written(t, build, "datagram.cbor"))
		if err != nil || m.Name != "text" || m.Sequence != 3 || m.ServersDigest != 3 || len(m.Reports) != 2 || len(m.Known) != 2 {
			t.Errorf("%s: got %+v, error %v", build, m, err)
		}
		s, err := decode(written(t, build, "summary.cbor"))
		if err != nil || !s.Summary || len(s.Reports) != 2 || s.Reports[1].Key != 3 {
			t.Errorf("%s: got the summary %+v, error %v", build, s, err)
		}
		records, whole, err := decodeRecords(written(t, build, "records.cbor"))
		if err != nil || !whole || len(records) != 2 || records[0].Revision != 3 || records[1].Name != "text" {
			t.Errorf("%s: got the records %+v, error %v", build, records, err)
		}
	}
}

// TestFieldNumbersKeepTheirTypes guards against older instances that are deaf to this one, because
// a number that they know stands for something else.
func TestFieldNumbersKeepTheirTypes(t *testing.T) {
	newest := fieldTypes(t, fullMessages(t)["datagram.cbor"])
	for _, build := range builds(t) {
		for number, kind := range fieldTypes(t, written(t, build, "datagram.cbor")) {
			if now, ok := newest[number]; ok && now != kind {
				t.Errorf("field %d is of type %d at %s, and of type %d now", number, kind, build, now)
			}
		}
	}
}

// fieldTypes returns the major CBOR type of each field of a datagram, and for arrays also that of
// the elements and how many values an element has.
func fieldTypes(t *testing.T, raw []byte) map[int][3]byte {
	t.Helper()
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	types := make(map[int][3]byte)
	for number, value := range fields {
		kind := [3]byte{value[0] >> 5}
		var elements []cbor.RawMessage
		if cbor.Unmarshal(value, &elements) == nil && len(elements) > 0 {
			kind[1] = elements[0][0] >> 5
			var values []cbor.RawMessage
			if cbor.Unmarshal(elements[0], &values) == nil {
				kind[2] = byte(len(values))
			}
		}
		types[number] = kind
	}
	return types
}

// TestWriteBuild writes what later builds must understand, if a flag asks for it.
func TestWriteBuild(t *testing.T) {
	if *writeBuild == "" {
		t.Skip("without -write-build")
	}
	folder := filepath.Join(olderBuilds, *writeBuild)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, raw := range fullMessages(t) {
		if err := os.WriteFile(filepath.Join(folder, name), raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// fullMessages returns this code's messages by file name, with all fields set.
func fullMessages(t *testing.T) map[string][]byte {
	t.Helper()
	var datagram message
	setAll(reflect.ValueOf(&datagram).Elem())
	datagram.Summary = false
	summary := message{
		Cluster: datagram.Cluster, Name: datagram.Name, Started: datagram.Started, Address: datagram.Address,
		DataCentre: datagram.DataCentre, Summary: true, Reports: datagram.Reports,
	}
	var records []catalog.Record
	setAll(reflect.ValueOf(&records).Elem())
	out := make(map[string][]byte)
	for name, value := range map[string]any{"datagram.cbor": datagram, "summary.cbor": summary, "records.cbor": records} {
		raw, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = raw
	}
	return out
}

// setAll sets all that a value holds: texts to "text", numbers to 3, and slices to two elements.
func setAll(v reflect.Value) {
	if _, ok := v.Interface().(netip.AddrPort); ok {
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.1.2.3:4567")))
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		for n := range v.NumField() {
			if v.Field(n).CanSet() {
				setAll(v.Field(n))
			}
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		setAll(v.Index(0))
		setAll(v.Index(1))
	case v.Kind() == reflect.String:
		v.SetString("text")
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(3)
	case v.CanUint():
		v.SetUint(3)
	case v.CanFloat():
		v.SetFloat(3)
	}
}
