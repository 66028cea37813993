package balancer

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/edge/catalog"
)

var (
	begin    = time.Unix(1000, 0)
	engines  = catalog.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}
	prompt   = Request{Service: engines, LatencyTarget: time.Second, PromptTokens: 5000, PrefixBlocks: []PrefixBlock{{1, 4000}, {2, 1000}}}
	serverOf = func(id string) catalog.BackendServer {
		return catalog.BackendServer{ID: id, Service: "m", Slots: 64, DataCentre: "dc0"}
	}
)

func newTable() *Balancer { return New(Options{DataCentre: "dc0", Seed: 1}) }

// send chooses among servers and counts the attempt.
func send(t *testing.T, table *Balancer, r Request, now time.Time, servers ...catalog.BackendServer) *Attempt {
	t.Helper()
	a, ok := table.Choose(r, servers, now)
	if !ok {
		t.Fatal("no server was chosen")
	}
	table.BeginAttempt(&a, r, now)
	return &a
}

func TestLoadsComeBackToNothing(t *testing.T) {
	table := newTable()
	attempts := []*Attempt{}
	for range 20 {
		attempts = append(attempts, send(t, table, prompt, begin, serverOf("a"), serverOf("b")))
	}
	for i, a := range attempts {
		if i%2 == 0 {
			table.RecordFirstEvent(a, begin.Add(time.Second))
			table.RecordFirstEvent(a, begin.Add(2*time.Second))
		}
		table.EndAttempt(a, Succeeded, begin.Add(3*time.Second))
	}
	for key, s := range table.servers {
		if s.own != (Load{}) {
			t.Errorf("server %x is left with %+v", key, s.own)
		}
	}
	for name, r := range table.reaches {
		if r.running != 0 {
			t.Errorf("data centre %s is left with %d requests", name, r.running)
		}
	}
}

func TestSharedPartGoesWhereItIsKept(t *testing.T) {
	table := newTable()
	servers := []catalog.BackendServer{serverOf("a"), serverOf("b"), serverOf("c")}
	first := send(t, table, prompt, begin, servers...)
	for range 5 {
		if a := send(t, table, prompt, begin, servers...); a.Key != first.Key {
			t.Errorf("went to %s, its part is kept at %s", a.Server.ID, first.Server.ID)
		}
	}
}

// TestPeersSendTheSamePartToTheSameServer has one instance tell another where
// it sent a part.
func TestPeersSendTheSamePartToTheSameServer(t *testing.T) {
	one, two := newTable(), newTable()
	busy, idle := serverOf("a"), serverOf("b")
	first := send(t, one, prompt, begin, busy)
	two.ReceiveReports("one", "dc1", one.Reports(begin), begin)
	second := send(t, two, prompt, begin, busy, idle)
	if second.Key != first.Key || second.CachedTokens != 4000 {
		t.Errorf("went to %s with %d tokens kept, want %s with 4000", second.Server.ID, second.CachedTokens, first.Server.ID)
	}
}

func TestRestartedServerKeepsNothing(t *testing.T) {
	table := newTable()
	before := serverOf("a")
	after := before
	after.StartedAtMillis = 2
	send(t, table, prompt, begin, before)
	if a := send(t, table, prompt, begin, after); a.CachedTokens != 0 {
		t.Errorf("%d tokens are held to be kept by a server that started anew", a.CachedTokens)
	}
}

func TestSilentPeersLoadIsDropped(t *testing.T) {
	one, two := newTable(), newTable()
	send(t, one, prompt, begin, serverOf("a"))
	two.ReceiveReports("one", "dc1", one.Reports(begin), begin)
	key := ServerKey(serverOf("a"))
	if got := two.servers[key].others; got.Running != 1 || got.Unread != 5000 {
		t.Fatalf("got %+v of the peer", got)
	}
	two.ReceiveReports("one", "dc1", one.Reports(begin), begin.Add(100*time.Millisecond))
	if got := two.servers[key].others; got.Running != 1 {
		t.Errorf("a second report counts twice: %+v", got)
	}
	two.ExpireReports(begin.Add(reportLife + time.Second))
	if got := two.servers[key].others; got != (Load{}) {
		t.Errorf("left with %+v of a silent peer", got)
	}
}

