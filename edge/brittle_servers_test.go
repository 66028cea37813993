package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/platform/platformtest"
)

// mostRefusedInASecond returns the largest number of requests that the server refused within a
// second that began after the given time.
func mostRefusedInASecond(s *platformtest.BackendServer, from time.Time) int {
	var refused []time.Time
	for _, r := range s.Received() {
		if !r.Ran && r.At.After(from) {
			refused = append(refused, r.At)
		}
	}
	most, first := 0, 0
	for last, end := range refused {
		for end.Sub(refused[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestBrittleServersFallOver guards against a fleet that has servers turn away more requests
// than they say that they bear.
func TestBrittleServersFallOver(t *testing.T) {
	const room, bears, servers = 6, 5, 4
	f := newLimitedFleet(t, 5, servers, room)
	for _, s := range f.servers {
		s.SetBehaviour(platformtest.Behaviour{Delay: 100 * time.Millisecond, Room: room, Brittle: fmt.Sprint(bears), Events: 2})
	}
	named := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limitNoticeTime+2*limitWindow)
	defer cancel()
	f.load(ctx, 2*time.Millisecond)
	elapsed := time.Since(named)
	for _, s := range f.servers {
		if got := mostRefusedInASecond(s, named.Add(limitNoticeTime)); got > bears {
			t.Errorf("%s had to turn away %d requests in a second, it bears %d", s.ID, got, bears)
		}
	}
	var busy time.Duration
	for _, s := range f.servers {
		busy += s.Busy()
	}
	if places := time.Duration(servers * room); busy < places*elapsed/2 {
		t.Errorf("the servers' %d places were in use for %v in all, in %v; want half of the time or more", places, busy, elapsed)
	}
}
