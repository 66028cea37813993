package peer

import (
	"runtime"
	"syscall"
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

// TestCostOfQUIC prints the heap of a connection and the processor time of a
// call, both ends included.
func TestCostOfQUIC(t *testing.T) {
	const (
		peers = 20
		calls = 2000
	)
	a := newAuthority(t)
	hub := listen(t, issue(t, a, loopback), 0)
	hub.Handle(KindHeartbeat, echo)
	var others []*QUIC
	for range peers {
		others = append(others, listen(t, issue(t, a, loopback), 0))
	}
	before := heapKB()
	for _, p := range others {
		if _, err := p.Call(t.Context(), hub.Local(), KindHeartbeat, nil); err != nil {
			t.Fatal(err)
		}
	}
	connection := (heapKB() - before) / peers
	start := processorTime(t)
	for i := range calls {
		if _, err := others[i%peers].Call(t.Context(), hub.Local(), KindHeartbeat, make([]byte, 60)); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("a connection: %.0f KB of heap; a call: %v of processor time; both ends together",
		connection, (processorTime(t)-start)/calls)
}

func heapKB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

func processorTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
