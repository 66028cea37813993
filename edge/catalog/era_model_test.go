package catalog

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotpin.example/bergamotpin/objects"
)

const (
	modelInstances = 3
	modelServers   = 4
	// modelQuietRounds is the number of rounds of gossip after which all instances that
	// can reach each other must agree.
	modelQuietRounds = 3
)

// modelServer is one backend server. It writes its entry again after a step back.
type modelServer struct {
	leaving, gone bool
	born          int64
}

// model is a store, its operator and servers, and the instances that use it, in virtual
// time. acknowledged is what the fleet may not go back on.
type model struct {
	now      time.Time
	era      objects.Era
	revision int64
	// records is the content of the store, and copied that of the copy.
	records, copied map[string]Record
	copiedRevision  int64
	deletions       []Record
	servers         map[string]*modelServer
	version         int64
	instances       []*modelInstance
}

// modelInstance is one instance. known is the newest operator's version that it had.
type modelInstance struct {
	catalog *Catalog
	// listed is the version up to which the instance has the store's records.
	listed objects.Version
	cut    bool
	known  int64
	// departed holds the servers, with their starts, that the instance knows to be leaving
	// or gone.
	departed map[string]int64
	era      objects.Era
	eraSince time.Time
	// emptied names a server that a list made unusable too early.
	emptied string
}

func newModel() *model {
	m := &model{now: start, era: firstEra, revision: 1, records: map[string]Record{}, servers: map[string]*modelServer{}}
	for n := range modelServers {
		id := fmt.Sprint("s", n)
		m.servers[id] = &modelServer{born: 1}
		m.writeServer(id)
	}
	m.writeConfiguration()
	m.copyStore()
	for range modelInstances {
		m.instances = append(m.instances, newModelInstance())
	}
	return m
}

func newModelInstance() *modelInstance {
	return &modelInstance{catalog: New(plainDecoder{}), departed: map[string]int64{}}
}

func (m *model) write(r Record) {
	m.revision++
	r.Revision, r.Era = m.revision, m.era
	m.records[r.Name] = r
}

func (m *model) writeConfiguration() {
	m.version++
	m.write(configurationRecord(0, m.version))
}

func (m *model) writeServer(id string) {
	s := m.servers[id]
	m.write(serverRecord(id, 0, BackendServer{StartedAtMillis: s.born, Leaving: s.leaving}))
}

func (m *model) deleteServer(id string) {
	if _, ok := m.records[id]; !ok {
		return
	}
	m.revision++
	delete(m.records, id)
	m.deletions = append(m.deletions, Record{Kind: KindServer, Name: id, Revision: m.revision, Era: m.era, Deleted: true})
}

func (m *model) copyStore() {
	m.copied, m.copiedRevision = maps.Clone(m.records), m.revision
}

// stepBack makes the store come back from the copy. Operator and servers have not yet
// written anything again.
func (m *model) stepBack() {
	m.era++
	m.revision, m.deletions = m.copiedRevision, nil
	m.records = make(map[string]Record)
	for name, r := range m.copied {
		r.Era = m.era
		m.records[name] = r
	}
	m.copied = maps.Clone(m.records)
}

// writeAgain writes what the store lost: the operator's newest version, and the entries of
// the servers that are alive. Entries of servers that are gone expire.
func (m *model) writeAgain() {
	if r, ok := m.records["main"]; !ok || modelVersion(r) != m.version {
		m.write(configurationRecord(0, m.version))
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[id]
		want := serverRecord(id, 0, BackendServer{StartedAtMillis: s.born, Leaving: s.leaving})
		r, ok := m.records[id]
		switch {
		case s.gone:
			m.deleteServer(id)
		case !ok || string(r.Spec) != string(want.Spec):
			m.writeServer(id)
		}
	}
}

func modelVersion(r Record) int64 {
	var c Configuration
	if err := json.Unmarshal(r.Spec, &c); err != nil {
		panic(err)
	}
	return c.Version
}

