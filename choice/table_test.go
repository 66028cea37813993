package choice

import (
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/directory"
)

var (
	begin    = time.Unix(1000, 0)
	engines  = directory.Service{Name: "m", Slots: 64, MemoryTokens: 600_000, EventTokens: 4}
	prompt   = Request{Service: engines, Objective: time.Second, PromptTokens: 5000, Parts: []Part{{1, 4000}, {2, 1000}}}
	serverOf = func(id string) directory.BackendServer {
		return directory.BackendServer{ID: id, Service: "m", Slots: 64, DataCentre: "dc0"}
	}
)

func newTable() *Table { return NewTable(Options{DataCentre: "dc0", Seed: 1}) }

// send chooses among servers and counts the attempt.
func send(t *testing.T, table *Table, r Request, now time.Time, servers ...directory.BackendServer) *Attempt {
	t.Helper()
	a, ok := table.Choose(r, servers, now)
	if !ok {
		t.Fatal("no server was chosen")
	}
	table.Begin(&a, r, now)
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
			table.FirstEvent(a, begin.Add(time.Second))
			table.FirstEvent(a, begin.Add(2*time.Second))
		}
		table.End(a, Answered, begin.Add(3*time.Second))
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
	servers := []directory.BackendServer{serverOf("a"), serverOf("b"), serverOf("c")}
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
	two.Receive("one", "dc1", one.Report(begin), begin)
	second := send(t, two, prompt, begin, busy, idle)
	if second.Key != first.Key || second.Kept != 4000 {
		t.Errorf("went to %s with %d tokens kept, want %s with 4000", second.Server.ID, second.Kept, first.Server.ID)
	}
}

func TestRestartedServerKeepsNothing(t *testing.T) {
	table := newTable()
	before := serverOf("a")
	after := before
	after.Born = 2
	send(t, table, prompt, begin, before)
	if a := send(t, table, prompt, begin, after); a.Kept != 0 {
		t.Errorf("%d tokens are held to be kept by a server that started anew", a.Kept)
	}
}

func TestSilentPeersLoadIsDropped(t *testing.T) {
	one, two := newTable(), newTable()
	send(t, one, prompt, begin, serverOf("a"))
	two.Receive("one", "dc1", one.Report(begin), begin)
	key := ServerKey(serverOf("a"))
	if got := two.servers[key].others; got.Running != 1 || got.Unread != 5000 {
		t.Fatalf("got %+v of the peer", got)
	}
	two.Receive("one", "dc1", one.Report(begin), begin.Add(100*time.Millisecond))
	if got := two.servers[key].others; got.Running != 1 {
		t.Errorf("a second report counts twice: %+v", got)
	}
	two.Expire(begin.Add(reportLife + time.Second))
	if got := two.servers[key].others; got != (Load{}) {
		t.Errorf("left with %+v of a silent peer", got)
	}
}

func TestAllServersFailingIsNoReasonToSendNowhere(t *testing.T) {
	table := newTable()
	servers := []directory.BackendServer{serverOf("a"), serverOf("b")}
	for range 20 {
		table.End(send(t, table, prompt, begin, servers...), Failed, begin)
	}
	if _, ok := table.Choose(prompt, servers, begin); !ok {
		t.Error("no server was chosen")
	}
}

func TestFailedServerIsTriedAgain(t *testing.T) {
	table := newTable()
	bad, good := serverOf("a"), serverOf("b")
	for range 5 {
		table.End(send(t, table, prompt, begin, bad), Failed, begin)
	}
	light := Request{Service: engines, Objective: time.Second, PromptTokens: 100}
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
	table.Heard("dc1", begin)
	if table.doubted("dc1", begin.Add(time.Second)) {
		t.Error("doubted though nothing was due from it")
	}
	far := serverOf("a")
	far.DataCentre = "dc1"
	a := send(t, table, prompt, begin, far)
	if !table.doubted("dc1", begin.Add(time.Second)) {
		t.Error("not doubted though an answer is due")
	}
	table.Heard("dc1", begin.Add(time.Second))
	if table.doubted("dc1", begin.Add(time.Second+silentFor/2)) {
		t.Error("doubted after it was heard")
	}
	table.End(a, Silent, begin.Add(2*time.Second))
	if !table.doubted("dc1", begin.Add(2*time.Second)) || table.doubted("dc1", begin.Add(2*time.Second+failedFor)) {
		t.Error("a send without an answer must speak against it, and only for a while")
	}
	b := send(t, table, prompt, begin.Add(10*time.Second), far)
	table.End(b, Failed, begin.Add(10*time.Second))
	if table.doubted("dc1", begin.Add(10*time.Second)) {
		t.Error("doubted though its server answered, if with a failure")
	}
}

func TestForgetKeepsServersWithWork(t *testing.T) {
	table := newTable()
	a := send(t, table, prompt, begin, serverOf("a"))
	table.Forget(func(uint64) bool { return false })
	table.End(a, Answered, begin)
	table.Forget(func(uint64) bool { return false })
	if len(table.servers) != 0 {
		t.Errorf("%d servers are left", len(table.servers))
	}
}

func serversOf(ids ...string) []directory.BackendServer {
	var out []directory.BackendServer
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
	two.Receive("one", "dc1", one.Report(begin), begin)
	two.Forget(func(uint64) bool { return false })
	key := ServerKey(serverOf("a"))
	two.row(key)
	two.Receive("one", "dc1", one.Report(begin), begin)
	if got := two.servers[key].others; got.Running != 1 || got.Unread != 5000 {
		t.Errorf("got %+v of the peer, want its one request", got)
	}
}
