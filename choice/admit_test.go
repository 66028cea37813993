package choice

import (
	"testing"
	"time"
)

// TestOnlyWhatWouldBeLateIsTurnedAway fills one engine with long prompts.
func TestOnlyWhatWouldBeLateIsTurnedAway(t *testing.T) {
	table := newTable()
	long := Request{Service: engines, Objective: 1500 * time.Millisecond, PromptTokens: 17000}
	short := Request{Service: engines, Objective: 300 * time.Millisecond, PromptTokens: 1400}
	taken := 0
	for range 20 {
		a, _ := table.Choose(long, serversOf("a"), begin)
		later, ok := table.Admit(long, a)
		if !ok {
			if later < earliestReturn/2 || later > 2*latestReturn {
				t.Errorf("told to come back after %v", later)
			}
			break
		}
		table.Begin(&a, long, begin)
		taken++
	}
	// 17,000 tokens take 300 ms: the limit of 2.25 s has room for seven.
	if taken < 6 || taken > 8 {
		t.Errorf("%d long prompts were taken before one was turned away, want about 7", taken)
	}
	a, _ := table.Choose(short, serversOf("a"), begin)
	if _, ok := table.Admit(short, a); !ok {
		t.Error("a short prompt was turned away: it takes next to no time")
	}
	a, _ = table.Choose(long, serversOf("a", "b"), begin)
	if _, ok := table.Admit(long, a); !ok || a.Server.ID != "b" {
		t.Error("a long prompt was turned away while a server was free")
	}
}

// TestReturnsAreSpread turns many away at once.
func TestReturnsAreSpread(t *testing.T) {
	table := newTable()
	long := Request{Service: engines, Objective: 1500 * time.Millisecond, PromptTokens: 17000}
	for range 8 {
		send(t, table, long, begin, serverOf("a"))
	}
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		a, _ := table.Choose(long, serversOf("a"), begin)
		later, ok := table.Admit(long, a)
		if ok {
			t.Fatal("taken")
		}
		least, most = min(least, later), max(most, later)
	}
	if most-least < least/4 {
		t.Errorf("all come back between %v and %v", least, most)
	}
}

// TestFullEngineIsPassedOver fills an engine's memory with long answers that
// have begun: nothing waits there, but there is no room.
func TestFullEngineIsPassedOver(t *testing.T) {
	table := newTable()
	big := Request{Service: engines, Objective: 1500 * time.Millisecond, PromptTokens: 20000, AnswerTokens: 1000}
	for range 28 {
		a := send(t, table, big, begin, serverOf("a"))
		table.FirstEvent(a, begin.Add(a.Expected))
	}
	for range 3 {
		if a := send(t, table, big, begin, serversOf("a", "b")...); a.Server.ID != "b" {
			t.Error("a request was sent to an engine without memory for it")
		}
	}
}