// poll lets an instance read the store as a Watcher does: a list at a new era, and events
// after it.
func (m *model) poll(i *modelInstance) {
	if i.cut {
		return
	}
	var before []string
	for _, id := range availableIDs(i.catalog, m.now) {
		if known := i.catalog.servers[id]; known.Era < m.era && !known.Deleted {
			before = append(before, id)
		}
	}
	now := objects.Version{Era: m.era, Revision: m.revision}
	var records []Record
	for _, name := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[name]
		if r.Kind == KindServer && (i.listed.Era != m.era || r.Revision > i.listed.Revision) {
			records = append(records, r)
		}
	}
	if i.listed.Era != m.era {
		i.catalog.MergeServerList(records, now, m.now)
		m.noteEra(i)
		m.noteEmptied(i, before)
	} else {
		for _, d := range m.deletions {
			if d.Revision > i.listed.Revision {
				if known := i.catalog.servers[d.Name]; d.Version().After(known.Version()) {
					i.noteDeparted(i.catalog.Snapshot().Servers[d.Name])
				}
				records = append(records, d)
			}
		}
		slices.SortFunc(records, func(a, b Record) int { return a.Version().Compare(b.Version()) })
		i.catalog.MergeEvents(records, now, m.now)
	}
	if r, ok := m.records["main"]; ok {
		i.catalog.Merge([]Record{r}, m.now)
	}
	i.listed = now
}

// noteDeparted notes a server that the instance knows to be leaving or gone.
func (i *modelInstance) noteDeparted(server BackendServer) {
	i.departed[server.ID] = max(i.departed[server.ID], server.StartedAtMillis)
}

// noteEra notes when an instance learnt of an era.
func (m *model) noteEra(i *modelInstance) {
	if era := i.catalog.Era(); era != i.era {
		i.era, i.eraSince = era, m.now
	}
}

// noteEmptied notes a server of an older era that was usable before a list, and is not any
// more although the time in which entries may come back has not passed.
func (m *model) noteEmptied(i *modelInstance, before []string) {
	if m.now.Sub(i.eraSince) >= pagesReturnTime {
		return
	}
	after := availableIDs(i.catalog, m.now)
	for _, id := range before {
		listed, ok := m.records[id]
		leaves := ok && i.catalog.Snapshot().Servers[id].Leaving && listed.Kind == KindServer
		if !leaves && !slices.Contains(after, id) {
			i.emptied = id
		}
	}
}

// gossip lets one instance learn from another as package gossip does.
func (m *model) gossip(to, from *modelInstance) {
	peer := from.catalog.Digest()
	to.catalog.EnterEra(objects.Version{Era: peer.Era}, m.now)
	m.noteEra(to)
	own := to.catalog.Digest()
	if peer.Era >= own.Era && peer.Servers != own.Servers {
		taught := from.catalog.Servers()
		taught.Records = asSent(taught.Records)
		to.catalog.MergePeer(taught, m.now)
	}
	if peer.Configuration.After(own.Configuration) {
		r, _ := from.catalog.ConfigurationRecord()
		to.catalog.Merge([]Record{r}, m.now)
	}
}

// asSent orders records by name, with the departures last, so that a failure can be played
// again.
func asSent(records []Record) []Record {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(min(a.Hides, 1), min(b.Hides, 1)), cmp.Compare(a.Name, b.Name))
	})
	return records
}

// converge lets the time pass that the pages give, with everything reachable and written
// again. Only one instance reads the store: the others learn from their peers.
func (m *model) converge(reader *modelInstance) {
	m.writeAgain()
	for _, i := range m.instances {
		i.cut = false
	}
	m.exchange(reader)
	m.now = m.now.Add(departureHold + time.Second)
	m.exchange(reader)
	m.now = m.now.Add(MissingEntryGrace)
}

// exchange lets one instance read the store, and all learn from each other.
func (m *model) exchange(reader *modelInstance) {
	for range modelQuietRounds {
		m.poll(reader)
		for _, to := range m.instances {
			for _, from := range m.instances {
				m.gossip(to, from)
			}
			to.catalog.Merge(nil, m.now)
		}
	}
}

