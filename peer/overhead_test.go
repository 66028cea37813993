package peer

import (
	"testing"
	"time"
)

// TestOverheadOnTheWire counts what QUIC adds to the bytes that the transport
// counts, at the pace of heartbeats.
func TestOverheadOnTheWire(t *testing.T) {
	const (
		calls = 40
		body  = 60
		pace  = 20 * time.Millisecond
	)
	a := newAuthority(t)
	p, q := listen(t, issue(t, a, loopback), 0), listen(t, issue(t, a, loopback), 0)
	q.Handle(KindHeartbeat, echo)
	call := func() {
		if _, err := p.Call(t.Context(), q.Local(), KindHeartbeat, make([]byte, body)); err != nil {
			t.Fatal(err)
		}
	}
	// The first second has the search for the path's packet size.
	for range calls {
		call()
		time.Sleep(pace)
	}
	l, err := p.link(q.Local())
	if err != nil {
		t.Fatal(err)
	}
	before, counted := l.conn.ConnectionStats(), p.Counters().Total().Bytes
	for range calls {
		call()
		time.Sleep(pace)
	}
	after := l.conn.ConnectionStats()
	wire := float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived) / calls
	own := float64(p.Counters().Total().Bytes-counted) / calls
	t.Logf("a call: %.0f bytes counted, %.0f in UDP payloads", own, wire)
	if wire < own {
		t.Errorf("%.0f bytes on the wire for %.0f", wire, own)
	}
}