func TestAllServersFailingIsNoReasonToSendNowhere(t *testing.T) {
	table := newTable()
	servers := []catalog.BackendServer{serverOf("a"), serverOf("b")}
	for range 20 {
		table.EndAttempt(send(t, table, prompt, begin, servers...), Failed, begin)
	}
	if _, ok := table.Choose(prompt, servers, begin); !ok {
		t.Error("no server was chosen")
	}
}

func TestFailedServerIsTriedAgain(t *testing.T) {
	table := newTable()
	bad, good := serverOf("a"), serverOf("b")
	for range 5 {
		table.EndAttempt(send(t, table, prompt, begin, bad), Failed, begin)
	}
	light := Request{Service: engines, LatencyTarget: time.Second, PromptTokens: 100}
	if a := send(t, table, light, begin, bad, good); a.Server.ID != "b" {
		t.Error("a server that just failed was chosen")
	}
	later := begin.Add(20 * halfLife)
	tried := false
	for range 50 {
		a := send(t, table, light, later, bad, good)
		tried = tried || a.Server.ID == "a"
	}
	if !tried {
		t.Error("a server that failed a minute ago is never tried again")
	}
}

// TestQuietDataCentreIsNotDoubted has nothing due from a data centre whose only
// instance is gone.
func TestQuietDataCentreIsNotDoubted(t *testing.T) {
	table := newTable()
	table.RecordContact("dc1", begin)
	if table.doubted("dc1", begin.Add(time.Second)) {
		t.Error("doubted though nothing was due from it")
	}
	far := serverOf("a")
	far.DataCentre = "dc1"
	a := send(t, table, prompt, begin, far)
	if !table.doubted("dc1", begin.Add(time.Second)) {
		t.Error("not doubted though an answer is due")
	}
	table.RecordContact("dc1", begin.Add(time.Second))
	if table.doubted("dc1", begin.Add(time.Second+silentFor/2)) {
		t.Error("doubted after it was heard")
	}
	table.EndAttempt(a, NoResponse, begin.Add(2*time.Second))
	if !table.doubted("dc1", begin.Add(2*time.Second)) || table.doubted("dc1", begin.Add(2*time.Second+failedFor)) {
		t.Error("a send without an answer must speak against it, and only for a while")
	}
	b := send(t, table, prompt, begin.Add(10*time.Second), far)
	table.EndAttempt(b, Failed, begin.Add(10*time.Second))
	if table.doubted("dc1", begin.Add(10*time.Second)) {
		t.Error("doubted though its server answered, if with a failure")
	}
}

func TestForgetKeepsServersWithWork(t *testing.T) {
	table := newTable()
	a := send(t, table, prompt, begin, serverOf("a"))
	table.RetainServers(func(uint64) bool { return false })
	table.EndAttempt(a, Succeeded, begin)
	table.RetainServers(func(uint64) bool { return false })
	if len(table.servers) != 0 {
		t.Errorf("%d servers are left", len(table.servers))
	}
}

func serversOf(ids ...string) []catalog.BackendServer {
	var out []catalog.BackendServer
	for _, id := range ids {
		out = append(out, serverOf(id))
	}
	return out
}

// TestForgottenServerComesBackWithoutDebt forgets a server whose entry lapsed
// while a peer had work there, and meets it again.
func TestForgottenServerComesBackWithoutDebt(t *testing.T) {
	one, two := newTable(), newTable()
	send(t, one, prompt, begin, serverOf("a"))
	two.ReceiveReports("one", "dc1", one.Reports(begin), begin)
	two.RetainServers(func(uint64) bool { return false })
	key := ServerKey(serverOf("a"))
	two.row(key)
	two.ReceiveReports("one", "dc1", one.Reports(begin), begin)
	if got := two.servers[key].others; got.Running != 1 || got.Unread != 5000 {
		t.Errorf("got %+v of the peer, want its one request", got)
	}
}
