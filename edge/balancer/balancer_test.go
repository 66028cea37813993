package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

var (
	startTime     = time.Unix(1000, 0)
	engineService = catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}
	promptRequest = Request{Service: engineService, LatencyTarget: time.Second, PromptTokens: 5000, PrefixBlocks: []PrefixBlock{{1, 4000}, {2, 1000}}}
	newServer     = func(id string) catalog.BackendServer {
		return catalog.BackendServer{ID: id, Service: "m", Slots: 64, DataCentre: "dc0"}
	}
)

func newBalancer() *Balancer { return New(Options{DataCentre: "dc0", Seed: 1}) }

// chooseAndBegin chooses one of the servers and begins the attempt.
func chooseAndBegin(t *testing.T, balancer *Balancer, r Request, now time.Time, servers ...catalog.BackendServer) *Attempt {
	t.Helper()
	a, ok := balancer.Choose(r, servers, now)
	if !ok {
		t.Fatal("no server was chosen")
	}
	balancer.BeginAttempt(&a, r, now)
	return &a
}

// TestLoadIsZeroAfterAllAttemptsEnd ends attempts with and without a first
// event, some of which record it twice. An error in the counting would make a
// server seem busy for ever.
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
			t.Errorf("server %x still has load %+v", key, s.localLoad)
		}
	}
	for name, dc := range balancer.dataCentres {
		if dc.running != 0 {
			t.Errorf("data centre %s still has %d running requests", name, dc.running)
		}
	}
}

func TestSharedPrefixGoesToServerThatCachedIt(t *testing.T) {
	balancer := newBalancer()
	servers := []catalog.BackendServer{newServer("a"), newServer("b"), newServer("c")}
	first := chooseAndBegin(t, balancer, promptRequest, startTime, servers...)
	for range 5 {
		if a := chooseAndBegin(t, balancer, promptRequest, startTime, servers...); a.Key != first.Key {
			t.Errorf("request went to server %s, want %s, which has its prefix block cached", a.Server.ID, first.Server.ID)
		}
	}
}

// TestReportedPrefixBlockAttractsPeersRequests has one instance report to which
// server it sent a prefix block. An instance that receives the report must send
// a request with the same block there.
func TestReportedPrefixBlockAttractsPeersRequests(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	busy, idle := newServer("a"), newServer("b")
	first := chooseAndBegin(t, sender, promptRequest, startTime, busy)
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	second := chooseAndBegin(t, receiver, promptRequest, startTime, busy, idle)
	if second.Key != first.Key || second.CachedTokens != 4000 {
		t.Errorf("request went to server %s with %d cached tokens, want %s with 4000", second.Server.ID, second.CachedTokens, first.Server.ID)
	}
}

func TestRestartedServerHasEmptyCache(t *testing.T) {
	balancer := newBalancer()
	before := newServer("a")
	after := before
	after.StartedAtMillis = 2
	chooseAndBegin(t, balancer, promptRequest, startTime, before)
	if a := chooseAndBegin(t, balancer, promptRequest, startTime, after); a.CachedTokens != 0 {
		t.Errorf("%d tokens counted as cached after a restart, want 0", a.CachedTokens)
	}
}

func TestExpiredPeerReportIsSubtracted(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	chooseAndBegin(t, sender, promptRequest, startTime, newServer("a"))
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	key := ServerKey(newServer("a"))
	if got := receiver.servers[key].peerLoad; got.Running != 1 || got.Unread != 5000 {
		t.Fatalf("peer load %+v after the first report, want 1 running request with 5000 tokens to prefill", got)
	}
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime.Add(100*time.Millisecond))
	if got := receiver.servers[key].peerLoad; got.Running != 1 {
		t.Errorf("peer load %+v after the second report, want 1 running request as it replaces the first report", got)
	}
	receiver.ExpireReports(startTime.Add(reportTimeout + time.Second))
	if got := receiver.servers[key].peerLoad; got != (Load{}) {
		t.Errorf("peer load %+v after the report expired, want zero load", got)
	}
}

func TestChooseReturnsServerIfAllAreFailing(t *testing.T) {
	balancer := newBalancer()
	servers := []catalog.BackendServer{newServer("a"), newServer("b")}
	for range 20 {
		balancer.EndAttempt(chooseAndBegin(t, balancer, promptRequest, startTime, servers...), Failed, startTime)
	}
	if _, ok := balancer.Choose(promptRequest, servers, startTime); !ok {
		t.Error("no server was chosen although two failing servers were available")
	}
}

