package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
	"bergamotpin.example/bergamotpin/outcome"
)

// TestOnlyWhatWouldBeLateIsTurnedAway fills one engine with long prompts.
func TestOnlyWhatWouldBeLateIsTurnedAway(t *testing.T) {
	table := newTable()
	long := Request{Service: engines, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000}
	short := Request{Service: engines, LatencyTarget: 300 * time.Millisecond, PromptTokens: 1400}
	taken := 0
	for range 20 {
		a, _ := table.Choose(long, serversOf("a"), begin)
		reason, later := table.Admit(long, a, begin)
		if reason != outcome.ReasonNone {
			if later < earliestReturn/2 || later > 2*latestReturn {
				t.Errorf("told to come back after %v", later)
			}
			break
		}
		table.BeginAttempt(&a, long, begin)
		taken++
	}
	// 17,000 tokens take 300 ms: the limit of 1.275 s has room for four.
	if taken < 3 || taken > 5 {
		t.Errorf("%d long prompts were taken before one was turned away, want about 4", taken)
	}
	a, _ := table.Choose(short, serversOf("a"), begin)
	if reason, _ := table.Admit(short, a, begin); reason != outcome.ReasonNone {
		t.Error("a short prompt was turned away: it takes next to no time")
	}
	a, _ = table.Choose(long, serversOf("a", "b"), begin)
	if reason, _ := table.Admit(long, a, begin); reason != outcome.ReasonNone || a.Server.ID != "b" {
		t.Error("a long prompt was turned away while a server was free")
	}
}

// TestReturnsAreSpread turns many away at once.
func TestReturnsAreSpread(t *testing.T) {
	table := newTable()
	long := Request{Service: engines, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000}
	for range 8 {
		send(t, table, long, begin, serverOf("a"))
	}
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		a, _ := table.Choose(long, serversOf("a"), begin)
		reason, later := table.Admit(long, a, begin)
		if reason != outcome.Infeasible {
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
	big := Request{Service: engines, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 20000, AnswerTokens: 1000}
	for range 28 {
		a := send(t, table, big, begin, serverOf("a"))
		table.RecordFirstEvent(a, begin.Add(a.ExpectedDelay))
	}
	for range 3 {
		if a := send(t, table, big, begin, serversOf("a", "b")...); a.Server.ID != "b" {
			t.Error("a request was sent to an engine without memory for it")
		}
	}
}

// TestServiceAcrossACutIsTriedByOneAtATime has a service with servers in one
// other data centre only, which falls silent.
func TestServiceAcrossACutIsTriedByOneAtATime(t *testing.T) {
	table := newTable()
	far := serverOf("a")
	far.DataCentre = "dc1"
	call := Request{Service: catalog.Service{Name: "s"}, LatencyTarget: 100 * time.Millisecond}
	table.RecordContact("dc1", begin)
	lost := send(t, table, call, begin, far)
	later := begin.Add(time.Second)
	admitted := func() bool {
		a, _ := table.Choose(call, []catalog.BackendServer{far}, later)
		reason, _ := table.Admit(call, a, later)
		return reason == outcome.ReasonNone
	}
	if !admitted() {
		t.Error("turned away before any send went unanswered")
	}
	table.EndAttempt(lost, NoResponse, later)
	if !admitted() {
		t.Error("nobody tries whether the cut is over")
	}
	trial := send(t, table, call, later, far)
	if admitted() {
		t.Error("a second request waits for the timeout of the first")
	}
	table.EndAttempt(trial, Succeeded, later)
	if !admitted() {
		t.Error("turned away after an answer came")
	}
}

// TestHugePromptIsTakenByAFreeEngine has a prompt whose reading alone takes
// longer than a refusal's limit: coming back later would not help it.
func TestHugePromptIsTakenByAFreeEngine(t *testing.T) {
	table := newTable()
	huge := Request{Service: engines, LatencyTarget: 600 * time.Millisecond, PromptTokens: 60000}
	a, _ := table.Choose(huge, serversOf("a"), begin)
	if reason, _ := table.Admit(huge, a, begin); reason != outcome.ReasonNone {
		t.Errorf("turned away with %v while nothing waits", reason)
	}
}

// TestReturnIsLaterIfAllServersAreBehind fills one server of two, and then both.
func TestReturnIsLaterIfAllServersAreBehind(t *testing.T) {
	table := newTable()
	long := Request{
		Service: engines, LatencyTarget: 1500 * time.Millisecond, PromptTokens: 17000, TimeLeft: 9 * time.Second,
		PrefixBlocks: []PrefixBlock{{1, 13000}, {2, 4000}},
	}
	keeper := send(t, table, long, begin, serverOf("a"))
	table.RecordFirstEvent(keeper, begin.Add(keeper.ExpectedDelay))
	fill := func(id string) {
		for range 6 {
			send(t, table, Request{Service: engines, PromptTokens: 17000}, begin, serverOf(id))
		}
	}
	told := func() time.Duration {
		a, _ := table.Choose(long, serversOf("a", "b"), begin)
		reason, later := table.Admit(long, a, begin)
		if a.Server.ID != "a" || reason != outcome.Infeasible {
			t.Fatalf("%s was chosen, %v", a.Server.ID, reason)
		}
		return later
	}
	fill("a")
	if got := told(); got > latestReturn*5/4 || got < earliestReturn/2 {
		t.Errorf("told to come back after %v while another server is free", got)
	}
	fill("b")
	for range 20 {
		// Callers wait a third of what they have left at most.
		if got := told(); got < 1500*time.Millisecond || got > 3*time.Second {
			t.Errorf("told to come back after %v while all are behind, want half of three seconds at least", got)
		}
	}
}
