package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

var (
	startTime     = time.Unix(1000, 0)
	engineService = catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}
	// promptRequest has a shared prefix block of 4000 tokens and a block of its
	// own of 1000 tokens.
	promptRequest = Request{Service: engineService, LatencyTarget: time.Second, PromptTokens: 5000, PrefixBlocks: []PrefixBlock{{1, 4000}, {2, 1000}}}
	newServer     = func(id string) catalog.BackendServer {
		return catalog.BackendServer{ID: id, Service: "m", Slots: 64, DataCentre: "dc0"}
	}
)

func newBalancer() *Balancer { return New(Options{DataCentre: "dc0", Seed: 1}) }

// chooseAndBegin chooses one of the servers for a request and begins the
// attempt.
func chooseAndBegin(t *testing.T, balancer *Balancer, r Request, now time.Time, servers ...catalog.BackendServer) *Attempt {
	t.Helper()
	a, ok := balancer.Choose(r, servers, now)
	if !ok {
		t.Fatal("no server was chosen, want one")
	}
	balancer.BeginAttempt(&a, r, now)
	return &a
}

// TestLoadIsZeroAfterAllAttemptsEnd ends attempts with and without a first
// event. Some attempts record their first event twice. If the counting were
// wrong, a server would seem busy for ever.
func TestLoadIsZeroAfterAllAttemptsEnd(t *testing.T) {
	balancer := newBalancer()
	attempts := []*Attempt{}
	for range 20 {
		attempts = append(attempts, chooseAndBegin(t, balancer, promptRequest, startTime, newServer("a"), newServer("b")))
	}
	for i, a := range attempts {
		if i%2 == 0 {
			balancer.RecordFirstEvent(a, startTime.Add(time.Second))
			balancer.RecordFirstEvent(a, startTime.Add(2*time.Second))
		}
		balancer.EndAttempt(a, Succeeded, startTime.Add(3*time.Second))
	}
	for key, s := range balancer.servers {
		if s.localLoad != (Load{}) {
			t.Errorf("server %x has load %+v after all attempts ended, want zero load", key, s.localLoad)
		}
	}
	for name, dc := range balancer.dataCentres {
		if dc.running != 0 {
			t.Errorf("data centre %s has %d running requests after all attempts ended, want 0", name, dc.running)
		}
	}
}

// TestSharedPrefixGoesToServerThatCachedIt sends one prompt several times. All
// requests must go to the server that received the first one, since the prompt's
// prefix is cached there.
func TestSharedPrefixGoesToServerThatCachedIt(t *testing.T) {
	balancer := newBalancer()
	servers := []catalog.BackendServer{newServer("a"), newServer("b"), newServer("c")}
	first := chooseAndBegin(t, balancer, promptRequest, startTime, servers...)
	for range 5 {
		if a := chooseAndBegin(t, balancer, promptRequest, startTime, servers...); a.Key != first.Key {
			t.Errorf("request went to server %s, want server %s, which has the prefix block cached", a.Server.ID, first.Server.ID)
		}
	}
}

// TestReportedPrefixBlockAttractsPeersRequests has one instance report that it
// sent a prefix block to a server. Another instance receives the report. It
// must send a request with the same block to the same server.
func TestReportedPrefixBlockAttractsPeersRequests(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	busy, idle := newServer("a"), newServer("b")
	first := chooseAndBegin(t, sender, promptRequest, startTime, busy)
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	second := chooseAndBegin(t, receiver, promptRequest, startTime, busy, idle)
	if second.Key != first.Key || second.CachedTokens != 4000 {
		t.Errorf("request went to server %s with %d cached tokens, want server %s with 4000", second.Server.ID, second.CachedTokens, first.Server.ID)
	}
}

// TestRestartedServerHasEmptyCache sends the same prompt to a server before and
// after the server's restart. The blocks that were cached before the restart
// must not count.
func TestRestartedServerHasEmptyCache(t *testing.T) {
	balancer := newBalancer()
	before := newServer("a")
	after := before
	after.StartedAtMillis = 2
	chooseAndBegin(t, balancer, promptRequest, startTime, before)
	if a := chooseAndBegin(t, balancer, promptRequest, startTime, after); a.CachedTokens != 0 {
		t.Errorf("after a restart of the server: got %d cached tokens, want 0", a.CachedTokens)
	}
}

// TestExpiredPeerReportIsSubtracted receives two reports from one peer. The
// second report must replace the first. After reportTimeout the peer's load must
// no longer count.
func TestExpiredPeerReportIsSubtracted(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	chooseAndBegin(t, sender, promptRequest, startTime, newServer("a"))
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	key := ServerKey(newServer("a"))
	if got := receiver.servers[key].peerLoad; got.Running != 1 || got.PrefillTokens != 5000 {
		t.Fatalf("after the first report: got peer load %+v, want 1 running request with 5000 tokens to prefill", got)
	}
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime.Add(100*time.Millisecond))
	if got := receiver.servers[key].peerLoad; got.Running != 1 {
		t.Errorf("after the second report: got peer load %+v, want 1 running request since this report replaces the first", got)
	}
	receiver.ExpireReports(startTime.Add(reportTimeout + time.Second))
	if got := receiver.servers[key].peerLoad; got != (Load{}) {
		t.Errorf("after the reports expired: got peer load %+v, want zero load", got)
	}
}

