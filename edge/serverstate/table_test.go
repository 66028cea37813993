package serverstate

import (
	"log/slog"
	"testing"
	"time"
)

// TestLaterStatementShortensNothing guards against a server that is sent to before the time that
// it asked for is over, or after it said that it leaves.
func TestLaterStatementShortensNothing(t *testing.T) {
	table := New(slog.New(slog.DiscardHandler), func() int { return 1 })
	now := time.Now()
	table.Record(1, "i-1", Statement{RetryAfter: 3 * time.Second}, now)
	table.Record(1, "i-1", Statement{RetryAfter: time.Second}, now)
	table.Record(1, "i-1", Statement{}, now)
	table.Record(2, "i-2", Statement{Leaving: true}, now)
	table.Record(2, "i-2", Statement{}, now)
	later := now.Add(2 * time.Second)
	table.Expire(later)
	if a := table.Availability(1, later); a.RestsFor != time.Second {
		t.Errorf("two seconds after it asked for three: %+v, want one second more", a)
	}
	if a := table.Availability(2, now.Add(time.Minute)); !a.Leaving {
		t.Errorf("a minute after it said that it leaves: %+v", a)
	}
	later = now.Add(3*time.Second + time.Millisecond)
	table.Expire(later)
	if a := table.Availability(1, later); !a.Open() {
		t.Errorf("after the time that it asked for: %+v, want it open", a)
	}
}

// TestPeerLearnsThatServerLeaves guards against an instance that passed such an answer on for
// another one, and doesn't know which server gave it.
func TestPeerLearnsThatServerLeaves(t *testing.T) {
	first, second := New(slog.New(slog.DiscardHandler), func() int { return 1 }), New(slog.New(slog.DiscardHandler), func() int { return 1 })
	now := time.Now()
	first.Record(7, "i-7", Statement{Leaving: true}, now)
	second.Learn(first.Leaving(now), now)
	if !second.Availability(7, now).Leaving {
		t.Error("the peer does not know that the server leaves")
	}
	if got := first.Leaving(now.Add(reportedFor)); len(got) > 0 {
		t.Errorf("still told after %v: %v", reportedFor, got)
	}
}
