package balancer

import (
	"math"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

// TestDecodeStepsAreLearntFromEventGaps guards against taking the gaps that contain prefill, here
// each fourth one, for the length of a decode step, and against mixing engines up.
func TestDecodeStepsAreLearntFromEventGaps(t *testing.T) {
	b, now := New(Options{}), time.Unix(1_000_000, 0)
	service := catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 3}
	want := map[string]float64{"slow": 2.2, "fast": 0.9}
	for id, ratio := range want {
		server := catalog.BackendServer{ID: id, Service: "m", Slots: 64}
		a := &Attempt{Server: server, Key: ServerKey(server), grouped: true}
		b.BeginAttempt(a, Request{Service: service}, now)
		b.RecordFirstEvent(a, now)
		usual := 3 * decodeStepMillis(Load{Running: 1}, 64) * ratio
		for n := range 200 {
			gap := usual * (1 + 0.1*math.Sin(float64(n)))
			if n%4 == 0 {
				gap *= 5
			}
			now = now.Add(time.Duration(gap * float64(time.Millisecond)))
			b.RecordEvent(a, now)
		}
		if got := b.engineSpeed(b.serverState(a.Key), "m", now).decode; math.Abs(got/ratio-1) > 0.15 {
			t.Errorf("%s engine: got a decode step of %.2f times the usual one, want %.2f", id, got, ratio)
		}
	}
}
