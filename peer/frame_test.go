package peer

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the drawn tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestRequestsSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		want := request{
			kind: Kind(rapid.Byte().Draw(t, "kind")),
			from: netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
			body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		got, err := readRequest(bytes.NewReader(appendRequest(nil, want)))
		if err != nil || got.kind != want.kind || got.from != want.from || !bytes.Equal(got.body, want.body) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

// TestAnyBytesAreReadOrRefused reads arbitrary bytes as frames.
func TestAnyBytesAreReadOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "raw")
		if len(raw) > 0 && rapid.Bool().Draw(t, "version") {
			raw[0] = Version
		}
		r, err := readRequest(bytes.NewReader(raw))
		if err == nil && len(r.body) != len(raw)-RequestHeaderBytes {
			t.Fatalf("a body of %d bytes from %d", len(r.body), len(raw))
		}
		_, body, err := readAnswer(bytes.NewReader(raw))
		if err == nil && len(body) != len(raw)-AnswerHeaderBytes {
			t.Fatalf("an answer of %d bytes from %d", len(body), len(raw))
		}
	})
}
