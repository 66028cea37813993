package balancer

import (
	"math"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// Guards against events that were read at once, or the first event of a resumed stream, which is
// recorded twice, making an engine look faster than it is.
func TestEventsReadAtOnceDoNotSpeedUpEngines(t *testing.T) {
	b, now := New(Options{}), time.Unix(1_000_000, 0)
	server := catalog.BackendServer{ID: "s", Service: "m", Slots: 64}
	a := &Attempt{Server: server, Key: ServerKey(server), grouped: true}
	b.BeginAttempt(a, Request{Service: catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 3}}, now)
	b.RecordFirstEvent(a, now)
	usual := time.Duration(3 * decodeStepMillis(Load{Running: 1}, 64) * float64(time.Millisecond))
	for range 100 {
		b.RecordEvent(a, now.Add(time.Microsecond))
		now = now.Add(usual)
		b.RecordEvent(a, now)
	}
	if got := b.engineSpeed(b.serverState(a.Key), "m", now).decode; math.Abs(got-1) > 0.1 {
		t.Errorf("got a decode step of %.2f times the usual one, want 1", got)
	}
}
