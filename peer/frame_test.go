package peer

import (
	"bytes"
	"flag"
	"net/netip"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the random seed of the property-based tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestRequestEncodingRoundTrip checks that a request is the same after encoding
// and decoding.
func TestRequestEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		want := request{
			kind: Kind(rapid.Byte().Draw(t, "kind")),
			from: netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
			body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		got, err := readRequest(bytes.NewReader(appendRequest(nil, want)))
		if err != nil || got.kind != want.kind || got.from != want.from || !bytes.Equal(got.body, want.body) {
			t.Fatalf("decoded request %+v, error %v, want %+v and no error", got, err, want)
		}
	})
}

// TestArbitraryBytesAreReadOrRefused reads arbitrary bytes as a request and as
// a response. Reading must fail or return a body of the right length.
func TestArbitraryBytesAreReadOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "raw")
		if len(raw) > 0 && rapid.Bool().Draw(t, "version") {
			raw[0] = Version
		}
		r, err := readRequest(bytes.NewReader(raw))
		if err == nil && len(r.body) != len(raw)-RequestHeaderBytes {
			t.Fatalf("request body of %d bytes read from a frame of %d bytes, want the length of the frame without its header", len(r.body), len(raw))
		}
		_, body, err := readResponse(bytes.NewReader(raw))
		if err == nil && len(body) != len(raw)-ResponseHeaderBytes {
			t.Fatalf("response body of %d bytes read from a frame of %d bytes, want the length of the frame without its header", len(body), len(raw))
		}
	})
}