// TestChooseReturnsServerIfAllAreFailing has every attempt at two servers fail.
// A failing server must be chosen rather than none.
func TestChooseReturnsServerIfAllAreFailing(t *testing.T) {
	balancer := newBalancer()
	servers := []catalog.BackendServer{newServer("a"), newServer("b")}
	for range 20 {
		balancer.EndAttempt(chooseAndBegin(t, balancer, promptRequest, startTime, servers...), Failed, startTime)
	}
	if _, ok := balancer.Choose(promptRequest, servers, startTime); !ok {
		t.Error("no server was chosen, want one of the two failing servers")
	}
}

// TestFailedServerIsChosenAgainAfterDecay has all attempts at one of two
// servers fail. The server must be avoided at first, and be tried again once
// the statistics have decayed.
func TestFailedServerIsChosenAgainAfterDecay(t *testing.T) {
	balancer := newBalancer()
	failing, healthy := newServer("a"), newServer("b")
	for range 5 {
		balancer.EndAttempt(chooseAndBegin(t, balancer, promptRequest, startTime, failing), Failed, startTime)
	}
	shortPrompt := Request{Service: engineService, LatencyTarget: time.Second, PromptTokens: 100}
	if a := chooseAndBegin(t, balancer, shortPrompt, startTime, failing, healthy); a.Server.ID != "b" {
		t.Error("server a was chosen although it just failed, want server b")
	}
	later := startTime.Add(20 * statsHalfLife)
	chosenAgain := false
	for range 50 {
		a := chooseAndBegin(t, balancer, shortPrompt, later, failing, healthy)
		chosenAgain = chosenAgain || a.Server.ID == "a"
	}
	if !chosenAgain {
		t.Error("server a was not chosen in 50 attempts a minute after its failures, want at least 1")
	}
}

// TestDataCentreIsSuspectedOnlyWhileResponseIsDue checks when a silent data
// centre is suspected: only if a request to it is running or got no response.
// Without such a request, the data centre's only instance may just have
// stopped.
func TestDataCentreIsSuspectedOnlyWhileResponseIsDue(t *testing.T) {
	balancer := newBalancer()
	balancer.RecordContact("dc1", startTime)
	if balancer.suspected("dc1", startTime.Add(time.Second)) {
		t.Error("no request was sent: dc1 is suspected, want it not suspected")
	}
	remote := newServer("a")
	remote.DataCentre = "dc1"
	unanswered := chooseAndBegin(t, balancer, promptRequest, startTime, remote)
	if !balancer.suspected("dc1", startTime.Add(time.Second)) {
		t.Error("a request is running: dc1 is not suspected, want it suspected")
	}
	balancer.RecordContact("dc1", startTime.Add(time.Second))
	if balancer.suspected("dc1", startTime.Add(time.Second+suspectAfter/2)) {
		t.Error("a message arrived less than suspectAfter ago: dc1 is suspected, want it not suspected")
	}
	balancer.EndAttempt(unanswered, NoResponse, startTime.Add(2*time.Second))
	if !balancer.suspected("dc1", startTime.Add(2*time.Second)) || balancer.suspected("dc1", startTime.Add(2*time.Second+noResponseTimeout)) {
		t.Error("a request ended without a response: at least one of two checks failed: want dc1 suspected at once, and want it not suspected after noResponseTimeout")
	}
	failed := chooseAndBegin(t, balancer, promptRequest, startTime.Add(10*time.Second), remote)
	balancer.EndAttempt(failed, Failed, startTime.Add(10*time.Second))
	if balancer.suspected("dc1", startTime.Add(10*time.Second)) {
		t.Error("a server of dc1 responded with a failure: dc1 is suspected, want it not suspected")
	}
}

// TestRetainServersLeavesNoServerAfterItsLastAttempt calls RetainServers twice
// to drop a server: while an attempt is running at the server, and after the
// attempt ended. After the second call the server's state must be gone.
func TestRetainServersLeavesNoServerAfterItsLastAttempt(t *testing.T) {
	balancer := newBalancer()
	a := chooseAndBegin(t, balancer, promptRequest, startTime, newServer("a"))
	balancer.RetainServers(func(uint64) bool { return false })
	balancer.EndAttempt(a, Succeeded, startTime)
	balancer.RetainServers(func(uint64) bool { return false })
	if len(balancer.servers) != 0 {
		t.Errorf("got %d servers after the second call of RetainServers, want 0", len(balancer.servers))
	}
}

func newServers(ids ...string) []catalog.BackendServer {
	var out []catalog.BackendServer
	for _, id := range ids {
		out = append(out, newServer(id))
	}
	return out
}

// TestReaddedServerStartsWithoutOldPeerLoad drops a server while a peer has a
// request running there, and then adds the server again. The peer's earlier
// report must not be subtracted from the new state.
func TestReaddedServerStartsWithoutOldPeerLoad(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	chooseAndBegin(t, sender, promptRequest, startTime, newServer("a"))
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	receiver.RetainServers(func(uint64) bool { return false })
	key := ServerKey(newServer("a"))
	receiver.serverState(key)
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	if got := receiver.servers[key].peerLoad; got.Running != 1 || got.PrefillTokens != 5000 {
		t.Errorf("got peer load %+v, want 1 running request with 5000 tokens to prefill", got)
	}
}