func TestFailedServerIsChosenAgainAfterDecay(t *testing.T) {
	balancer := newBalancer()
	failing, healthy := newServer("a"), newServer("b")
	for range 5 {
		balancer.EndAttempt(chooseAndBegin(t, balancer, promptRequest, startTime, failing), Failed, startTime)
	}
	shortPrompt := Request{Service: engineService, LatencyTarget: time.Second, PromptTokens: 100}
	if a := chooseAndBegin(t, balancer, shortPrompt, startTime, failing, healthy); a.Server.ID != "b" {
		t.Error("a server that just failed was chosen")
	}
	later := startTime.Add(20 * statsHalfLife)
	chosenAgain := false
	for range 50 {
		a := chooseAndBegin(t, balancer, shortPrompt, later, failing, healthy)
		chosenAgain = chosenAgain || a.Server.ID == "a"
	}
	if !chosenAgain {
		t.Error("a server that failed a minute ago is never chosen again")
	}
}

// TestDataCentreIsSuspectedOnlyWhileResponseIsDue checks that a data centre
// from which nothing arrives is suspected only if a request to it is running or
// got no response. Otherwise its only instance may just have stopped.
func TestDataCentreIsSuspectedOnlyWhileResponseIsDue(t *testing.T) {
	balancer := newBalancer()
	balancer.RecordContact("dc1", startTime)
	if balancer.suspected("dc1", startTime.Add(time.Second)) {
		t.Error("suspected although no response was due")
	}
	remote := newServer("a")
	remote.DataCentre = "dc1"
	unanswered := chooseAndBegin(t, balancer, promptRequest, startTime, remote)
	if !balancer.suspected("dc1", startTime.Add(time.Second)) {
		t.Error("not suspected although a response is due")
	}
	balancer.RecordContact("dc1", startTime.Add(time.Second))
	if balancer.suspected("dc1", startTime.Add(time.Second+suspectAfter/2)) {
		t.Error("suspected although a message arrived less than suspectAfter ago")
	}
	balancer.EndAttempt(unanswered, NoResponse, startTime.Add(2*time.Second))
	if !balancer.suspected("dc1", startTime.Add(2*time.Second)) || balancer.suspected("dc1", startTime.Add(2*time.Second+noResponseTimeout)) {
		t.Error("an unanswered request must lead to suspicion for noResponseTimeout only")
	}
	failed := chooseAndBegin(t, balancer, promptRequest, startTime.Add(10*time.Second), remote)
	balancer.EndAttempt(failed, Failed, startTime.Add(10*time.Second))
	if balancer.suspected("dc1", startTime.Add(10*time.Second)) {
		t.Error("suspected although its server responded with a failure")
	}
}

// TestRetainServersLeavesNoServerAfterItsLastAttempt calls RetainServers while
// an attempt is running at the server to drop, and again after the attempt
// ended. The server's state must then be gone.
func TestRetainServersLeavesNoServerAfterItsLastAttempt(t *testing.T) {
	balancer := newBalancer()
	a := chooseAndBegin(t, balancer, promptRequest, startTime, newServer("a"))
	balancer.RetainServers(func(uint64) bool { return false })
	balancer.EndAttempt(a, Succeeded, startTime)
	balancer.RetainServers(func(uint64) bool { return false })
	if len(balancer.servers) != 0 {
		t.Errorf("%d servers are left, want 0", len(balancer.servers))
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
// request there, and then adds it again. The load that the peer reported before
// must not be subtracted from the new state.
func TestReaddedServerStartsWithoutOldPeerLoad(t *testing.T) {
	sender, receiver := newBalancer(), newBalancer()
	chooseAndBegin(t, sender, promptRequest, startTime, newServer("a"))
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	receiver.RetainServers(func(uint64) bool { return false })
	key := ServerKey(newServer("a"))
	receiver.serverState(key)
	receiver.ReceiveReports("one", "dc1", sender.Reports(startTime), startTime)
	if got := receiver.servers[key].peerLoad; got.Running != 1 || got.Unread != 5000 {
		t.Errorf("peer load %+v, want 1 running request with 5000 tokens to prefill", got)
	}
}
