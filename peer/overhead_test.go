package peer

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// TestQUICOverheadPerCall makes calls at regular intervals, as heartbeats do.
// It compares the UDP bytes per call with the bytes that the transport counts.
func TestQUICOverheadPerCall(t *testing.T) {
	const (
		calls     = 40
		bodyBytes = 60
		interval  = 20 * time.Millisecond
	)
	authority := newAuthority(t)
	caller, receiver := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0), listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	receiver.Handle(KindHeartbeat, echo)
	call := func() {
		if _, err := caller.Call(t.Context(), receiver.Local(), KindHeartbeat, make([]byte, bodyBytes)); err != nil {
			t.Fatal(err)
		}
	}
	// During the first second QUIC also probes for the path's maximum packet
	// size.
	for range calls {
		call()
		time.Sleep(interval)
	}
	pc, err := caller.peerConn(receiver.Local())
	if err != nil {
		t.Fatal(err)
	}
	before, countedBefore := pc.conn.ConnectionStats(), caller.Counters().Total().Bytes
	for range calls {
		call()
		time.Sleep(interval)
	}
	after := pc.conn.ConnectionStats()
	udpBytes := float64(after.BytesSent-before.BytesSent+after.BytesReceived-before.BytesReceived) / calls
	counted := float64(caller.Counters().Total().Bytes-countedBefore) / calls
	t.Logf("per call: %.0f bytes counted by the transport, %.0f bytes of UDP payload", counted, udpBytes)
	if udpBytes < counted {
		t.Errorf("%.0f bytes of UDP payload for %.0f counted bytes, want at least as many", udpBytes, counted)
	}
}

// TestQUICMemoryAndCPUCost prints the heap memory of a connection and the CPU
// time of a call. Both figures are sums over the two ends.
func TestQUICMemoryAndCPUCost(t *testing.T) {
	const (
		peers = 20
		calls = 2000
	)
	authority := newAuthority(t)
	receiver := listenWithCleanup(t, issueIdentity(t, authority, loopback), 0)
	receiver.Handle(KindHeartbeat, echo)
	var callers []*QUIC
	for range peers {
		callers = append(callers, listenWithCleanup(t, issueIdentity(t, authority, loopback), 0))
	}
	before := heapKB()
	for _, p := range callers {
		if _, err := p.Call(t.Context(), receiver.Local(), KindHeartbeat, nil); err != nil {
			t.Fatal(err)
		}
	}
	heapPerConnection := (heapKB() - before) / peers
	start := cpuTime(t)
	for i := range calls {
		if _, err := callers[i%peers].Call(t.Context(), receiver.Local(), KindHeartbeat, make([]byte, 60)); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("both ends together: %.0f KB of heap per connection, %v of CPU time per call",
		heapPerConnection, (cpuTime(t)-start)/calls)
}

func heapKB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