// check compares an instance with what it may not go back on.
func (m *model) check(t *rapid.T, n int) {
	i := m.instances[n]
	version := i.catalog.Snapshot().Version
	if version < i.known {
		t.Fatalf("instance %d: the version went back from %d to %d", n, i.known, version)
	}
	i.known = version
	if i.emptied != "" {
		t.Fatalf("instance %d: a list of a new era made server %s unusable at once", n, i.emptied)
	}
	usable := make(map[string]BackendServer)
	for _, server := range i.catalog.Snapshot().AvailableServers("m", m.now) {
		usable[server.ID] = server
	}
	for id, born := range i.departed {
		if server, ok := usable[id]; ok && server.StartedAtMillis <= born && !server.EntryMissing {
			t.Fatalf("instance %d: server %s is used again, though it was known to be leaving", n, id)
		}
	}
	for id, server := range i.catalog.Snapshot().Servers {
		if _, hidden := i.catalog.departures[id]; server.Leaving && !hidden {
			i.noteDeparted(server)
		}
	}
}

// TestModelOfStepsBack plays random sequences of writes, copies, steps back, cuts, gossip
// and restarts. No instance may go back on a version or a server's leaving, none empties
// its table, and all end with what the store has.
func TestModelOfStepsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		instance := func(t *rapid.T) int { return rapid.IntRange(0, modelInstances-1).Draw(t, "instance") }
		server := func(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, modelServers-1).Draw(t, "server")) }
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(*rapid.T) { m.writeConfiguration() },
			"report":    func(t *rapid.T) { m.report(server(t)) },
			"leave":     func(t *rapid.T) { m.leave(server(t)) },
			"restart":   func(t *rapid.T) { m.restart(server(t)) },
			"copy":      func(*rapid.T) { m.copyStore() },
			"step back": func(*rapid.T) { m.stepBack() },
			"write":     func(*rapid.T) { m.writeAgain() },
			"cut":       func(t *rapid.T) { i := m.instances[instance(t)]; i.cut = !i.cut },
			"poll":      func(t *rapid.T) { m.poll(m.instances[instance(t)]) },
			"gossip":    func(t *rapid.T) { m.gossip(m.instances[instance(t)], m.instances[instance(t)]) },
			"replace":   func(t *rapid.T) { m.instances[instance(t)] = newModelInstance() },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for n := range m.instances {
					m.check(t, n)
				}
			},
		})
		m.converge(m.instances[instance(t)])
		m.checkConverged(t)
	})
}

func (m *model) report(id string) {
	if s := m.servers[id]; !s.gone {
		m.writeServer(id)
	}
}

func (m *model) leave(id string) {
	s := m.servers[id]
	switch {
	case s.gone:
	case s.leaving:
		s.gone = true
		m.deleteServer(id)
	default:
		s.leaving = true
		m.writeServer(id)
	}
}

func (m *model) restart(id string) {
	s := m.servers[id]
	if s.gone {
		s.gone, s.leaving = false, false
		s.born++
		m.writeServer(id)
	}
}

// checkConverged compares all instances with the store.
func (m *model) checkConverged(t *rapid.T) {
	var want []string
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		if s := m.servers[id]; !s.gone && !s.leaving {
			want = append(want, id)
		}
	}
	for n, i := range m.instances {
		if got := availableIDs(i.catalog, m.now); !slices.Equal(got, want) {
			t.Fatalf("instance %d: uses the servers %v, want %v", n, got, want)
		}
		if got := i.catalog.Snapshot().Version; got != m.version {
			t.Fatalf("instance %d: has version %d in force, want %d", n, got, m.version)
		}
		if i.catalog.Digest() != m.instances[0].catalog.Digest() {
			t.Fatalf("instance %d: has the digest %+v, want that of instance 0, %+v", n, i.catalog.Digest(), m.instances[0].catalog.Digest())
		}
	}
}
